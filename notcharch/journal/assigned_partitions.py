"""The partitions that the group assigns to this daemon, taken over and released."""

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any, Generic, Protocol, TypeVar

from twisted.internet.defer import Deferred, gatherResults
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.feed_faults import FeedFaults
from notcharch.events.journal import TakeoverFailed
from notcharch.journal.interface import Membership
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.owner_names import OwnerName
from notcharch.journal.partition_journal import PartitionAssignment
from notcharch.journal.partitioning import Partitioning
from notcharch.values.identifiers import Member

CLAIM_BITS = 32
"""Low bits of an epoch, which hold a claim number; the high bits are the generation.

A restarted process may claim partitions in the same generation as its predecessor. Its
claim numbers start at its incarnation, which usually grows with the clock; if it did
not grow, the claim is fenced and the next one skips `FENCED_JUMP` numbers.
"""
FENCED_JUMP = 1 << 20
"""Added to the claim number after a fenced claim; exceeds the claims of one process."""


MAX_FAILED_TAKEOVERS = 2
"""Takeovers of a partition that may fail before entries are left out that fail again."""


class AssignedPartition(Protocol):
    """An assigned partition, as its owner manages it."""

    @property
    def assignment(self) -> PartitionAssignment:
        """The partition's number, location in the log and epoch."""

    def take_over(self) -> "Deferred[Any]":
        """Fence the previous owner and replay its records."""

    def hand_over(self) -> "Deferred[Any]":
        """Write the state that the next owner needs, then release the partition."""

    def close(self) -> None:
        """Release the partition immediately."""


PartitionT = TypeVar("PartitionT", bound=AssignedPartition)


class AssignedPartitions(Generic[PartitionT]):
    """Keeps one object for each partition that is assigned to this daemon."""

    def __init__(
        self,
        local_member: Member,
        partitioning: Partitioning,
        directory: OwnerDirectory,
        *,
        heartbeat: Callable[[], None],
        create: Callable[[PartitionAssignment], PartitionT],
    ) -> None:
        """`create` builds a partition; `heartbeat` sends a heartbeat to the group."""
        self._local_member = local_member
        self._partitioning = partitioning
        self._directory = directory
        self._heartbeat = heartbeat
        self._create = create
        self._partitions: dict[int, PartitionT] = {}
        self._claims: int = local_member.incarnation
        self._faults = FeedFaults("partitions")
        self._failures: Counter[int] = Counter()
        """Takeovers of each partition that an exception ended."""

    def get(self, number: int) -> PartitionT | None:
        """Return a partition that is owned or being taken over by this daemon."""
        return self._partitions.get(number)

    def all(self) -> tuple[PartitionT, ...]:
        """Return all partitions that are owned or being taken over by this daemon."""
        return tuple(self._partitions.values())

    def on_assignment(self, membership: Membership) -> None:
        """Take over newly assigned partitions and release those no longer assigned.

        Without the whole assignment nothing is released: epochs fence a former owner.
        """
        self._directory.on_generation(membership.generation)
        numbers = map(self._partitioning.number, membership.partitions)
        assigned = {number for number in numbers if number is not None}
        for number in tuple(self._partitions):
            if membership.is_whole and number not in assigned:
                self._isolate(number, self._release)
        for number in sorted(assigned - self._partitions.keys()):
            self._isolate(
                number, partial(self._take_over, generation=membership.generation)
            )

    def _isolate(self, number: int, change: Callable[[int], None]) -> None:
        """Take over or release a partition; an exception costs that partition alone."""
        if not self._faults.isolate(f"partition {number}", lambda: change(number)):
            self._partitions.pop(number, None)

    def _release(self, number: int) -> None:
        self._partitions.pop(number).hand_over().addBoth(self._on_handed_over)

    def _on_handed_over(self, _: object) -> None:
        """Send a heartbeat immediately, so that the group reassigns the partition."""
        self._heartbeat()

    def _take_over(self, number: int, generation: int) -> None:
        self._claims = (self._claims + 1) % (1 << CLAIM_BITS)
        epoch = (generation << CLAIM_BITS) + self._claims
        assignment = PartitionAssignment(
            number,
            self._partitioning.log_partition(number),
            epoch,
            skips_failing_entries=self._failures[number] >= MAX_FAILED_TAKEOVERS,
        )
        partition = self._partitions[number] = self._create(assignment)
        partition.take_over().addErrback(self._on_takeover_failed, partition)

    def _on_takeover_failed(self, failure: Failure, partition: PartitionT) -> None:
        """Drop a partition after an exception; the next heartbeat retries."""
        assignment = partition.assignment
        emit(
            TakeoverFailed(assignment.number, assignment.epoch, failure.getTraceback())
        )
        self._failures[assignment.number] += 1
        partition.close()
        self._drop(partition)

    def on_fenced(self, partition: PartitionT) -> None:
        """Drop a partition that a higher epoch writes; the group assigns it again."""
        self._claims += FENCED_JUMP
        self._drop(partition)

    def _drop(self, partition: PartitionT) -> None:
        number = partition.assignment.number
        if self._partitions.get(number) is partition:
            del self._partitions[number]

    def release_all(self) -> "Deferred[Any]":
        """Release all partitions; fires when all are handed over."""
        released, self._partitions = self._partitions, {}
        return gatherResults([partition.hand_over() for partition in released.values()])

    def other_owner(self, number: int) -> OwnerName | None:
        """Return the owner of a partition if known and not this daemon."""
        owner = self._directory.owner(number)
        is_other = owner is not None and owner.daemon != self._local_member.daemon
        return owner if is_other else None
