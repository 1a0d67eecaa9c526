"""The partitions that the group deals to this daemon, taken over and given up."""

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from twisted.internet.defer import Deferred, gatherResults
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.journal import TakeoverFailed
from notcharch.journal.interface import Membership
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.owner_names import OwnerName
from notcharch.journal.partition_journal import PartitionAssignment
from notcharch.journal.partitioning import Partitioning
from notcharch.values.identifiers import Member

CLAIM_BITS = 32
"""An epoch is the group's generation, then a number of the claim within it.

A restarted process may claim again in the generation of the one before it. Its first
number comes from its incarnation, which the clock usually makes higher; where it is
not, the claim is fenced and the next one jumps.
"""
FENCED_JUMP = 1 << 20
"""Added to the number of claims once one was fenced: more than a process ever makes."""


class AssignedPartition(Protocol):
    """A partition as its owner keeps it."""

    @property
    def assignment(self) -> PartitionAssignment:
        """Which partition it is, and under which epoch."""

    def take_over(self) -> "Deferred[Any]":
        """Fence the former owner and read what it wrote."""

    def hand_over(self) -> "Deferred[Any]":
        """Write what a successor needs, then give the partition up."""

    def close(self) -> None:
        """Give the partition up at once."""


PartitionT = TypeVar("PartitionT", bound=AssignedPartition)


class AssignedPartitions(Generic[PartitionT]):
    """Keeps one object for each partition that is dealt to this daemon."""

    def __init__(
        self,
        local_member: Member,
        partitioning: Partitioning,
        directory: OwnerDirectory,
        *,
        heartbeat: Callable[[], None],
        create: Callable[[PartitionAssignment], PartitionT],
    ) -> None:
        """`create` prepares a partition; `heartbeat` tells the group at once."""
        self._local_member = local_member
        self._partitioning = partitioning
        self._directory = directory
        self._heartbeat = heartbeat
        self._create = create
        self._partitions: dict[int, PartitionT] = {}
        self._claims: int = local_member.incarnation

    def get(self, number: int) -> PartitionT | None:
        """Give a partition that is owned here, or being taken over."""
        return self._partitions.get(number)

    def all(self) -> tuple[PartitionT, ...]:
        """Give every partition that is owned here, or being taken over."""
        return tuple(self._partitions.values())

    def on_assignment(self, membership: Membership) -> None:
        """Take over what is new, give up what is gone."""
        self._directory.on_generation(membership.generation)
        numbers = map(self._partitioning.number, membership.partitions)
        mine = {number for number in numbers if number is not None}
        for number in tuple(self._partitions):
            if number not in mine:
                self._partitions.pop(number).hand_over().addBoth(self._handed_over)
        for number in sorted(mine - self._partitions.keys()):
            self._take_over(number, membership.generation)

    def _handed_over(self, _: object) -> None:
        """Heartbeat at once: the group passes on what we no longer hold."""
        self._heartbeat()

    def _take_over(self, number: int, generation: int) -> None:
        self._claims = (self._claims + 1) % (1 << CLAIM_BITS)
        epoch = (generation << CLAIM_BITS) + self._claims
        assignment = PartitionAssignment(
            number, self._partitioning.log_partition(number), epoch
        )
        partition = self._partitions[number] = self._create(assignment)
        partition.take_over().addErrback(self._failed, partition)

    def _failed(self, failure: Failure, partition: PartitionT) -> None:
        """Drop a partition after a fault of this program: the next heartbeat retries."""
        assignment = partition.assignment
        emit(
            TakeoverFailed(assignment.number, assignment.epoch, failure.getTraceback())
        )
        partition.close()
        self._drop(partition)

    def on_fenced(self, partition: PartitionT) -> None:
        """Forget a partition that somebody else writes; the group deals anew."""
        self._claims += FENCED_JUMP
        self._drop(partition)

    def _drop(self, partition: PartitionT) -> None:
        number = partition.assignment.number
        if self._partitions.get(number) is partition:
            del self._partitions[number]

    def release_all(self) -> "Deferred[Any]":
        """Stop owning anything; fires when everything is handed over."""
        held, self._partitions = self._partitions, {}
        return gatherResults([partition.hand_over() for partition in held.values()])

    def other_owner(self, number: int) -> OwnerName | None:
        """Give the other daemon that owns a partition, as far as is known here."""
        owner = self._directory.owner(number)
        is_other = owner is not None and owner.daemon != self._local_member.daemon
        return owner if is_other else None
