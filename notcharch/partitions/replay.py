"""Rebuilds a partition's state from the records of its journal. Pure.

The oldest records may be gone. Then nothing is known before the first snapshot that
reaches back to the oldest record that is kept: commands before it wait here, and those
that it doesn't hold are applied after it.
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


class StoredCommand(msgspec.Struct, frozen=True):
    """A command that waits for a snapshot."""

    offset: int
    record: CommandRecord


class Replay:
    """The state as far as the journal was read."""

    def __init__(
        self, new_state: Callable[[], StateMachine], codec: CommandCodec
    ) -> None:
        """Begin at the beginning, with an empty state."""
        self._new_state = new_state
        self._codec = codec
        self.state = new_state()
        self.is_whole = True
        """Whether the state holds every command so far."""
        self.snapshot_covers_to = 0
        """How far the newest complete snapshot reaches; 0 without one."""
        self.snapshot_at = 0.0
        """When it was written, seconds since 1970."""
        self._first = 0
        """The oldest offset that is kept."""
        self._waiting: deque[StoredCommand] = deque()
        self._parts: list[SnapshotPart] = []

    def skip_to(self, offset: int) -> None:
        """Hear that the records before an offset are not kept any more."""
        self._first = offset
        self.is_whole = False
        self.state = self._new_state()
        self._waiting.clear()
        self._parts = []

    def replay_record(self, offset: int, record: bytes) -> None:
        """Take the record at an offset."""
        known = decode_record(record)
        if isinstance(known, SnapshotPart):
            self._take_part(known)
            return
        self._parts = []
        if self.is_whole:
            apply_record(self.state, self._codec, known)
        else:
            self._waiting.append(StoredCommand(offset, known))

    def _take_part(self, part: SnapshotPart) -> None:
        """Collect parts that follow one another; a torn snapshot is dropped."""
        if part.number != len(self._parts):
            self._parts = []
        if part.number == len(self._parts):
            self._parts.append(part)
        if len(self._parts) == part.count:
            self._take_snapshot(part)
            self._parts = []

    def _take_snapshot(self, last: SnapshotPart) -> None:
        covers_to = last.covers_to
        if not self.is_whole:
            if covers_to < self._first:
                return
            self.state.restore(b"".join(part.data for part in self._parts))
            self.is_whole = True
            self._apply_waiting(covers_to)
        self.snapshot_covers_to = covers_to
        self.snapshot_at = last.written_at

    def _apply_waiting(self, covers_to: int) -> None:
        for stored in self._waiting:
            if stored.offset >= covers_to:
                apply_record(self.state, self._codec, stored.record)
        self._waiting.clear()
