"""Finds, founds and rebuilds groups that have no leader."""

from collections.abc import Callable

from result import Err, Ok
from twisted.internet.defer import (
    Deferred,
    DeferredList,
    DeferredSemaphore,
    ensureDeferred,
)
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from notcharch.clients.ports import LogPort
from notcharch.events.event import emit
from notcharch.events.replication import (
    GroupSuperseded,
    ReplicationTaskFailed,
)
from notcharch.placement.interface import MembershipView
from notcharch.replication.arbitration import (
    Claim,
    Decision,
    Evidence,
    Superseded,
    Wait,
    decide,
)
from notcharch.replication.archive_reader import read_archive
from notcharch.replication.archive_records import (
    stream_of,
)
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.replication.claims import Claims
from notcharch.replication.host import GroupHost
from notcharch.replication.pictures import Pictures
from notcharch.values.identifiers import Member, PartitionNumber, RegionName
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.replication import (
    DescribeGroups,
    GroupDescription,
    GroupDescriptions,
    Holding,
)
from notcharch.wire.peers import PeerNetwork

ASK_SECONDS = 0.5
RETRY_SECONDS = 0.5
LONGEST_RETRY_SECONDS = 8.0
PARALLEL_STREAMS = 32
STUCK_ROUNDS = 4
"""After so many election rounds without a leader, all daemons are asked."""

Descriptions = dict[PartitionNumber, dict[Member, GroupDescription]]


class Recovery:
    """Watches partitions without a leader and does what `arbitration` decides."""

    def __init__(
        self,
        *,
        host: GroupHost,
        network: PeerNetwork,
        membership: MembershipView,
        pictures: Pictures,
        log: LogPort,
        clock: IReactorTime,
        region: RegionName,
        knows_region: Callable[[], bool],
    ) -> None:
        """Begin with nothing under way.

        Nothing is founded or rebuilt while `knows_region` says no: a fresh process
        that knows only itself is the first replica of everything by its own view.
        """
        self._knows_region = knows_region
        self._host = host
        self._network = network
        self._own = network.own_member
        self._membership = membership
        self._pictures = pictures
        self._log = log
        self._clock = clock
        self._region = region
        self._streams = DeferredSemaphore(PARALLEL_STREAMS)
        self._since: dict[PartitionNumber, float] = {}
        self._claims = Claims(host, log, clock, region, network.own_member)
        self._is_running = False
        self._next_at = 0.0
        self._retry_seconds = RETRY_SECONDS
        self._is_stopped = False

    def stop(self) -> None:
        """Begin nothing more."""
        self._is_stopped = True
        self._claims.stop()

    def hurry(self, delay: float) -> None:
        """Look again soon, because something changed."""
        self._retry_seconds = RETRY_SECONDS
        self._next_at = self._clock.seconds() + delay

    async def describe(self, _sender: Member, message: Message) -> Message:
        """Answer `DescribeGroups`."""
        assert isinstance(message, DescribeGroups)
        described = [self._describe(partition) for partition in message.partitions]
        return GroupDescriptions(
            tuple(d for d in described if d.holding is not Holding.NOTHING)
        )

    def _describe(self, partition: PartitionNumber) -> GroupDescription:
        if self._claims.is_under_way(partition):
            return GroupDescription(partition, Holding.CLAIMING)
        group = self._host.group(partition)
        if group is None:
            return GroupDescription(partition, Holding.NOTHING)
        return group.describe()

    def look(self) -> None:
        """Begin a round of recovery if it is due and any partition needs it."""
        now = self._clock.seconds()
        if self._is_running or self._is_stopped or now < self._next_at:
            return
        if not self._knows_region():
            return
        orphans = self._orphans(now)
        if not orphans:
            return
        self._is_running = True
        self._next_at = now + self._retry_seconds
        self._retry_seconds = min(self._retry_seconds * 2, LONGEST_RETRY_SECONDS)
        ensureDeferred(self._recover(orphans)).addBoth(self._finished)

    def _finished(self, result: object) -> None:
        self._is_running = False
        if isinstance(result, Failure):
            emit(ReplicationTaskFailed("recovery", result.getErrorMessage()))

    def _orphans(self, now: float) -> list[PartitionNumber]:
        """Give the partitions that need help, forgetting the settled ones."""
        orphans: list[PartitionNumber] = []
        for partition in sorted(self._host.unsettled):
            if self._is_settled(partition):
                self._host.unsettled.discard(partition)
                self._since.pop(partition, None)
                continue
            self._since.setdefault(partition, now)
            if self._needs_help(partition) and not self._claims.is_under_way(partition):
                orphans.append(partition)
        return orphans

    def _is_settled(self, partition: PartitionNumber) -> bool:
        group = self._host.group(partition)
        is_target = self._own in self._pictures.targets_of(partition)
        if group is None or not group.holds_state:
            return not is_target
        if group.is_leading:
            return True
        return is_target and group.replica.believes_leader_alive()

    def _needs_help(self, partition: PartitionNumber) -> bool:
        group = self._host.group(partition)
        if group is None or not group.holds_state:
            return True
        if group.replica.believes_leader_alive():
            return True  # as a member that should not be one; it may be none
        return group.failed_rounds >= STUCK_ROUNDS or not group.may_have_majority

    async def _recover(self, partitions: list[PartitionNumber]) -> None:
        answers = await self._ask(partitions)
        await DeferredList(
            [
                self._streams.run(self._settle_one, partition, answers[partition])
                for partition in partitions
            ]
        )

    def _audience(self, partition: PartitionNumber) -> frozenset[Member]:
        """Give whom to ask: everybody, unless there is a leader who knows best."""
        others = self._pictures.others_alive
        group = self._host.group(partition)
        if group is None or not group.replica.believes_leader_alive():
            return others
        targets = self._pictures.targets_of(partition)
        return others & {group.replica.leader, *targets}

    async def _ask(self, partitions: list[PartitionNumber]) -> Descriptions:
        """Ask each daemon about all partitions that concern it, in one request."""
        questions: dict[Member, list[PartitionNumber]] = {}
        for partition in partitions:
            for member in self._audience(partition):
                questions.setdefault(member, []).append(partition)
        asked = sorted(questions)
        replies = await DeferredList(
            [
                self._network.request(
                    member.daemon, DescribeGroups(tuple(questions[member])), ASK_SECONDS
                )
                for member in asked
            ]
        )
        descriptions: Descriptions = {partition: {} for partition in partitions}
        for member, (_, reply) in zip(asked, replies, strict=True):
            if isinstance(reply, Ok) and isinstance(reply.ok_value, GroupDescriptions):
                for partition in questions[member]:
                    description = _description_in(reply.ok_value, partition)
                    descriptions[partition][member] = description
        return descriptions

    def _settle_one(
        self,
        partition: PartitionNumber,
        answers: dict[Member, GroupDescription],
    ) -> "Deferred[None]":
        unanswered = self._audience(partition) - answers.keys()
        descriptions = answers | {self._own: self._describe(partition)}
        return ensureDeferred(self._settle(partition, descriptions, unanswered))

    async def _settle(
        self,
        partition: PartitionNumber,
        descriptions: dict[Member, GroupDescription],
        unanswered: frozenset[Member],
    ) -> None:
        """Decide without the log service if possible, else with it."""
        decision = decide(self._evidence(partition, descriptions, unanswered, None))
        if isinstance(decision, Superseded):
            self._drop(partition, decision)
            return
        if not isinstance(decision, Wait) or not decision.needs_archive:
            return
        archive = await read_archive(self._log, stream_of(self._region, partition))
        if isinstance(archive, Err) or self._is_stopped:
            return
        # Meanwhile a leader may have been heard of.
        descriptions[self._own] = self._describe(partition)
        evidence = self._evidence(partition, descriptions, unanswered, archive.ok_value)
        decision = decide(evidence)
        if isinstance(decision, Claim) and archive.ok_value.generation > 0:
            decision = await self._decide_again(partition, archive.ok_value)
        if isinstance(decision, Claim) and not self._claims.is_under_way(partition):
            await self._claims.claim(partition, decision, archive.ok_value)

    async def _decide_again(
        self, partition: PartitionNumber, archive: ArchiveReplay
    ) -> Decision:
        """Decide on a rebuilding by what peers say after the archive was read.

        The archive may tell of a group that was founded after they were asked:
        then they said that they hold nothing of it, and hold it now.
        """
        answers = (await self._ask([partition]))[partition]
        unanswered = self._audience(partition) - answers.keys()
        descriptions = answers | {self._own: self._describe(partition)}
        return decide(self._evidence(partition, descriptions, unanswered, archive))

    def _evidence(
        self,
        partition: PartitionNumber,
        descriptions: dict[Member, GroupDescription],
        unanswered: frozenset[Member],
        archive: ArchiveReplay | None,
    ) -> Evidence:
        now = self._clock.seconds()
        return Evidence(
            self._own,
            descriptions,
            unanswered,
            archive,
            self._pictures.targets_of(partition),
            self._membership.is_certainly_dead,
            self._pictures.is_region_majority(),
            now - self._since.get(partition, now),
        )

    def _drop(self, partition: PartitionNumber, decision: Superseded) -> None:
        group = self._host.group(partition)
        if group is None:
            return
        replica = group.replica
        event = GroupSuperseded(
            partition, replica.epoch, replica.archived.index, replica.commit_index
        )
        emit(event)
        self._host.carry_out(
            group, group.superseded(decision.configuration, self._clock.seconds())
        )


def _description_in(
    reply: GroupDescriptions, partition: PartitionNumber
) -> GroupDescription:
    for description in reply.groups:
        if description.partition == partition:
            return description
    return GroupDescription(partition, Holding.NOTHING)
