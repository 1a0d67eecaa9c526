"""Claims in the log service, by which groups are founded and rebuilt."""

from result import Err, Ok
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.clients.ports import LogPort, LogRecord, StoredRecord
from notcharch.events.event import emit
from notcharch.events.replication import CommittedCommandsInDoubt, GroupClaimed
from notcharch.replication.arbitration import Claim
from notcharch.replication.archive_reader import read_on
from notcharch.replication.archive_records import (
    ClaimRecord,
    claim_id,
    encode_record,
    stream_of,
)
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.replication.epochs import first_epoch_of
from notcharch.replication.group import ReplicaGroup
from notcharch.replication.host import GroupHost
from notcharch.values.identifiers import Member, PartitionNumber, RegionName

RETRY_SECONDS = 0.5


class Claims:
    """Makes this daemon's claims, and leads the groups that it wins."""

    def __init__(
        self,
        host: GroupHost,
        log: LogPort,
        clock: IReactorTime,
        region: RegionName,
        own: Member,
    ) -> None:
        """Begin with no claim under way."""
        self._host = host
        self._log = log
        self._clock = clock
        self._region = region
        self._own = own
        self._claiming: set[PartitionNumber] = set()
        self._is_stopped = False

    def stop(self) -> None:
        """Repeat no claim any more."""
        self._is_stopped = True

    def is_under_way(self, partition: PartitionNumber) -> bool:
        """Tell whether a claim may still take effect."""
        return partition in self._claiming

    async def claim(
        self, partition: PartitionNumber, claim: Claim, archive: ArchiveReplay
    ) -> None:
        """Claim until a claim of the generation is in the stream; lead if it is ours.

        A claim whose answer was lost may still take effect, so that it is not
        given up before the stream tells who won.
        """
        self._claiming.add(partition)
        try:
            record = self._record(partition, claim, archive)
            while not self._is_stopped and archive.generation < claim.generation:
                await self._append_claim(partition, record, archive)
            if archive.claim == record:
                self._lead(partition, record, archive)
        finally:
            self._claiming.discard(partition)

    def _record(
        self, partition: PartitionNumber, claim: Claim, archive: ArchiveReplay
    ) -> ClaimRecord:
        log = self._host.group_for(partition).replica.log
        return ClaimRecord(
            first_epoch_of(claim.generation),
            archive.snapshot_offset,
            self._own,
            claim.configuration,
            log.last_index,
            log.last_epoch,
        )

    async def _append_claim(
        self, partition: PartitionNumber, record: ClaimRecord, archive: ArchiveReplay
    ) -> None:
        stream = stream_of(self._region, partition)
        data = encode_record(record)
        appended = await self._log.append(stream, (LogRecord(claim_id(record), data),))
        if isinstance(appended, Ok) and appended.ok_value == archive.next_offset:
            archive.take(StoredRecord(appended.ok_value, claim_id(record), data))
            return
        read = await read_on(self._log, stream, archive)
        if isinstance(read, Err):
            await deferLater(self._clock, RETRY_SECONDS)

    def _lead(
        self, partition: PartitionNumber, record: ClaimRecord, archive: ArchiveReplay
    ) -> None:
        group = self._host.group_for(partition)
        emit(GroupClaimed(partition, record.epoch, record.configuration.members))
        from_archive = group.is_behind(archive)
        effects = group.claim(
            record.epoch, record.configuration, archive, self._clock.seconds()
        )
        if archive.generation > 1:
            self._tell_doubt(group, record, from_archive)
        self._host.carry_out(group, effects)
        self._host.look_again(partition)

    def _tell_doubt(
        self, group: ReplicaGroup, record: ClaimRecord, from_archive: bool
    ) -> None:
        replica = group.replica
        # The last entry is the one that began this epoch.
        index = replica.log.last_index - 1
        event = CommittedCommandsInDoubt(
            replica.partition,
            record.epoch,
            index,
            replica.log.epoch_at(index) or record.last_epoch,
            replica.applier.last_command_at,
            from_archive,
        )
        self._host.note_doubt(event)
        emit(event)
