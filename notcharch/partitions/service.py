"""The partitions that this daemon leads; implements `PartitionHost`."""

from collections.abc import Callable
from random import Random

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.errors import Problem, ProblemCode
from notcharch.events.event import emit
from notcharch.events.partitions import ListenerFailed
from notcharch.journal.assigned_partitions import AssignedPartitions
from notcharch.journal.group import GroupMember
from notcharch.journal.interface import GroupName, LogService
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.owner_names import OwnerName
from notcharch.journal.partition_journal import PartitionAssignment
from notcharch.journal.partitioning import Partitioning
from notcharch.partitions.interface import (
    Command,
    CommandResult,
    LeadershipListener,
    StateMachine,
)
from notcharch.partitions.led_partition import (
    RETRY_SECONDS,
    LedPartition,
    PartitionDependencies,
    ProposalResult,
)
from notcharch.partitions.records import CommandCodec
from notcharch.settings.schema import PartitionsSection
from notcharch.values.identifiers import DaemonName, Epoch, Member, PartitionNumber

TOPIC = "partitions"
GROUP = "partition-leaders"
SNAPSHOT_CHECK_SECONDS = 5.0


class PartitionStatus(msgspec.Struct, frozen=True):
    """Status of a led partition; positions are offsets in its journal."""

    partition: PartitionNumber
    epoch: Epoch
    end: int
    snapshot_covers_to: int
    waiting: int
    """Number of commands that aren't durable yet."""


class PartitionService:
    """Leads the partitions that the log service's group assigns to this daemon."""

    def __init__(
        self,
        *,
        local_member: Member,
        peer_address: str,
        partitioning: Partitioning,
        directory: OwnerDirectory,
        lease_seconds: float,
        dependencies: PartitionDependencies,
    ) -> None:
        """Create the components; no request is sent before `start`."""
        self._dependencies = dependencies
        self._directory = directory
        self._is_stopped = False
        self._listeners: list[LeadershipListener] = []
        self._assigned: AssignedPartitions[LedPartition] = AssignedPartitions(
            local_member,
            partitioning,
            directory,
            heartbeat=self._heartbeat,
            create=self._create,
        )
        self._group = GroupMember(
            dependencies.service,
            dependencies.clock,
            GroupName(GROUP, partitioning.topics),
            OwnerName(local_member.daemon, peer_address).member_id(),
            min_lease_seconds=lease_seconds,
            on_assignment=self._assigned.on_assignment,
        )
        self._snapshot_check = LoopingCall(self._write_due_snapshots)
        self._snapshot_check.clock = dependencies.clock

    def _create(self, assignment: PartitionAssignment) -> LedPartition:
        return LedPartition(
            self._dependencies,
            assignment,
            on_fenced=self._assigned.on_fenced,
            on_leading=self._on_leading,
        )

    def _heartbeat(self) -> None:
        self._group.heartbeat()

    def start(self) -> None:
        """Join the group and follow the leaders of all partitions."""
        self._snapshot_check.start(SNAPSHOT_CHECK_SECONDS, now=False)
        self._directory.start()
        self._group.start()

    def stop(self) -> None:
        """Stop immediately; see `hand_over` for a planned stop."""
        self._is_stopped = True
        if self._snapshot_check.running:
            self._snapshot_check.stop()
        self._group.stop()
        self._directory.stop()
        for partition in self._assigned.all():
            partition.close()

    def hand_over(self) -> "Deferred[None]":
        """Hand over all partitions; fires after the group is left."""
        self._group.stop()
        handed_over = self._assigned.release_all()
        return handed_over.addBoth(lambda _: self._leave_group())

    def _leave_group(self) -> None:
        self._group.leave()

    def _write_due_snapshots(self) -> None:
        for partition in self._assigned.all():
            partition.snapshot_if_due()

    # Leadership

    def led_partitions(self) -> tuple[PartitionNumber, ...]:
        """Return the partitions that this daemon leads under a valid lease."""
        if not self._group.is_lease_valid:
            return ()
        return tuple(p.number for p in self._assigned.all() if p.is_leading)

    def leader_epoch(self, partition: PartitionNumber) -> Epoch | None:
        """Return the epoch in which this daemon leads the partition, or None."""
        led = self._led(partition)
        return None if led is None else led.epoch

    def _led(self, partition: PartitionNumber) -> LedPartition | None:
        """Return a partition that this daemon leads under a valid lease, or None."""
        led = self._assigned.get(partition)
        if led is None or not led.is_leading or not self._group.is_lease_valid:
            return None
        return led

    def leader_hint(self, partition: PartitionNumber) -> DaemonName | None:
        """Return the other daemon that probably leads the partition, or None."""
        owner = self._assigned.other_owner(partition)
        return None if owner is None else owner.daemon

    def state(self, partition: PartitionNumber) -> StateMachine | None:
        """Return the applied state of a partition that this daemon leads, or None."""
        led = self._led(partition)
        return None if led is None else led.state

    def status(self) -> tuple[PartitionStatus, ...]:
        """Return the status of the partitions that this daemon leads."""
        return tuple(
            PartitionStatus(
                led.number, led.epoch, led.end, led.snapshot_covers_to, led.waiting
            )
            for led in self._assigned.all()
            if led.is_leading
        )

    def on_leadership(self, listener: LeadershipListener) -> None:
        """Call `listener` when this daemon starts (epoch) or stops (None) leading."""
        self._listeners.append(listener)

    def _on_leading(self, led: LedPartition, is_leading: bool) -> None:
        epoch = led.epoch if is_leading else None
        for listener in self._listeners:
            try:
                listener(led.number, epoch)
            except Exception as error:
                emit(ListenerFailed(led.number, repr(error)))

    # Commands

    def propose(
        self, partition: PartitionNumber, command: Command
    ) -> "Deferred[Result[CommandResult, Problem]]":
        """Journal a command; see `PartitionHost.propose`."""
        led = self._assigned.get(partition)
        if led is None or not led.is_leading or self._is_stopped:
            return succeed(self._not_leader(partition))
        return led.propose(command)

    def _not_leader(self, partition: PartitionNumber) -> ProposalResult:
        problem = Problem.of(
            ProblemCode.NOT_LEADER,
            f"this daemon does not lead partition {partition}",
            retry_after=RETRY_SECONDS,
            hint=self.leader_hint(partition),
        )
        return Err(problem)


def partition_dependencies(
    service: LogService,
    clock: IReactorTime,
    random: Random,
    settings: PartitionsSection,
    *,
    command_types: tuple[type[Command], ...],
    new_state: Callable[[PartitionNumber], StateMachine],
) -> PartitionDependencies:
    """Build the dependencies of a daemon's partitions from its settings."""
    return PartitionDependencies(
        service=service,
        clock=clock,
        random=random,
        codec=CommandCodec(command_types),
        new_state=new_state,
        commit_seconds=settings.commit_seconds,
        snapshot_seconds=settings.snapshot_seconds,
    )
