"""The partitions of which this daemon is a replica; implements `PartitionReplicas`."""

import random
from collections.abc import Callable

from result import Err, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.clients.ports import LogPort
from notcharch.errors import Problem, ProblemCode
from notcharch.placement.interface import MembershipView
from notcharch.replication.applier import CommandCodec
from notcharch.replication.archiver import Archiver
from notcharch.replication.hand_over import HandOver, HandOverReport
from notcharch.replication.host import (
    GroupHost,
    LeadershipListener,
    StateMachineFactory,
)
from notcharch.replication.interface import Command, CommandResult, StateMachine
from notcharch.replication.pending import RETRY_SECONDS, PendingProposals
from notcharch.replication.pictures import Pictures, ReplicasOf
from notcharch.replication.recovery import Recovery
from notcharch.replication.status import ReplicationStatus, status_of
from notcharch.settings.schema import ReplicationSection
from notcharch.values.identifiers import DaemonName, Epoch, PartitionNumber, RegionName
from notcharch.wire.messages.replication import DescribeGroups, ReplicationNotice
from notcharch.wire.peers import PeerNetwork

BEAT_SECONDS = 0.25
PAUSE_SECONDS = 1.5
"""A beat so late tells of a pause, in which another leader may have been elected.

It is below the time in which the membership finds a member dead.
"""

SETTLE_SECONDS = 0.3
"""How long after the membership changed partitions without a leader are looked at."""


class ReplicationService:
    """Replica groups on one daemon."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        membership: MembershipView,
        replicas_of: ReplicasOf,
        log: LogPort,
        clock: IReactorTime,
        random_source: random.Random,
        region: RegionName,
        settings: ReplicationSection,
        state_machine_factory: StateMachineFactory,
        command_types: tuple[type[Command], ...],
        knows_region: Callable[[], bool],
    ) -> None:
        """Wire the parts; nothing happens before `start`.

        `replicas_of` gives the daemons of a partition, the first leader first.
        `state_machine_factory` makes an empty state. Every command that is
        proposed has one of `command_types`. No group is founded or rebuilt
        while `knows_region` says no.
        """
        self._network = network
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._codec = CommandCodec(command_types)
        self._pending = PendingProposals(settings.commit_seconds)
        self._pictures = Pictures(network.own_member, membership, replicas_of)
        self._host = GroupHost(
            network=network,
            clock=clock,
            source=random_source,
            pictures=self._pictures,
            state_machine_factory=state_machine_factory,
            codec=self._codec,
            pending=self._pending,
            replica_count=settings.replica_count,
        )
        self._recovery = Recovery(
            host=self._host,
            network=network,
            membership=membership,
            pictures=self._pictures,
            log=log,
            clock=clock,
            region=region,
            knows_region=knows_region,
        )
        self._archiver = Archiver(
            host=self._host,
            log=log,
            clock=clock,
            region=region,
            archive_seconds=settings.archive_seconds,
            backlog_bytes=settings.archive_backlog_bytes,
        )
        self._hand_over: HandOver | None = None
        self._beat = LoopingCall(self._on_beat)
        self._beat.clock = clock
        self._last_beat = 0.0
        self._is_stopped = False
        self._is_refresh_scheduled = False

    def start(self) -> None:
        """Take part in the groups, from the next turn of the event loop on."""
        self._network.on_notice(ReplicationNotice, self._host.on_notice)
        self._network.on_request(DescribeGroups, self._recovery.describe)
        self._membership.on_change(self._on_membership)
        self._last_beat = self._clock.seconds()
        self._beat.start(BEAT_SECONDS, now=False)
        self._on_membership()

    def stop(self) -> None:
        """Stop at once; see `hand_over` for a planned stop."""
        self._host.stop()
        self._recovery.stop()
        self._archiver.stop()
        self._is_stopped = True
        self._pending.stop()
        if self._beat.running:
            self._beat.stop()

    def hand_over(self, timeout_seconds: float) -> "Deferred[HandOverReport]":
        """Lead nothing, then be a member of nothing; fires with what was left.

        The membership must have announced that this daemon leaves, else the
        other daemons keep it as a replica and only leadership moves.
        """
        deadline = self._clock.seconds() + timeout_seconds
        self._pictures.is_own_leaving = True
        self._hand_over = HandOver(self._host, self._pictures, self._archiver, deadline)
        self._on_membership()
        return self._hand_over.done

    def status(self) -> ReplicationStatus:
        """Give the state of replication on this daemon."""
        return status_of(self._host, self._archiver, self._clock.seconds())

    def _on_membership(self) -> None:
        # Placement listens too, and must have noticed before it is asked.
        if not self._is_refresh_scheduled:
            self._is_refresh_scheduled = True
            self._clock.callLater(0, self._refresh)

    def _refresh(self) -> None:
        self._is_refresh_scheduled = False
        self._pictures.refresh()
        for number in range(self._settings.partition_count):
            self._host.unsettled.add(PartitionNumber(number))
        self._host.membership_changed()
        self._recovery.hurry(SETTLE_SECONDS)

    def _on_beat(self) -> None:
        now = self._clock.seconds()
        self._notice_pause(now)
        self._pending.expire(now)
        self._recovery.look()
        self._archiver.look()
        if self._hand_over is not None and self._hand_over.look(now):
            self._hand_over = None

    def _notice_pause(self, now: float) -> None:
        was_paused = now - self._last_beat > PAUSE_SECONDS
        self._last_beat = now
        if was_paused:
            self._host.woke()

    def led_partitions(self) -> tuple[PartitionNumber, ...]:
        """Give the partitions that this daemon leads now, as far as it knows."""
        self._notice_pause(self._clock.seconds())
        return self._host.led_partitions()

    def leader_epoch(self, partition: PartitionNumber) -> Epoch | None:
        """Give the epoch in which this daemon leads the partition, or None."""
        self._notice_pause(self._clock.seconds())
        return self._host.leader_epoch(partition)

    def leader_hint(self, partition: PartitionNumber) -> DaemonName | None:
        """Give the daemon that seems to lead the partition; None if unknown."""
        group = self._host.group(partition)
        hint = None if group is None else group.leader_hint
        return None if hint is None else hint.daemon

    def state(self, partition: PartitionNumber) -> StateMachine | None:
        """Give the applied state of a partition replicated here, or None."""
        group = self._host.group(partition)
        if group is None or not group.holds_state:
            return None
        return group.state

    def on_leadership(self, listener: LeadershipListener) -> None:
        """Call `listener` when this daemon begins (epoch) or ends (None) leading."""
        self._host.on_leadership(listener)

    def propose(
        self, partition: PartitionNumber, command: Command
    ) -> "Deferred[Result[CommandResult, Problem]]":
        """Replicate a command; see `PartitionReplicas.propose`."""
        group = self._host.group(partition)
        if group is None or not group.accepts_proposals or self._is_stopped:
            return succeed(Err(self._refusal(partition)))
        index = group.propose(self._codec.encode(command))
        self._host.flush_later(partition)
        return self._pending.add(
            partition, group.replica.epoch, index, self._clock.seconds()
        )

    def _refusal(self, partition: PartitionNumber) -> Problem:
        hint = self.leader_hint(partition)
        if self._is_stopped:
            hint = None
        if hint == self._network.own_member.daemon:
            return Problem.of(
                ProblemCode.UNAVAILABLE,
                f"partition {partition}: too much waits for a majority",
                retry_after=RETRY_SECONDS,
            )
        return Problem.of(
            ProblemCode.NOT_LEADER,
            f"this daemon does not lead partition {partition}",
            retry_after=RETRY_SECONDS,
            hint=hint,
        )
