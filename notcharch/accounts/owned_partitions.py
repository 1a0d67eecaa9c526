"""The partitions that this daemon was dealt, and the answers that it gives for them."""

import time
from collections.abc import Callable, Generator
from random import Random
from typing import Any, TypeVar, cast

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.accounts.limited_tenants import Limiting
from notcharch.accounts.messages import (
    AdmitCall,
    AdmitTurn,
    FindTurn,
    KeepTurn,
    NotOwner,
    PartitionMessage,
    SettleCall,
    TurnAdmitted,
)
from notcharch.accounts.partition import OwnedPartition
from notcharch.journal.assigned_partitions import AssignedPartitions
from notcharch.journal.interface import LogService, Membership
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.partition_journal import PartitionAssignment
from notcharch.journal.partitioning import Partitioning
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.values.identifiers import Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

TIDY_EACH_SECONDS = 10.0
"""Between two looks for what is too old: a sixth of the usual time for which it is kept."""


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
        recovery: RecoverySignal,
        suspicions: SharedSuspicions,
        allows_starting: bool = True,
        limiting: Limiting | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Answer peers through `network`; refer those that ask wrongly."""
        self._wall = wall
        self._service = service
        self._clock = clock
        self._random = random
        self._dealt: AssignedPartitions[OwnedPartition] = AssignedPartitions(
            network.own_member,
            partitioning,
            directory,
            heartbeat=heartbeat,
            create=self._make,
        )
        self._retention_seconds = retention_seconds
        self._recovery = recovery
        self._allows_starting = allows_starting
        self._limiting = limiting
        self._suspicions = suspicions
        self._tidying = LoopingCall(self._tidy)
        self._tidying.clock = clock
        self._network = network
        self._answer(AdmitTurn, self._admit)
        self._answer(KeepTurn, OwnedPartition.keep)
        self._answer(FindTurn, OwnedPartition.find)
        self._answer(AdmitCall, OwnedPartition.admit_call)
        network.on_notice(SettleCall, self._settle)

    def start(self) -> None:
        """Begin to forget what is old, and to write anew what still counts."""
        self._tidying.start(TIDY_EACH_SECONDS, now=False)

    def dealt(self, membership: Membership) -> None:
        """Take over what is new, give up what is gone."""
        self._dealt.on_assignment(membership)

    def _make(self, assignment: PartitionAssignment) -> OwnedPartition:
        return OwnedPartition(
            self._service,
            self._clock,
            self._random,
            assignment,
            lost=self._dealt.on_fenced,
            recovery=self._recovery,
            allows_starting=self._allows_starting,
            limiting=self._limiting,
            wall=self._wall,
        )

    def give_up_all(self) -> "Deferred[Any]":
        """Stop owning anything; fires when all accounts are handed over."""
        if self._tidying.running:
            self._tidying.stop()
        return self._dealt.release_all()

    def _tidy(self) -> None:
        for owned in self._dealt.all():
            owned.tidy(self._retention_seconds)

    def _referral(self, partition: int) -> NotOwner:
        owner = self._dealt.other_owner(partition)
        return NotOwner("" if owner is None else owner.member_id())

    def _answer(
        self,
        kind: type[Asked],
        answer: Callable[[OwnedPartition, Asked], "Deferred[Message]"],
    ) -> None:
        """Answer questions of a kind for the partitions that are owned here."""

        async def handle(sender: Member, message: Message) -> Message:
            ask = cast(Asked, message)
            owned = self._dealt.get(ask.partition)
            if owned is None:
                return self._referral(ask.partition)
            return await answer(owned, ask)

        self._network.on_request(kind, handle)

    @inlineCallbacks
    def _admit(
        self, owned: OwnedPartition, ask: AdmitTurn
    ) -> Generator["Deferred[Any]", Any, Message]:
        """Admit a call, and share with the asker which engines are suspected."""
        self._suspicions.merge(ask.suspicions, self._clock.seconds())
        answer: Message = yield owned.admit(ask)
        told = self._suspicions.to_send(self._clock.seconds())
        if told and isinstance(answer, TurnAdmitted):
            return msgspec.structs.replace(answer, suspicions=told)
        return answer

    def _settle(self, sender: Member, message: Message) -> None:
        told = cast(SettleCall, message)
        owned = self._dealt.get(told.partition)
        if owned is not None:
            owned.settle(told)
