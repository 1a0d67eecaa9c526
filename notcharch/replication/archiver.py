"""Writes the committed commands of the led partitions to the log service."""

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, DeferredSemaphore, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from notcharch.clients.ports import LogPort, LogRecord, StoredRecord
from notcharch.errors import Problem
from notcharch.events.event import emit
from notcharch.events.replication import (
    ArchiveBacklogDropped,
    ArchiveDelayed,
    ArchiveResumed,
    GroupRebuiltElsewhere,
    ReplicationTaskFailed,
)
from notcharch.replication.archive_plan import ArchivePlan, is_archive_due
from notcharch.replication.archive_reader import read_on
from notcharch.replication.archive_records import stream_of
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.replication.epochs import generation_of
from notcharch.replication.group import ReplicaGroup
from notcharch.replication.host import GroupHost
from notcharch.values.identifiers import Epoch, LogOffset, PartitionNumber, RegionName

PARALLEL_STREAMS = 8
RETRY_SECONDS = 1.0
LONGEST_RETRY_SECONDS = 15.0


class _Stream(msgspec.Struct):
    """The archive of one partition in one epoch of this daemon's leadership."""

    epoch: Epoch
    replay: ArchiveReplay
    plan: ArchivePlan
    is_located: bool = False
    is_busy: bool = False


class Archiver:
    """Archives what is committed; calls never wait for it."""

    def __init__(
        self,
        *,
        host: GroupHost,
        log: LogPort,
        clock: IReactorTime,
        region: RegionName,
        archive_seconds: float,
        backlog_bytes: int,
    ) -> None:
        """Begin with nothing to archive."""
        self._host = host
        self._log = log
        self._clock = clock
        self._region = region
        self._archive_seconds = archive_seconds
        self._backlog_limit = backlog_bytes
        self._streams: dict[PartitionNumber, _Stream] = {}
        self._slots = DeferredSemaphore(PARALLEL_STREAMS)
        self._next_at = 0.0
        self._retry_seconds = RETRY_SECONDS
        self._failing_since: float | None = None
        self._is_stopped = False

    def stop(self) -> None:
        """Begin nothing more."""
        self._is_stopped = True

    @property
    def failing_since(self) -> float | None:
        """When the log service last began to fail, by the clock; None if it works."""
        return self._failing_since

    def backlog_bytes(self) -> int:
        """Give the size of the led partitions' unarchived commands, in bytes."""
        return sum(group.backlog_bytes for group in self._led_groups())

    def is_drained(self, group: ReplicaGroup) -> bool:
        """Tell whether the log service has everything of a partition."""
        return not is_archive_due(group.replica)

    def _led_groups(self) -> list[ReplicaGroup]:
        return [group for group in self._host.groups() if group.is_leading]

    def look(self) -> None:
        """Begin to archive what is due, once per period."""
        now = self._clock.seconds()
        if self._is_stopped or now < self._next_at:
            return
        self._next_at = now + self._archive_seconds
        self._bound_backlog()
        due = [g for g in self._led_groups() if is_archive_due(g.replica)]
        if self._failing_since is not None:
            # One partition finds out whether the log service works again.
            due = due[:1]
        for group in due:
            self._begin(group)

    def _bound_backlog(self) -> None:
        """Drop the largest backlogs while all together are too large."""
        groups = self._led_groups()
        total = sum(group.backlog_bytes for group in groups)
        if total <= self._backlog_limit:
            return
        for group in sorted(groups, key=lambda group: -group.backlog_bytes):
            dropped = group.backlog_bytes
            if dropped == 0 or total <= self._backlog_limit:
                return
            group.drop_archive_backlog()
            total -= dropped
            emit(ArchiveBacklogDropped(group.replica.partition, dropped))

    def _begin(self, group: ReplicaGroup) -> None:
        stream = self._stream_of(group)
        if stream.is_busy:
            return
        stream.is_busy = True
        running = self._slots.run(self._run, group, stream)
        running.addBoth(self._ended, stream)

    def _ended(self, result: object, stream: _Stream) -> None:
        stream.is_busy = False
        if isinstance(result, Failure):
            emit(ReplicationTaskFailed("archive", result.getErrorMessage()))

    def _stream_of(self, group: ReplicaGroup) -> _Stream:
        replica = group.replica
        stream = self._streams.get(replica.partition)
        if stream is None or stream.epoch != replica.epoch:
            replay = ArchiveReplay.resumed(
                replica.archived, Epoch(0), generation_of(replica.epoch)
            )
            stream = _Stream(replica.epoch, replay, ArchivePlan())
            self._streams[replica.partition] = stream
        return stream

    def _run(self, group: ReplicaGroup, stream: _Stream) -> "Deferred[None]":
        return ensureDeferred(self._archive(group, stream))

    def _still_leads(self, group: ReplicaGroup, stream: _Stream) -> bool:
        is_same = group.replica.epoch == stream.epoch
        return is_same and group.is_leading and not self._is_stopped

    async def _archive(self, group: ReplicaGroup, stream: _Stream) -> None:
        """Append until nothing is due, or something fails."""
        while self._still_leads(group, stream):
            if not stream.is_located:
                located = await self._read_on(group, stream)
                if isinstance(located, Err):
                    self._failed(located.err_value)
                    return
                stream.is_located = True
                continue
            record = stream.plan.next_record(group.replica, stream.replay)
            if record is None:
                return
            appended = await self._append(group, stream, record)
            if isinstance(appended, Err):
                self._failed(appended.err_value)
                return
            self._worked()

    async def _append(
        self, group: ReplicaGroup, stream: _Stream, record: LogRecord
    ) -> Result[None, Problem]:
        """Append a record; whatever is unclear, the stream itself tells."""
        name = stream_of(self._region, group.replica.partition)
        appended = await self._log.append(name, (record,))
        if isinstance(appended, Err):
            stream.is_located = False
            return appended
        if appended.ok_value != stream.replay.next_offset:
            return await self._read_on(group, stream)
        stored = StoredRecord(LogOffset(appended.ok_value), record.id, record.data)
        stream.replay.take(stored)
        self._advanced(group, stream)
        return Ok(None)

    async def _read_on(
        self, group: ReplicaGroup, stream: _Stream
    ) -> Result[None, Problem]:
        name = stream_of(self._region, group.replica.partition)
        read = await read_on(self._log, name, stream.replay)
        if isinstance(read, Err):
            return read
        self._advanced(group, stream)
        return Ok(None)

    def _advanced(self, group: ReplicaGroup, stream: _Stream) -> None:
        """Tell the group its position, or that another one took its place."""
        if not self._still_leads(group, stream):
            return
        replay = stream.replay
        now = self._clock.seconds()
        if replay.generation > generation_of(stream.epoch):
            self._rebuilt_elsewhere(group, replay, now)
        else:
            self._host.carry_out(group, group.archived(replay.position, now))

    def _rebuilt_elsewhere(
        self, group: ReplicaGroup, replay: ArchiveReplay, now: float
    ) -> None:
        replica = group.replica
        event = GroupRebuiltElsewhere(
            replica.partition,
            replica.epoch,
            replay.last_index,
            max(0, replica.commit_index - replay.last_index),
        )
        emit(event)
        self._host.note_loss(event)
        assert replay.configuration is not None  # the newer claim set it
        self._host.carry_out(group, group.superseded(replay.configuration, now))

    def _failed(self, problem: Problem) -> None:
        now = self._clock.seconds()
        if self._failing_since is None:
            self._failing_since = now
            emit(ArchiveDelayed(problem.message, self.backlog_bytes()))
        wait = max(self._retry_seconds, problem.retry_after or 0.0)
        self._next_at = max(self._next_at, now + wait)
        self._retry_seconds = min(self._retry_seconds * 2, LONGEST_RETRY_SECONDS)

    def _worked(self) -> None:
        if self._failing_since is None:
            return
        seconds = self._clock.seconds() - self._failing_since
        emit(ArchiveResumed(seconds, self.backlog_bytes()))
        self._failing_since = None
        self._retry_seconds = RETRY_SECONDS
        self._next_at = 0.0
