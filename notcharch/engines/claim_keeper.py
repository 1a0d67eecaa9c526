"""Claims one engine's stewardship, and looks whether the claim is still in force."""

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

CLAIM_CHECK_SECONDS = 10.0
"""Time between looks whether the claim is still in force."""

RECLAIM_SECONDS = 3.0
"""A superseded daemon that hashing still names claims again after this time."""

REQUEST_SECONDS = 5.0


class ClaimSurroundings(msgspec.Struct, frozen=True):
    """What every claim keeper of a daemon uses."""

    router: Router
    membership: MembershipView
    clock: IReactorTime
    partition_count: int
    own_member: Member
    network: PeerNetwork


class ClaimKeeper:
    """Moves claims between the engine's partition and the `Stewardship`."""

    def __init__(
        self,
        engine: EngineName,
        surroundings: ClaimSurroundings,
        on_claim: Callable[[StewardshipClaimed], None],
    ) -> None:
        """Call `on_claim` after each answer about the claim in force."""
        self.stewardship = Stewardship(surroundings.own_member)
        self._engine = engine
        self._around = surroundings
        self._on_claim = on_claim
        self._look_at = 0.0
        self._superseded_at: float | None = None
        self._is_offered = False

    def look_now(self) -> None:
        """Look at the claim at the next step: it may have been superseded."""
        self._look_at = 0.0

    def accept_offer(self) -> None:
        """Look at the claim at the next step, and take it over if it is another's."""
        self._is_offered = True
        self.look_now()

    async def step(self) -> None:
        """Claim if there is none, else look at it when that is due."""
        is_offered, self._is_offered = self._is_offered, False
        await self._claim_or_look()
        if is_offered and self.stewardship.phase == StewardshipPhase.SUPERSEDED:
            self.stewardship.reclaim()
            await self._claim_or_look()

    async def _claim_or_look(self) -> None:
        now = self._around.clock.seconds()
        if self.stewardship.phase == StewardshipPhase.CLAIMING:
            await self._ask(ClaimStewardship(self._engine, self._around.own_member))
        elif now >= self._look_at:
            await self._ask(ReadStewardship(self._engine))
        if self.stewardship.phase == StewardshipPhase.SUPERSEDED:
            self._reclaim_if_due(now)
        else:
            self._superseded_at = None

    async def _ask(self, message: Message) -> None:
        asked_at = self._around.clock.seconds()
        partition = partition_of_engine(self._engine, self._around.partition_count)
        outcome: Result[Message, Problem] = await self._around.router.to_partition(
            partition, message, REQUEST_SECONDS
        )
        if outcome.is_err():
            problem = outcome.unwrap_err()
            emit(ClaimFailed(self._engine, problem.code, problem.message))
            return
        claim = outcome.unwrap()
        if isinstance(claim, StewardshipClaimed):
            self._tell_former(claim)
            self._offer_late(claim)
            self._look_at = asked_at + CLAIM_CHECK_SECONDS
            self.stewardship.learn_claim(claim.member, claim.epoch, asked_at)
            self._on_claim(claim)

    def _tell_former(self, claim: StewardshipClaimed) -> None:
        """Tell the former steward of a claim of this process: it serves until then."""
        own = self._around.own_member
        is_new = self.stewardship.phase == StewardshipPhase.CLAIMING
        if not is_new or claim.member != own or claim.former in (None, own):
            return
        assert claim.former is not None
        taken = StewardshipTaken(self._engine, own, claim.epoch)
        self._around.network.notify(claim.former.daemon, taken)

    def _offer_late(self, claim: StewardshipClaimed) -> None:
        """Offer the engine if it was given up while its claim was on the way."""
        is_given_up = self.stewardship.phase == StewardshipPhase.UNASSIGNED
        successor = self._around.router.steward_of(self._engine)
        own = self._around.own_member
        if not is_given_up or claim.member != own:
            return
        if successor is not None and successor != own.daemon:
            offer = StewardshipOffered(self._engine)
            self._around.network.notify(successor, offer)

    def _reclaim_if_due(self, now: float) -> None:
        """Claim again when hashing goes on naming this daemon.

        The other may have claimed while its view of the members was different,
        and have given the engine up since.
        """
        if self._superseded_at is None:
            self._superseded_at = now
        members = self._around.membership.live_members()
        other = self.stewardship.superseded_by
        alone = all(live.member != other for live in members)
        if alone or now - self._superseded_at >= RECLAIM_SECONDS:
            self.stewardship.reclaim()
