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
from notcharch.journal.partition_journal import PartitionPlace
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


class Dealt(Protocol):
    """A partition as its owner keeps it."""

    @property
    def place(self) -> PartitionPlace:
        """Which partition it is, and under which epoch."""

    def take_over(self) -> "Deferred[Any]":
        """Fence the former owner and read what it wrote."""

    def hand_over(self) -> "Deferred[Any]":
        """Write what a successor needs, then give the partition up."""

    def close(self) -> None:
        """Give the partition up at once."""


DealtT = TypeVar("DealtT", bound=Dealt)


class DealtPartitions(Generic[DealtT]):
    """Keeps one object for each partition that is dealt to this daemon."""

    def __init__(
        self,
        own: Member,
        partitioning: Partitioning,
        directory: OwnerDirectory,
        *,
        heartbeat: Callable[[], None],
        make: Callable[[PartitionPlace], DealtT],
    ) -> None:
        """`make` prepares a partition; `heartbeat` tells the group at once."""
        self._own = own
        self._partitioning = partitioning
        self._directory = directory
        self._heartbeat = heartbeat
        self._make = make
        self._held: dict[int, DealtT] = {}
        self._claims: int = own.incarnation

    def get(self, number: int) -> DealtT | None:
        """Give a partition that is owned here, or being taken over."""
        return self._held.get(number)

    def all(self) -> tuple[DealtT, ...]:
        """Give every partition that is owned here, or being taken over."""
        return tuple(self._held.values())

    def dealt(self, membership: Membership) -> None:
        """Take over what is new, give up what is gone."""
        self._directory.dealt(membership.generation)
        numbers = map(self._partitioning.number, membership.partitions)
        mine = {number for number in numbers if number is not None}
        for number in tuple(self._held):
            if number not in mine:
                self._held.pop(number).hand_over().addBoth(self._handed_over)
        for number in sorted(mine - self._held.keys()):
            self._take_over(number, membership.generation)

    def _handed_over(self, _: object) -> None:
        """Heartbeat at once: the group passes on what we no longer hold."""
        self._heartbeat()

    def _take_over(self, number: int, generation: int) -> None:
        self._claims = (self._claims + 1) % (1 << CLAIM_BITS)
        epoch = (generation << CLAIM_BITS) + self._claims
        place = PartitionPlace(number, self._partitioning.place(number), epoch)
        partition = self._held[number] = self._make(place)
        partition.take_over().addErrback(self._failed, partition)

    def _failed(self, failure: Failure, partition: DealtT) -> None:
        """Drop a partition after a fault of this program: the next heartbeat retries."""
        place = partition.place
        emit(TakeoverFailed(place.number, place.epoch, failure.getTraceback()))
        partition.close()
        self._drop(partition)

    def lost(self, partition: DealtT) -> None:
        """Forget a partition that somebody else writes; the group deals anew."""
        self._claims += FENCED_JUMP
        self._drop(partition)

    def _drop(self, partition: DealtT) -> None:
        number = partition.place.number
        if self._held.get(number) is partition:
            del self._held[number]

    def give_up_all(self) -> "Deferred[Any]":
        """Stop owning anything; fires when everything is handed over."""
        held, self._held = self._held, {}
        return gatherResults([partition.hand_over() for partition in held.values()])

    def other_owner(self, number: int) -> OwnerName | None:
        """Give the other daemon that owns a partition, as far as is known here."""
        owner = self._directory.owner(number)
        is_other = owner is not None and owner.daemon != self._own.daemon
        return owner if is_other else None
