"""The partitions that this daemon was dealt, and the answers that it gives for them."""

import time
from collections.abc import Callable
from random import Random
from typing import Any, TypeVar, cast

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.accounts.directory import OwnerDirectory
from notcharch.accounts.messages import (
    AdmitTurn,
    FindTurn,
    KeepTurn,
    NotOwner,
    PartitionMessage,
    SettleCall,
)
from notcharch.accounts.partition import OwnedPartition, PartitionPlace
from notcharch.accounts.partitioning import Partitioning
from notcharch.journal.interface import LogService, Membership
from notcharch.values.identifiers import Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

CLAIM_BITS = 32
"""An epoch is the group's generation, then a number of the claim within it.

A restarted process may claim again in the generation of the one before it. Its first
number comes from its incarnation, which the clock usually makes higher; where it is
not, the claim is fenced and the next one jumps.
"""
FENCED_JUMP = 1 << 20
TIDY_EACH_SECONDS = 10.0


Asked = TypeVar("Asked", bound=PartitionMessage)


class OwnedPartitions:
    """Takes partitions over and gives them up as the group deals them."""

    def __init__(
        self,
        service: LogService,
        clock: IReactorTime,
        random: Random,
        partitioning: Partitioning,
        network: PeerNetwork,
        *,
        directory: OwnerDirectory,
        heartbeat: Callable[[], None],
        retention_seconds: float,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Answer peers through `network`; refer those that ask wrongly."""
        self._directory = directory
        self._heartbeat = heartbeat
        self._wall = wall
        self._service = service
        self._clock = clock
        self._random = random
        self._partitioning = partitioning
        self._own = network.own_member.daemon
        self._owned: dict[int, OwnedPartition] = {}
        self._claims: int = network.own_member.incarnation
        self._retention_seconds = retention_seconds
        self._tidying = LoopingCall(self._tidy)
        self._tidying.clock = clock
        self._network = network
        self._answer(AdmitTurn, OwnedPartition.admit)
        self._answer(KeepTurn, OwnedPartition.keep)
        self._answer(FindTurn, OwnedPartition.find)
        network.on_notice(SettleCall, self._settle)

    def start(self) -> None:
        """Begin to forget what is old, and to write anew what still counts."""
        self._tidying.start(TIDY_EACH_SECONDS, now=False)

    def dealt(self, membership: Membership) -> None:
        """Take over what is new, give up what is gone."""
        self._directory.dealt(membership.generation)
        numbers = map(self._partitioning.number, membership.partitions)
        mine = {number for number in numbers if number is not None}
        for partition in tuple(self._owned):
            if partition not in mine:
                self._owned.pop(partition).hand_over().addBoth(self._handed_over)
        for partition in sorted(mine - self._owned.keys()):
            self._take_over(partition, membership.generation)

    def _handed_over(self, _: object) -> None:
        """Heartbeat at once: the group passes on what we no longer hold."""
        self._heartbeat()

    def _take_over(self, partition: int, generation: int) -> None:
        self._claims = (self._claims + 1) % (1 << CLAIM_BITS)
        epoch = (generation << CLAIM_BITS) + self._claims
        log = self._partitioning.place(partition)
        place = PartitionPlace(partition, log, epoch)
        owned = OwnedPartition(
            self._service,
            self._clock,
            self._random,
            place,
            lost=self._lost,
            wall=self._wall,
        )
        self._owned[partition] = owned
        owned.take_over()

    def _lost(self, owned: OwnedPartition) -> None:
        """Forget a partition that somebody else writes; the group deals anew."""
        self._claims += FENCED_JUMP
        partition = owned.place.number
        if self._owned.get(partition) is owned:
            del self._owned[partition]

    def give_up_all(self) -> "Deferred[Any]":
        """Stop owning anything; fires when all accounts are handed over."""
        if self._tidying.running:
            self._tidying.stop()
        owned, self._owned = self._owned, {}
        return gatherResults([partition.hand_over() for partition in owned.values()])

    def _tidy(self) -> None:
        for owned in self._owned.values():
            owned.tidy(self._retention_seconds)

    def _referral(self, partition: int) -> NotOwner:
        owner = self._directory.owner(partition)
        is_other = owner is not None and owner.daemon != self._own
        return NotOwner(owner.text() if owner is not None and is_other else "")

    def _answer(
        self,
        kind: type[Asked],
        answer: Callable[[OwnedPartition, Asked], "Deferred[Message]"],
    ) -> None:
        """Answer questions of a kind for the partitions that are owned here."""

        async def handle(sender: Member, message: Message) -> Message:
            ask = cast(Asked, message)
            owned = self._owned.get(ask.partition)
            if owned is None:
                return self._referral(ask.partition)
            return await answer(owned, ask)

        self._network.on_request(kind, handle)

    def _settle(self, sender: Member, message: Message) -> None:
        told = cast(SettleCall, message)
        owned = self._owned.get(told.partition)
        if owned is not None:
            owned.settle(told)
