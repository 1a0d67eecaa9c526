"""Reading a partition's stream: which records count, and what they amount to. Pure."""

import msgspec

from notcharch.clients.ports import StoredRecord
from notcharch.replication.archive_records import (
    AnyArchiveRecord,
    BatchRecord,
    ClaimRecord,
    SnapshotRecord,
    decode_record,
)
from notcharch.replication.epochs import generation_of
from notcharch.values.identifiers import Epoch, LogOffset
from notcharch.wire.messages.replication import (
    ArchivePosition,
    Configuration,
    Entry,
)


class ArchivedSnapshot(msgspec.Struct, frozen=True):
    """A whole snapshot, and the offset of its first part."""

    index: int
    epoch: Epoch
    configuration: Configuration
    data: bytes
    offset: LogOffset


class _SnapshotParts:
    def __init__(self, first: SnapshotRecord, offset: LogOffset) -> None:
        self.offset = offset
        self._head = first
        self._parts: dict[int, bytes] = {}

    def has(self, part: int) -> bool:
        return part in self._parts

    def add(
        self, record: SnapshotRecord, keeps_content: bool
    ) -> ArchivedSnapshot | None:
        self._parts[record.part] = record.data if keeps_content else b""
        if len(self._parts) < record.parts:
            return None
        data = b"".join(self._parts[part] for part in range(record.parts))
        head = self._head
        return ArchivedSnapshot(
            head.index, head.index_epoch, head.configuration, data, self.offset
        )


class ArchiveReplay:
    """Takes the records of a stream in the order of their offsets.

    A claim counts if it is of the generation after the one in force. All other
    records count if they are of the generation in force. Entries count without
    gaps from the snapshot on; repeats change nothing, because only committed
    entries are archived and an index has one committed entry per generation.
    """

    def __init__(self) -> None:
        """Begin before the first record of the stream."""
        self.generation = 0
        self.claim: ClaimRecord | None = None
        self.snapshot: ArchivedSnapshot | None = None
        self.next_offset = LogOffset(0)
        self.last_index = 0
        self.last_epoch = Epoch(0)
        self.configuration: Configuration | None = None
        self._is_begun = False
        self._keeps_content = True
        self._former_snapshot_offset = LogOffset(0)
        self._entries: dict[int, Entry] = {}
        self._parts: dict[tuple[Epoch, int], _SnapshotParts] = {}

    @classmethod
    def resumed(
        cls, position: ArchivePosition, index_epoch: Epoch, generation: int
    ) -> "ArchiveReplay":
        """Go on behind a position that was reached before, to know the position only.

        Entries and the data of snapshots are not kept.
        """
        replay = cls()
        replay._keeps_content = False
        replay._former_snapshot_offset = position.snapshot_offset
        replay.generation = generation
        replay.next_offset = position.offset
        replay.last_index = position.index
        replay.last_epoch = index_epoch
        replay._is_begun = True
        return replay

    def begin_at(self, offset: LogOffset) -> None:
        """Go to the first part of a whole snapshot, to which a record pointed."""
        self.next_offset = offset

    @property
    def snapshot_offset(self) -> LogOffset:
        """Where a replay may begin."""
        if self.snapshot is None:
            return self._former_snapshot_offset
        return self.snapshot.offset

    @property
    def position(self) -> ArchivePosition:
        """How far the stream was read, and what it holds."""
        return ArchivePosition(self.last_index, self.next_offset, self.snapshot_offset)

    def has_part(self, record: SnapshotRecord) -> bool:
        """Tell whether a part of a snapshot is in the stream and counts."""
        if self.snapshot is not None and self.snapshot.index >= record.index:
            return True
        parts = self._parts.get((record.epoch, record.index))
        return parts is not None and parts.has(record.part)

    def entries(self) -> tuple[Entry, ...]:
        """Give the entries after the snapshot, in order."""
        first = 1 if self.snapshot is None else self.snapshot.index + 1
        return tuple(
            self._entries[index] for index in range(first, self.last_index + 1)
        )

    def take(self, stored: StoredRecord) -> None:
        """Take the next record."""
        self.next_offset = LogOffset(stored.offset + 1)
        record = decode_record(stored.data)
        if record is None:
            return
        self._begin(record)
        generation = generation_of(record.epoch)
        if isinstance(record, ClaimRecord):
            if generation == self.generation + 1:
                self._take_claim(record, generation)
        elif generation == self.generation:
            self._take_content(record, stored.offset)

    def _begin(self, record: AnyArchiveRecord) -> None:
        """Take the generation of a snapshot from its first part."""
        if not self._is_begun and isinstance(record, SnapshotRecord):
            self.generation = generation_of(record.epoch)
        self._is_begun = True

    def _take_claim(self, claim: ClaimRecord, generation: int) -> None:
        self.generation = generation
        self.claim = claim
        self.configuration = claim.configuration
        self._parts.clear()
        for index in [index for index in self._entries if index > self.last_index]:
            del self._entries[index]

    def _take_content(
        self, record: BatchRecord | SnapshotRecord, offset: LogOffset
    ) -> None:
        if isinstance(record, BatchRecord):
            for index, entry in enumerate(record.entries, record.first_index):
                if index > self.last_index:
                    self._entries.setdefault(index, entry)
        else:
            self._take_part(record, offset)
        self._extend()

    def _take_part(self, record: SnapshotRecord, offset: LogOffset) -> None:
        identity = (record.epoch, record.index)
        parts = self._parts.setdefault(identity, _SnapshotParts(record, offset))
        snapshot = parts.add(record, self._keeps_content)
        if snapshot is None:
            return
        del self._parts[identity]
        if self.snapshot is not None and snapshot.index <= self.snapshot.index:
            return
        self._adopt(snapshot)

    def _adopt(self, snapshot: ArchivedSnapshot) -> None:
        self.snapshot = snapshot
        for index in [index for index in self._entries if index <= snapshot.index]:
            del self._entries[index]
        for identity in [key for key in self._parts if key[1] <= snapshot.index]:
            del self._parts[identity]
        if snapshot.index >= self.last_index:
            self.last_index = snapshot.index
            self.last_epoch = snapshot.epoch
            self.configuration = snapshot.configuration

    def _extend(self) -> None:
        """Go on through entries that now follow without a gap."""
        while (entry := self._entries.get(self.last_index + 1)) is not None:
            self.last_index += 1
            self.last_epoch = entry.epoch
            if entry.configuration is not None:
                self.configuration = entry.configuration
            if not self._keeps_content:
                del self._entries[self.last_index]
