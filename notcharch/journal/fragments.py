"""Splits entries that are larger than a record, and joins them in a replay. Pure.

One writer appends the fragments of an entry as consecutive records under its epoch. An
entry is whole with its last fragment: a writer that ends before it leaves fragments that
no replay returns, and so does a log service that has dropped the first ones.
"""

import msgspec

from notcharch.values.decoding import DECODING_ERRORS

MARKER = b"\xc1"
"""First byte of a fragment; neither MessagePack nor UTF-8 text begins with it."""
OVERHEAD_BYTES = 40
"""Upper bound of the marker, the numbers and the length before a fragment's data."""


class Fragment(msgspec.Struct, frozen=True, array_like=True):
    """A part of one entry."""

    epoch: int
    """Of the writer."""
    entry: int
    """Number of the entry among those that its writer split."""
    index: int
    count: int
    data: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Fragment)


class FragmentSplitter:
    """Turns the entries of one writer into records."""

    def __init__(self, epoch: int, max_record_bytes: int) -> None:
        """Split entries that are larger than a record may be."""
        self._epoch = epoch
        self._max_record_bytes = max_record_bytes
        self._entries = 0

    def split(self, entry: bytes) -> tuple[bytes, ...]:
        """Return the records of an entry; none if no record can hold any of it."""
        is_whole = len(entry) <= self._max_record_bytes
        if is_whole and not entry.startswith(MARKER):
            return (entry,)
        size = self._max_record_bytes - OVERHEAD_BYTES
        if size <= 0:
            return ()
        self._entries += 1
        starts = range(0, len(entry), size)
        fragments = (
            Fragment(
                self._epoch,
                self._entries,
                index,
                len(starts),
                entry[start : start + size],
            )
            for index, start in enumerate(starts)
        )
        return tuple(MARKER + _ENCODER.encode(fragment) for fragment in fragments)


class FragmentAssembler:
    """Restores the entries from the records of a journal, in their order."""

    def __init__(self) -> None:
        """Start before the first record."""
        self._fragments: list[Fragment] = []
        self.entry_records = 1
        """Number of records of the entry that was returned last."""

    def add(self, record: bytes) -> bytes | None:
        """Return the entry that a record is or completes; None if it is not whole yet."""
        if not record.startswith(MARKER):
            self.reset()
            self.entry_records = 1
            return record
        fragment = _decode(record)
        if fragment is None or not self._continues(fragment):
            self.reset()
            return None
        self._fragments.append(fragment)
        if len(self._fragments) < fragment.count:
            return None
        entry = b"".join(part.data for part in self._fragments)
        self.entry_records = fragment.count
        self.reset()
        return entry

    @property
    def is_inside(self) -> bool:
        """Whether the first records of an entry came, and others are missing."""
        return bool(self._fragments)

    def reset(self) -> None:
        """Discard an entry whose other fragments do not follow."""
        self._fragments = []

    def _continues(self, fragment: Fragment) -> bool:
        """Return whether a fragment is the next one; a first one begins an entry."""
        if fragment.index == 0:
            self.reset()
            return True
        if not self._fragments:
            return False
        last = self._fragments[-1]
        expected = (last.epoch, last.entry, last.index + 1, last.count)
        found = (fragment.epoch, fragment.entry, fragment.index, fragment.count)
        return found == expected


def _decode(record: bytes) -> Fragment | None:
    try:
        return _DECODER.decode(memoryview(record)[len(MARKER) :])
    except DECODING_ERRORS:
        return None
