"""Serves requests for the account partitions that are assigned to this daemon."""

import time
from collections.abc import Callable, Generator
from functools import partial
from random import Random
from typing import Any, TypeVar, cast

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.gateways import Gateways
from notcharch.accounts.limited_tenants import LimitContext
from notcharch.accounts.messages import (
    AdmitCall,
    AdmitTurn,
    FindTurn,
    KeepTurn,
    NotOwner,
    PartitionMessage,
    RaiseGrant,
    ReadTurns,
    SettleCall,
    TurnAdmitted,
)
from notcharch.accounts.partition import OwnedPartition
from notcharch.events.feed_faults import FeedFaults
from notcharch.events.steady_loop import steady_loop
from notcharch.journal.assigned_partitions import AssignedPartitions
from notcharch.journal.interface import LogService, Membership
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.partition_journal import PartitionAssignment
from notcharch.journal.partitioning import Partitioning
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.renewal import RenewalSchedule
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.values.identifiers import Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

RELIEF_INTERVAL_SECONDS = 1.0
"""Interval of removing expired turns while memory is short."""

RequestT = TypeVar("RequestT", bound=PartitionMessage)


class OwnedPartitions:
    """Takes over and releases partitions as the group assigns them."""

    def __init__(
        self,
        log: LogService,
        clock: IReactorTime,
        random: Random,
        partitioning: Partitioning,
        network: PeerNetwork,
        *,
        directory: OwnerDirectory,
        heartbeat: Callable[[], None],
        schedule: RenewalSchedule,
        recovery: RecoverySignal,
        suspicions: SharedSuspicions,
        uses_starting_allowance: bool = True,
        limit_context: LimitContext | None = None,
        wall_clock: Callable[[], float] = time.time,
        memory: AccountMemory | None = None,
    ) -> None:
        """Serve peers through `network`; refer them to the owner of other partitions.

        `memory` bounds what all partitions of the process hold.
        """
        self._gateways = Gateways(network)
        self._memory = memory or AccountMemory()
        self._wall_clock = wall_clock
        self._log = log
        self._clock = clock
        self._random = random
        self._partitions: AssignedPartitions[OwnedPartition] = AssignedPartitions(
            network.own_member,
            partitioning,
            directory,
            heartbeat=heartbeat,
            create=self._create,
        )
        self._schedule = schedule
        self._recovery = recovery
        self._uses_starting_allowance = uses_starting_allowance
        self._limit_context = limit_context
        self._suspicions = suspicions
        self._faults = FeedFaults("cleanup")
        self._cleanup = steady_loop(clock, "cleanup", self._clean_up)
        self._relief = steady_loop(clock, "relief", self._relieve)
        self._network = network
        network.on_request(AdmitTurn, self._admit)
        network.on_request(RaiseGrant, self._raise_grant)
        self._serve(KeepTurn, OwnedPartition.store_turn)
        self._serve(FindTurn, OwnedPartition.find_turn)
        self._serve(ReadTurns, OwnedPartition.read_turns)
        self._serve(AdmitCall, OwnedPartition.admit_call)
        network.on_notice(SettleCall, self._complete_call)

    def start(self) -> None:
        """Start removing expired state and rewriting records before the log drops them."""
        self._cleanup.start(self._schedule.check_seconds, now=False)
        self._relief.start(RELIEF_INTERVAL_SECONDS, now=False)

    def on_assignment(self, membership: Membership) -> None:
        """Take over partitions that were added, and release those that were removed."""
        self._partitions.on_assignment(membership)

    def _create(self, assignment: PartitionAssignment) -> OwnedPartition:
        return OwnedPartition(
            self._log,
            self._clock,
            self._random,
            assignment,
            on_fenced=self._partitions.on_fenced,
            recovery=self._recovery,
            uses_starting_allowance=self._uses_starting_allowance,
            limit_context=self._limit_context,
            wall_clock=self._wall_clock,
            schedule=self._schedule,
            memory=self._memory,
            is_lost=self._gateways.is_lost,
        )

    @property
    def count(self) -> int:
        """Number of partitions that are owned or being taken over."""
        return len(self._partitions.all())

    def release_all(self) -> "Deferred[Any]":
        """Release all partitions; fires when all accounts are handed over."""
        if self._cleanup.running:
            self._cleanup.stop()
            self._relief.stop()
        return self._partitions.release_all()

    def _clean_up(self) -> None:
        for owned in self._partitions.all():
            name = f"partition {owned.assignment.number}"
            self._faults.isolate(name, owned.clean_up)

    def _relieve(self) -> None:
        for owned in self._partitions.all():
            owned.relieve()

    def _not_owner(self, partition: int) -> NotOwner:
        owner = self._partitions.other_owner(partition)
        return NotOwner("" if owner is None else owner.member_id())

    def _serve(
        self,
        kind: type[RequestT],
        handler: Callable[[OwnedPartition, RequestT], "Deferred[Message]"],
    ) -> None:
        """Register a handler of a request type for the partitions owned here."""

        async def handle(sender: Member, message: Message) -> Message:
            return await self._handle(sender, cast(RequestT, message), handler)

        self._network.on_request(kind, handle)

    async def _handle(
        self,
        sender: Member,
        request: RequestT,
        handler: Callable[[OwnedPartition, RequestT], "Deferred[Message]"],
    ) -> Message:
        """Let the partition of a request handle it, if it is owned here."""
        owned = self._partitions.get(request.partition)
        if owned is None:
            return self._not_owner(request.partition)
        return await handler(owned, request)

    async def _admit(self, sender: Member, message: Message) -> Message:
        request = cast(AdmitTurn, message)
        handler = partial(self._admit_turn, gateway=sender)
        return await self._handle(sender, request, handler)

    async def _raise_grant(self, sender: Member, message: Message) -> Message:
        request = cast(RaiseGrant, message)
        handler = partial(OwnedPartition.raise_grant, gateway=sender)
        return await self._handle(sender, request, handler)

    @inlineCallbacks
    def _admit_turn(
        self, owned: OwnedPartition, request: AdmitTurn, gateway: Member
    ) -> Generator["Deferred[Any]", Any, Message]:
        """Admit a call, and exchange engine suspicions with the requester."""
        self._suspicions.merge(request.suspicions, self._clock.seconds())
        reply: Message = yield owned.admit(request, gateway)
        suspected = self._suspicions.to_send(self._clock.seconds())
        if suspected and isinstance(reply, TurnAdmitted):
            return msgspec.structs.replace(reply, suspicions=suspected)
        return reply

    def _complete_call(self, sender: Member, message: Message) -> None:
        notice = cast(SettleCall, message)
        owned = self._partitions.get(notice.partition)
        if owned is not None:
            owned.complete_call(notice)
