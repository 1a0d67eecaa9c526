"""This daemon's stewardship of one engine: polls, claims and replies.

Passes messages between the network, the engine and the I/O-free state classes.
"""

import random
from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Result
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EnginePort, Machine, MachineState, OrderKind
from notcharch.engines.cache_tracker import CacheTracker
from notcharch.engines.claim_manager import ClaimDependencies, ClaimManager
from notcharch.engines.orders import EngineOrders
from notcharch.engines.pending_requests import PendingRequests
from notcharch.engines.periodic import PeriodicTask
from notcharch.engines.refusals import not_steward
from notcharch.engines.steward_state import StewardState
from notcharch.engines.stewardship import StewardshipPhase
from notcharch.errors import Problem, ProblemCode
from notcharch.events.engines import (
    EngineClosed,
    EngineOpened,
    GatewayFreed,
    StewardshipBegun,
    StewardshipEnded,
)
from notcharch.events.event import emit
from notcharch.placement.interface import MembershipView, Router
from notcharch.scheduling.breaker import BreakerPolicy
from notcharch.scheduling.calls import CallKey, OrderPolicy
from notcharch.settings.schema import EnginesSection
from notcharch.values.identifiers import (
    DaemonName,
    EngineName,
    Epoch,
    Member,
    ProgramId,
)
from notcharch.wire.messages.engines import (
    EngineDescription,
    EngineQuote,
    GrantReturned,
)
from notcharch.wire.messages.stewardship import (
    StewardshipClaimed,
    StewardshipOffered,
    StewardshipTaken,
)
from notcharch.wire.peers import PeerNetwork

CLAIM_RETRY_INTERVAL_SECONDS = 1.0
"""Interval of the attempts to record a claim."""

GATEWAY_GRACE_SECONDS = 10.0
"""A gateway that is absent from the membership this long counts as dead."""

LOAD_TIMEOUT_SECONDS = 1.5
"""Timeout for reading an engine's load."""

INSTANCE_BITS = 48


class StewardDependencies(msgspec.Struct, frozen=True):
    """Dependencies that the engine stewards of a daemon share."""

    router: Router
    membership: MembershipView
    engine_port: EnginePort
    clock: IReactorTime
    chance: random.Random
    settings: EnginesSection
    partition_count: int
    own_member: Member
    network: PeerNetwork
    order_policy: OrderPolicy = OrderPolicy()
    breaker_policy: BreakerPolicy = BreakerPolicy()

    def claims(self) -> ClaimDependencies:
        """Return the dependencies of a claim manager."""
        return ClaimDependencies(
            self.router,
            self.membership,
            self.clock,
            self.partition_count,
            self.own_member,
            self.network,
        )


class EngineSteward:
    """Stewards one engine."""

    def __init__(self, machine: Machine, dependencies: StewardDependencies) -> None:
        """Create the steward; `start` begins to poll and to claim."""
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self.machine = machine
        self.engine = EngineName(machine.name)
        instance = f"{dependencies.chance.getrandbits(INSTANCE_BITS):x}"
        self.state = StewardState(
            engine=self.engine,
            instance=instance,
            address=machine.address,
            slots=machine.slots,
            queue_limit=dependencies.settings.queue_limit,
            order_policy=dependencies.order_policy,
            breaker_policy=dependencies.breaker_policy,
        )
        self.claims = ClaimManager(self.engine, dependencies.claims(), self._on_claim)
        self.stewardship = self.claims.stewardship
        self.queue = PendingRequests(self.state, dependencies.clock)
        self.cache = CacheTracker(
            engine=self.engine,
            address=machine.address,
            router=dependencies.router,
            engine_port=dependencies.engine_port,
            clock=dependencies.clock,
            chance=dependencies.chance,
            settings=dependencies.settings,
        )
        self.orders = EngineOrders(
            engine=self.engine,
            stewardship=self.stewardship,
            port=dependencies.engine_port,
            clock=dependencies.clock,
            instance=instance,
            on_fenced=self.claims.check_now,
        )
        self._drain_ordered = False
        self._missing_since: dict[Member, float] = {}
        self._was_accepting = True
        self._load_task = self._periodic(
            "load", self._read_load, dependencies.settings.load_poll_seconds
        )
        self._claim_task = self._periodic(
            "claim", self._claim, CLAIM_RETRY_INTERVAL_SECONDS
        )

    def start(self) -> None:
        """Start claiming the engine and polling it."""
        self.stewardship.assign(True)
        self._set_epoch()
        self.learn_machine(self.machine)
        self._claim_task.start()
        self._load_task.start()
        self.cache.start()

    def stop(self, problem: Problem) -> None:
        """End the stewardship; waiting calls are refused with `problem`."""
        was_superseded = self.stewardship.phase == StewardshipPhase.SUPERSEDED
        self.stewardship.assign(False)
        self._set_epoch()
        self._claim_task.stop()
        self._load_task.stop()
        self.cache.stop()
        self.queue.send_replies(self.state.refuse_all_waiting(problem))
        self.queue.stop()
        if not was_superseded:
            emit(StewardshipEnded(self.engine, problem.code))

    def offer(self, successor: DaemonName) -> bool:
        """Offer the engine to the daemon that hashing now assigns.

        Returns whether this daemon serves until then: only if it has the claim.
        """
        if self.stewardship.phase != StewardshipPhase.HOLDING:
            return False
        self._dependencies.network.notify(successor, StewardshipOffered(self.engine))
        self.claims.check_now()
        return True

    def claim_offered(self) -> None:
        """Claim the engine immediately after its steward has offered it."""
        self.claims.accept_offer()
        self._claim_task.run_now()

    def learn_superseding_claim(self, notice: StewardshipTaken) -> None:
        """Record that another process has claimed the engine."""
        now = self._clock.seconds()
        self.stewardship.learn_claim(notice.member, notice.epoch, now)
        self._set_epoch()

    def learn_machine(self, machine: Machine) -> None:
        """Record the machine list's entry of the engine."""
        self.machine = machine
        self.state.address = machine.address
        self.cache.address = machine.address
        leaving = machine.state != MachineState.LIVE
        self._set_closed(leaving, self.state.draining)

    def free_dead_gateways(self) -> None:
        """Free the calls and grants of dead gateways."""
        now = self._clock.seconds()
        live = {live.member for live in self._dependencies.membership.live_members()}
        known_gateways = self.state.gateways()
        for gateway in tuple(self._missing_since):
            if gateway in live or gateway not in known_gateways:
                del self._missing_since[gateway]
        for gateway in known_gateways - live:
            since = self._missing_since.setdefault(gateway, now)
            is_dead = self._dependencies.membership.is_certainly_dead(gateway)
            if is_dead or now - since >= GATEWAY_GRACE_SECONDS:
                self.queue.send_replies(self.state.free_gateway(gateway, now))
                emit(GatewayFreed(self.engine, gateway.daemon, gateway.incarnation))

    def refusal(self) -> Problem | None:
        """Return why this daemon does not act as the steward, or None if it does."""
        if self.stewardship.phase != StewardshipPhase.SUPERSEDED:
            return None
        other = self.stewardship.superseded_by
        return not_steward(self.engine, other.daemon if other else None)

    def quote(self, program: ProgramId, prompt_tokens: int) -> EngineQuote:
        """Return the expected wait and the cached prefix of a call."""
        now = self._clock.seconds()
        cached = min(self.cache.tokens(program), prompt_tokens)
        return EngineQuote(
            engine=self.engine,
            expected_wait_seconds=self.state.quoted_wait(),
            prefill_tokens_per_second=self.state.load.prefill_rate,
            cached_tokens=cached,
            accepting=self.state.accepting(now),
        )

    def describe(self) -> EngineDescription:
        """Return a description of the engine for operators."""
        now = self._clock.seconds()
        load = self.state.load
        report = load.report
        return EngineDescription(
            engine=self.engine,
            pool=self.machine.pools[0] if self.machine.pools else "",
            zone=self.machine.zone,
            state=self._state_name(now),
            queued=self.state.queued,
            granted=self.state.granted,
            slots=load.slots,
            free_blocks=report.free_blocks if report else 0,
            total_blocks=report.total_blocks if report else 0,
            load_age_seconds=load.age_seconds(now) if report else -1.0,
            steward=self._dependencies.own_member,
            steward_epoch=self.stewardship.epoch or Epoch(0),
        )

    def withdraw(self, key: CallKey) -> None:
        """Withdraw a call whose caller disconnected."""
        self.queue.send_replies(self.state.withdraw(key, self._clock.seconds()))

    def complete_grant(self, returned: GrantReturned) -> None:
        """Free a returned grant, and record the tokens that are now cached."""
        now = self._clock.seconds()
        waiting = self.state.queued
        grant = self.state.grant(returned.grant)
        if grant is not None and returned.usage is not None and returned.succeeded:
            program = grant.call.key.program
            self.cache.record_cached_tokens(program, returned.usage.total_tokens)
        replies = self.state.complete_grant(
            returned.grant, returned.usage, returned.succeeded, now
        )
        self.queue.send_replies(replies)
        self._report_accepting_change(waiting)

    def set_draining(self, draining: bool) -> None:
        """Record whether operators drain the engine."""
        self._set_closed(self.state.leaving, draining)

    async def order_drain(self, drain: bool) -> Result[None, Problem]:
        """Order the engine to refuse new work, or to accept it again."""
        kind = OrderKind.DRAIN if drain else OrderKind.UNDRAIN
        outcome = await self.orders.send(self.state.address, kind, "")
        if outcome.is_ok():
            self._drain_ordered = drain
        return outcome

    async def _order_drain_if_due(self) -> None:
        """Order a drain after the last grant was returned, so that no run is cut."""
        if self.state.draining and not self._drain_ordered and not self.state.granted:
            await self.order_drain(True)

    def _state_name(self, now: float) -> str:
        if self.state.leaving or self.state.load.leaving:
            return "leaving"
        if self.state.draining:
            return "draining"
        if self.state.epoch is None:
            return "unclaimed"
        return "live" if self.state.accepting(now) else "failing"

    def _periodic(
        self, name: str, task: Callable[[], Awaitable[None]], seconds: float
    ) -> PeriodicTask:
        return PeriodicTask(f"{name} of {self.engine}", task, seconds, self._clock)

    def _set_closed(self, leaving: bool, draining: bool) -> None:
        now = self._clock.seconds()
        waiting = self.state.queued
        self.queue.send_replies(self.state.set_closed(leaving, draining, now))
        self._report_accepting_change(waiting)

    def _report_accepting_change(self, waiting: int) -> None:
        accepting = self.state.accepting(self._clock.seconds())
        if accepting != self._was_accepting:
            event = EngineClosed(self.engine, waiting)
            emit(EngineOpened(self.engine) if accepting else event)
        self._was_accepting = accepting

    async def _read_load(self) -> None:
        port = self._dependencies.engine_port
        load_request = port.load(self.state.address)
        load_request.addTimeout(LOAD_TIMEOUT_SECONDS, self._clock)
        try:
            outcome = await load_request
        except DeferredTimeoutError as error:
            outcome = Err(Problem.of(ProblemCode.TIMED_OUT, str(error)))
        now = self._clock.seconds()
        waiting = self.state.queued
        if outcome.is_ok():
            self.queue.send_replies(self.state.learn_load(outcome.unwrap(), now))
        else:
            self.queue.send_replies(self.state.load_failed(now))
        self._report_accepting_change(waiting)
        self.free_dead_gateways()

    async def _claim(self) -> None:
        await self.claims.step()
        await self._order_drain_if_due()

    def _on_claim(self, claim: StewardshipClaimed) -> None:
        self._set_epoch()
        self.set_draining(claim.drained)

    def _set_epoch(self) -> None:
        """Pass the claim's epoch to the state; redirect waiting calls if superseded."""
        epoch, previous_epoch = self.stewardship.epoch, self.state.epoch
        self.state.set_epoch(epoch, self._clock.seconds())
        if epoch is not None and epoch != previous_epoch:
            emit(StewardshipBegun(self.engine, epoch))
        refusal = self.refusal()
        if refusal is not None:
            self.queue.send_replies(self.state.refuse_all_waiting(refusal))
            if previous_epoch is not None:
                emit(StewardshipEnded(self.engine, refusal.code))
        else:
            self.queue.send_replies(self.state.grant_ready(self._clock.seconds()))
