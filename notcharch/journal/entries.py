"""Entries that wait to be appended, and batches of their records. Pure."""

from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from notcharch.journal.interface import LogLimits
from notcharch.values.memory_pool import HeldPart

BATCH_BYTES = 256 * 1024
"""Size up to which the records of several entries are sent in one call."""


class Outcome(Enum):
    """Outcome of writing an entry."""

    DURABLE = "durable"
    LOST = "lost"
    """Fenced by another writer; the entry may or may not be stored."""
    NOT_WRITTEN = "not written"
    """Fenced by another writer; the entry is certainly not stored."""
    REFUSED = "refused"
    """The service does not take the entry; it is not to be written again."""


class Entry:
    """An entry in one or more records, and the callback for its outcome."""

    def __init__(
        self,
        records: Sequence[bytes],
        done: Callable[[Outcome], None],
        held: HeldPart | None = None,
    ) -> None:
        """Hold its records; an empty one only checks that there is no other writer.

        `held` counts the memory that it takes until it is finished.
        """
        self.unwritten = deque(records)
        self.size = sum(map(len, records))
        self._done = done
        self._held = held
        self.first_offset = -1
        """Offset of its first record, once that is appended."""
        self.is_finished = False

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome; later ones are ignored."""
        if not self.is_finished:
            self.is_finished = True
            self.unwritten.clear()
            if self._held is not None:
                self._held.close()
            self._done(outcome)


class BatchRecord(msgspec.Struct, frozen=True):
    """A record of a batch."""

    entry: Entry
    record: bytes
    is_last: bool
    """Whether the entry is whole with it."""


class EntryQueue:
    """The entries that wait, oldest first."""

    def __init__(self, limits: LogLimits) -> None:
        """Keep batches within the limits of the log service."""
        self._limits = limits
        self._batch_bytes = min(BATCH_BYTES, limits.call_bytes)
        self._entries: deque[Entry] = deque()

    def __len__(self) -> int:
        """Return the number of entries with records that are in no batch yet."""
        return len(self._entries)

    def add(self, entry: Entry) -> None:
        """Add an entry after the others."""
        self._entries.append(entry)

    def next_batch(self) -> list[BatchRecord]:
        """Remove and return the next records, at least one if any waits.

        The records of an entry stay consecutive, also over several batches.
        """
        batch: list[BatchRecord] = []
        size = 0
        while self._entries:
            entry = self._entries[0]
            size += self._limits.call_size(len(entry.unwritten[0]))
            if batch and size > self._batch_bytes:
                break
            record = entry.unwritten.popleft()
            batch.append(BatchRecord(entry, record, not entry.unwritten))
            if not entry.unwritten:
                self._entries.popleft()
        return batch

    def remove(self, entry: Entry) -> bool:
        """Remove the records of an entry that will not be whole; return whether any."""
        is_waiting = entry in self._entries
        if is_waiting:
            self._entries.remove(entry)
        return is_waiting

    def clear(self) -> tuple[Entry, ...]:
        """Remove and return all entries."""
        entries = tuple(self._entries)
        self._entries.clear()
        return entries
