"""Claims one engine's stewardship and checks that the claim is in force."""

from collections.abc import Callable

import msgspec
from result import Result
from twisted.internet.interfaces import IReactorTime

from notcharch.engines.stewardship import Stewardship, StewardshipPhase
from notcharch.errors import Problem
from notcharch.events.engines import ClaimFailed
from notcharch.events.event import emit
from notcharch.placement.interface import MembershipView, Router
from notcharch.placement.partitions import partition_of_engine
from notcharch.values.identifiers import EngineName, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.stewardship import (
    ClaimStewardship,
    ReadStewardship,
    StewardshipClaimed,
    StewardshipOffered,
    StewardshipTaken,
)
from notcharch.wire.peers import PeerNetwork

CLAIM_CHECK_INTERVAL_SECONDS = 10.0
"""Interval of the checks whether the claim is still in force."""

RECLAIM_DELAY_SECONDS = 3.0
"""Delay before a superseded daemon that hashing still assigns claims again."""

REQUEST_TIMEOUT_SECONDS = 5.0


class ClaimDependencies(msgspec.Struct, frozen=True):
    """Dependencies that the claim managers of a daemon share."""

    router: Router
    membership: MembershipView
    clock: IReactorTime
    partition_count: int
    own_member: Member
    network: PeerNetwork


class ClaimManager:
    """Exchanges claims between the engine's partition and the `Stewardship`."""

    def __init__(
        self,
        engine: EngineName,
        dependencies: ClaimDependencies,
        on_claim: Callable[[StewardshipClaimed], None],
    ) -> None:
        """Create the manager; `on_claim` is called for each claim read."""
        self.stewardship = Stewardship(dependencies.own_member)
        self._engine = engine
        self._dependencies = dependencies
        self._on_claim = on_claim
        self._next_check_at = 0.0
        self._superseded_at: float | None = None
        self._is_offered = False

    def check_now(self) -> None:
        """Check the claim at the next step: it may have been superseded."""
        self._next_check_at = 0.0

    def accept_offer(self) -> None:
        """Check the claim at the next step, and take it over from its holder."""
        self._is_offered = True
        self.check_now()

    async def step(self) -> None:
        """Claim the engine if necessary, else check the claim when due."""
        is_offered, self._is_offered = self._is_offered, False
        await self._claim_or_check()
        if is_offered and self.stewardship.phase == StewardshipPhase.SUPERSEDED:
            self.stewardship.reclaim()
            await self._claim_or_check()

    async def _claim_or_check(self) -> None:
        now = self._dependencies.clock.seconds()
        if self.stewardship.phase == StewardshipPhase.CLAIMING:
            await self._send(
                ClaimStewardship(self._engine, self._dependencies.own_member)
            )
        elif now >= self._next_check_at:
            await self._send(ReadStewardship(self._engine))
        if self.stewardship.phase == StewardshipPhase.SUPERSEDED:
            self._reclaim_if_due(now)
        else:
            self._superseded_at = None

    async def _send(self, message: Message) -> None:
        requested_at = self._dependencies.clock.seconds()
        partition = partition_of_engine(
            self._engine, self._dependencies.partition_count
        )
        outcome: Result[
            Message, Problem
        ] = await self._dependencies.router.to_partition(
            partition, message, REQUEST_TIMEOUT_SECONDS
        )
        if outcome.is_err():
            problem = outcome.unwrap_err()
            emit(ClaimFailed(self._engine, problem.code, problem.message))
            return
        claim = outcome.unwrap()
        if isinstance(claim, StewardshipClaimed):
            self._notify_former_steward(claim)
            self._offer_to_successor(claim)
            self._next_check_at = requested_at + CLAIM_CHECK_INTERVAL_SECONDS
            self.stewardship.learn_claim(claim.member, claim.epoch, requested_at)
            self._on_claim(claim)

    def _notify_former_steward(self, claim: StewardshipClaimed) -> None:
        """Notify the former steward, which serves the engine until then."""
        local_member = self._dependencies.own_member
        is_new = self.stewardship.phase == StewardshipPhase.CLAIMING
        if (
            not is_new
            or claim.member != local_member
            or claim.former in (None, local_member)
        ):
            return
        assert claim.former is not None
        notice = StewardshipTaken(self._engine, local_member, claim.epoch)
        self._dependencies.network.notify(claim.former.daemon, notice)

    def _offer_to_successor(self, claim: StewardshipClaimed) -> None:
        """Offer the engine if it was released while its claim was in flight."""
        is_released = self.stewardship.phase == StewardshipPhase.UNASSIGNED
        successor = self._dependencies.router.steward_of(self._engine)
        local_member = self._dependencies.own_member
        if not is_released or claim.member != local_member:
            return
        if successor is not None and successor != local_member.daemon:
            offer = StewardshipOffered(self._engine)
            self._dependencies.network.notify(successor, offer)

    def _reclaim_if_due(self, now: float) -> None:
        """Claim again after a delay, or at once if the claim holder has left.

        The holder may have claimed with an outdated view of the members and
        have released the engine since.
        """
        if self._superseded_at is None:
            self._superseded_at = now
        members = self._dependencies.membership.live_members()
        other = self.stewardship.superseded_by
        is_holder_absent = all(live.member != other for live in members)
        if is_holder_absent or now - self._superseded_at >= RECLAIM_DELAY_SECONDS:
            self.stewardship.reclaim()
