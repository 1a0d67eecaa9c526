"""Which record of a partition is to be archived next. Pure."""

from notcharch.clients.ports import LogRecord
from notcharch.replication.archive_records import (
    BatchRecord,
    SnapshotRecord,
    batch_id,
    encode_record,
    snapshot_id,
)
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.replication.replica import Replica
from notcharch.replication.transfer import Snapshot
from notcharch.values.identifiers import Epoch
from notcharch.wire.messages.replication import NO_COMMAND, Entry

BATCH_BYTES = 256 * 1024
PART_BYTES = 256 * 1024
SNAPSHOT_AFTER_BYTES = 1024 * 1024
"""So many bytes of batches, or as many as the last snapshot had, before the next."""

SNAPSHOT_AFTER_RECORDS = 1000


class ArchivePlan:
    """The archive of one leader: batches, and a snapshot now and then."""

    def __init__(self) -> None:
        """Begin with no snapshot under way."""
        self._parts: list[SnapshotRecord] = []
        self._batch_bytes = 0
        self._snapshot_bytes = 0

    def next_record(self, replica: Replica, replay: ArchiveReplay) -> LogRecord | None:
        """Give the record that follows what the stream has; None if nothing is due."""
        self._parts = [part for part in self._parts if not replay.has_part(part)]
        if self._parts:
            return _planned_part(self._parts[0])
        if not is_archive_due(replica):
            return None
        if self._is_snapshot_due(replica, replay):
            self._begin_snapshot(replica, replay)
            return _planned_part(self._parts[0])
        return self._next_batch(replica, replay)

    def _is_snapshot_due(self, replica: Replica, replay: ArchiveReplay) -> bool:
        if replay.last_index < replica.log.base_index:
            return True
        if self._batch_bytes > max(SNAPSHOT_AFTER_BYTES, self._snapshot_bytes):
            return True
        return replay.next_offset - replay.snapshot_offset > SNAPSHOT_AFTER_RECORDS

    def _begin_snapshot(self, replica: Replica, replay: ArchiveReplay) -> None:
        snapshot = replica.take_snapshot()
        self._parts = _parts_of(snapshot, replica.epoch, replay)
        self._batch_bytes = 0
        self._snapshot_bytes = len(snapshot.data)

    def _next_batch(self, replica: Replica, replay: ArchiveReplay) -> LogRecord:
        first = replay.last_index + 1
        entries = replica.log.entries_from(first, BATCH_BYTES)
        count = replica.commit_index - replay.last_index
        record = BatchRecord(
            replica.epoch, replay.snapshot_offset, first, entries[:count]
        )
        data = encode_record(record)
        self._batch_bytes += len(data)
        return LogRecord(batch_id(record), data)


def is_archive_due(replica: Replica) -> bool:
    """Tell whether anything worth a record is committed and not archived."""
    first = replica.archived.index + 1
    if replica.commit_index < first:
        return False
    if first <= replica.log.base_index:
        return True
    held = range(first, replica.commit_index + 1)
    return any(_is_content(replica.log.entry_at(index)) for index in held)


def _is_content(entry: Entry) -> bool:
    """Tell whether an entry says more than that an epoch began."""
    if entry.command != NO_COMMAND:
        return True
    return entry.configuration is not None and entry.configuration.version > 1


def _parts_of(
    snapshot: Snapshot, epoch: Epoch, replay: ArchiveReplay
) -> list[SnapshotRecord]:
    count = max(1, -(-len(snapshot.data) // PART_BYTES))
    return [
        SnapshotRecord(
            epoch,
            replay.snapshot_offset,
            snapshot.index,
            snapshot.epoch,
            snapshot.configuration,
            part,
            count,
            snapshot.data[part * PART_BYTES : (part + 1) * PART_BYTES],
        )
        for part in range(count)
    ]


def _planned_part(part: SnapshotRecord) -> LogRecord:
    return LogRecord(snapshot_id(part), encode_record(part))
