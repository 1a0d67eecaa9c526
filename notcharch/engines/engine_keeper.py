"""One engine under this daemon's stewardship: polling, claiming, answering.

Thin: it moves messages between the network, the engine and the pure states.
"""

import random
from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Result
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EnginePort, Machine, MachineState, OrderKind
from notcharch.engines.cache_keeper import CacheKeeper
from notcharch.engines.claim_keeper import ClaimKeeper, ClaimSurroundings
from notcharch.engines.orders import EngineOrders
from notcharch.engines.periodic import PeriodicTask
from notcharch.engines.queue_keeper import QueueKeeper
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

CLAIM_SECONDS = 1.0
"""Time between tries of a claim that could not be recorded."""

GATEWAY_GRACE_SECONDS = 10.0
"""A gateway out of the membership for so long is taken for dead."""

LOAD_SECONDS = 1.5
"""An engine that takes longer to report its load counts as not answering."""

INSTANCE_BITS = 48


class KeeperSurroundings(msgspec.Struct, frozen=True):
    """What every keeper of a daemon uses."""

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

    def claims(self) -> ClaimSurroundings:
        """Give the part that claims need."""
        return ClaimSurroundings(
            self.router,
            self.membership,
            self.clock,
            self.partition_count,
            self.own_member,
            self.network,
        )


class EngineKeeper:
    """The stewardship of one engine by this daemon."""

    def __init__(self, machine: Machine, surroundings: KeeperSurroundings) -> None:
        """Prepare; `start` begins to poll and to claim."""
        self._around = surroundings
        self._clock = surroundings.clock
        self.machine = machine
        self.engine = EngineName(machine.name)
        instance = f"{surroundings.chance.getrandbits(INSTANCE_BITS):x}"
        self.state = StewardState(
            engine=self.engine,
            instance=instance,
            address=machine.address,
            slots=machine.slots,
            queue_limit=surroundings.settings.queue_limit,
            order_policy=surroundings.order_policy,
            breaker_policy=surroundings.breaker_policy,
        )
        self.claims = ClaimKeeper(self.engine, surroundings.claims(), self._on_claim)
        self.stewardship = self.claims.stewardship
        self.queue = QueueKeeper(self.state, surroundings.clock)
        self.cache = CacheKeeper(
            engine=self.engine,
            address=machine.address,
            router=surroundings.router,
            engine_port=surroundings.engine_port,
            clock=surroundings.clock,
            chance=surroundings.chance,
            settings=surroundings.settings,
        )
        self.orders = EngineOrders(
            engine=self.engine,
            stewardship=self.stewardship,
            port=surroundings.engine_port,
            clock=surroundings.clock,
            instance=instance,
            on_fenced=self.claims.look_now,
        )
        self._drain_ordered = False
        self._missing_since: dict[Member, float] = {}
        self._was_accepting = True
        self._load_task = self._periodic(
            "load", self._read_load, surroundings.settings.load_poll_seconds
        )
        self._claim_task = self._periodic("claim", self._claim, CLAIM_SECONDS)

    def start(self) -> None:
        """Begin to claim, to poll and to release."""
        self.stewardship.assign(True)
        self._set_epoch()
        self.learn_machine(self.machine)
        self._claim_task.start()
        self._load_task.start()
        self.cache.start()

    def stop(self, problem: Problem) -> None:
        """End the stewardship; waiting calls get `problem`."""
        is_ended = self.stewardship.phase == StewardshipPhase.SUPERSEDED
        self.stewardship.assign(False)
        self._set_epoch()
        self._claim_task.stop()
        self._load_task.stop()
        self.cache.stop()
        self.queue.answer(self.state.hand_over(problem))
        self.queue.stop()
        if not is_ended:
            emit(StewardshipEnded(self.engine, problem.code))

    def offer(self, successor: DaemonName) -> bool:
        """Ask the daemon that hashing names now to claim the engine.

        Tells whether this one serves on until then: only if it has the claim.
        """
        if self.stewardship.phase != StewardshipPhase.HOLDING:
            return False
        self._around.network.notify(successor, StewardshipOffered(self.engine))
        self.claims.look_now()
        return True

    def take_offer(self) -> None:
        """Claim the engine now: who held it offers it to this daemon."""
        self.claims.accept_offer()
        self._claim_task.hurry()

    def learn_taken(self, taken: StewardshipTaken) -> None:
        """Take in that another process has claimed the engine."""
        now = self._clock.seconds()
        self.stewardship.learn_claim(taken.member, taken.epoch, now)
        self._set_epoch()

    def learn_machine(self, machine: Machine) -> None:
        """Take in the machine list's entry of the engine."""
        self.machine = machine
        self.state.address = machine.address
        self.cache.address = machine.address
        leaving = machine.state != MachineState.LIVE
        self._close_or_open(leaving, self.state.draining)

    def check_gateways(self) -> None:
        """Free what dead gateways hold here."""
        now = self._clock.seconds()
        live = {live.member for live in self._around.membership.live_members()}
        present = self.state.gateways()
        for gateway in tuple(self._missing_since):
            if gateway in live or gateway not in present:
                del self._missing_since[gateway]
        for gateway in present - live:
            since = self._missing_since.setdefault(gateway, now)
            dead = self._around.membership.is_certainly_dead(gateway)
            if dead or now - since >= GATEWAY_GRACE_SECONDS:
                self.queue.answer(self.state.free_gateway(gateway, now))
                emit(GatewayFreed(self.engine, gateway.daemon, gateway.incarnation))

    def refusal(self) -> Problem | None:
        """Give why this daemon does not act as the steward, or None if it does."""
        if self.stewardship.phase != StewardshipPhase.SUPERSEDED:
            return None
        other = self.stewardship.superseded_by
        return not_steward(self.engine, other.daemon if other else None)

    def quote(self, program: ProgramId, prompt_tokens: int) -> EngineQuote:
        """Give what a call would wait here."""
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
        """Describe the engine for operators."""
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
            steward=self._around.own_member,
            steward_epoch=self.stewardship.epoch or Epoch(0),
        )

    def withdraw(self, key: CallKey) -> None:
        """Withdraw a call whose caller is gone."""
        self.queue.answer(self.state.withdraw(key, self._clock.seconds()))

    def take_back(self, returned: GrantReturned) -> None:
        """Take a grant back, and learn what the engine now holds."""
        now = self._clock.seconds()
        waiting = self.state.queued
        grant = self.state.grant(returned.grant)
        if grant is not None and returned.usage is not None and returned.succeeded:
            program = grant.call.key.program
            self.cache.note_held(program, returned.usage.total_tokens)
        answers = self.state.take_back(
            returned.grant, returned.usage, returned.succeeded, now
        )
        self.queue.answer(answers)
        self._note_accepting(waiting)

    def set_draining(self, draining: bool) -> None:
        """Take in what operators want."""
        self._close_or_open(self.state.leaving, draining)

    async def order_drain(self, drain: bool) -> Result[None, Problem]:
        """Order the engine itself to refuse (or take) new work."""
        kind = OrderKind.DRAIN if drain else OrderKind.UNDRAIN
        outcome = await self.orders.give(self.state.address, kind, "")
        if outcome.is_ok():
            self._drain_ordered = drain
        return outcome

    async def _order_drain_if_due(self) -> None:
        """Order a drain once the last grant is back: it cuts nothing off then."""
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

    def _close_or_open(self, leaving: bool, draining: bool) -> None:
        now = self._clock.seconds()
        waiting = self.state.queued
        self.queue.answer(self.state.set_closed(leaving, draining, now))
        self._note_accepting(waiting)

    def _note_accepting(self, waiting: int) -> None:
        accepting = self.state.accepting(self._clock.seconds())
        if accepting != self._was_accepting:
            event = EngineClosed(self.engine, waiting)
            emit(EngineOpened(self.engine) if accepting else event)
        self._was_accepting = accepting

    async def _read_load(self) -> None:
        port = self._around.engine_port
        reading = port.load(self.state.address)
        reading.addTimeout(LOAD_SECONDS, self._clock)
        try:
            outcome = await reading
        except DeferredTimeoutError as error:
            outcome = Err(Problem.of(ProblemCode.TIMED_OUT, str(error)))
        now = self._clock.seconds()
        waiting = self.state.queued
        if outcome.is_ok():
            self.queue.answer(self.state.learn_load(outcome.unwrap(), now))
        else:
            self.queue.answer(self.state.load_failed(now))
        self._note_accepting(waiting)
        self.check_gateways()

    async def _claim(self) -> None:
        await self.claims.step()
        await self._order_drain_if_due()

    def _on_claim(self, claim: StewardshipClaimed) -> None:
        self._set_epoch()
        self.set_draining(claim.drained)

    def _set_epoch(self) -> None:
        """Grant only while the claim is held; else send waiting calls on."""
        epoch, before = self.stewardship.epoch, self.state.epoch
        self.state.set_epoch(epoch, self._clock.seconds())
        if epoch is not None and epoch != before:
            emit(StewardshipBegun(self.engine, epoch))
        refusal = self.refusal()
        if refusal is not None:
            self.queue.answer(self.state.hand_over(refusal))
            if before is not None:
                emit(StewardshipEnded(self.engine, refusal.code))
        else:
            self.queue.answer(self.state.grant_ready(self._clock.seconds()))
