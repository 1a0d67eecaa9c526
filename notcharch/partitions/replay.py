"""Rebuilds a partition's state from the records of its journal. Pure.

The oldest records may have been trimmed. The state is then incomplete until a snapshot
that covers all trimmed records: commands before it are buffered, and those that the
snapshot doesn't include are applied after it.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from notcharch.partitions.applier import apply_record
from notcharch.partitions.interface import StateMachine
from notcharch.partitions.records import (
    CommandCodec,
    CommandRecord,
    SnapshotPart,
    decode_record,
)


class BufferedCommand(msgspec.Struct, frozen=True):
    """A command that is applied after the next complete snapshot."""

    offset: int
    record: CommandRecord


class Replay:
    """The state up to the replayed end of the journal."""

    def __init__(
        self, new_state: Callable[[], StateMachine], codec: CommandCodec
    ) -> None:
        """Start with an empty state at offset 0."""
        self._new_state = new_state
        self._codec = codec
        self.state = new_state()
        self.is_complete = True
        """Whether the state includes all commands up to the replayed offset."""
        self.snapshot_covers_to = 0
        """Offset covered by the latest complete snapshot; 0 without one."""
        self.snapshot_at = 0.0
        """Time of that snapshot, in seconds since 1970."""
        self._first_offset = 0
        """Offset of the oldest stored record."""
        self._buffered: deque[BufferedCommand] = deque()
        self._parts: list[SnapshotPart] = []

    def skip_to(self, offset: int) -> None:
        """Discard the state: the records before an offset are no longer stored."""
        self._first_offset = offset
        self.is_complete = False
        self.state = self._new_state()
        self._buffered.clear()
        self._parts = []

    def replay_record(self, offset: int, record: bytes) -> None:
        """Apply the record at an offset."""
        decoded = decode_record(record)
        if isinstance(decoded, SnapshotPart):
            self._add_part(decoded)
            return
        self._parts = []
        if self.is_complete:
            apply_record(self.state, self._codec, decoded)
        else:
            self._buffered.append(BufferedCommand(offset, decoded))

    def entry_lost(self) -> None:
        """Discard a snapshot of which a part can't be read."""
        self._parts = []

    def _add_part(self, part: SnapshotPart) -> None:
        """Collect consecutive parts; an incomplete snapshot is discarded."""
        if part.number != len(self._parts):
            self._parts = []
        if part.number == len(self._parts):
            self._parts.append(part)
        if len(self._parts) == part.count:
            self._load_snapshot(part)
            self._parts = []

    def _load_snapshot(self, last: SnapshotPart) -> None:
        covers_to = last.covers_to
        if not self.is_complete:
            if covers_to < self._first_offset:
                return
            self.state.restore(b"".join(part.data for part in self._parts))
            self.is_complete = True
            self._apply_buffered(covers_to)
        self.snapshot_covers_to = covers_to
        self.snapshot_at = last.written_at

    def _apply_buffered(self, covers_to: int) -> None:
        for buffered in self._buffered:
            if buffered.offset >= covers_to:
                apply_record(self.state, self._codec, buffered.record)
        self._buffered.clear()
