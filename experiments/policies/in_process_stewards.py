"""The shipped stewards of a simulation's engines, behind a router without a network.

`StewardState`, `QueueKeeper` and `CacheMap` are those of the daemon; what is left
out is messages' transport, claims and replication.
"""

import attrs
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from experiments.simulation.engine_room import EPOCH, EngineRoom
from notcharch.clients.ports import Machine, MachineKind, MachineState
from notcharch.engines.cache_map import CacheMap
from notcharch.engines.queue_keeper import QueueKeeper
from notcharch.engines.steward_state import StewardState
from notcharch.errors import Problem, ProblemCode
from notcharch.placement.interface import EngineDirectory, Router
from notcharch.scheduling.breaker import BreakerPolicy
from notcharch.scheduling.calls import CallKey, OrderPolicy
from notcharch.settings.schema import EnginesSection
from notcharch.values.identifiers import (
    DaemonName,
    EngineName,
    PartitionNumber,
    PoolName,
    RegionName,
    ZoneName,
)
from notcharch.wire.messages.base import Message, Refusal
from notcharch.wire.messages.engines import (
    Acknowledged,
    CancelQueued,
    EngineQuote,
    EnqueueCall,
    GrantReturned,
    QuoteEngine,
)

HOP_SECONDS = 0.0008
"""One way between two daemons: mostly another zone, sometimes the same daemon."""

EVENTS_PER_READ = 1000
DAEMON = DaemonName("daemon-1")
SETTINGS = EnginesSection()


class Steward:
    """One engine's steward and what it polls."""

    def __init__(
        self, room: EngineRoom, engine: EngineName, order: OrderPolicy
    ) -> None:
        """Begin with a claim, an empty queue and nothing known of the cache."""
        self._clock = room.clock
        self._model = room.models[engine]
        self.engine = engine
        self.state = StewardState(
            engine=engine,
            instance="1",
            address=engine,
            slots=self._model.rates.slots,
            queue_limit=SETTINGS.queue_limit,
            order_policy=order,
            breaker_policy=BreakerPolicy(),
        )
        self.state.set_epoch(EPOCH, self._clock.seconds())
        self.queue = QueueKeeper(self.state, room.clock)
        self.cache = CacheMap()

    def start(self) -> None:
        """Read load and cache events, now and again and again."""
        self._clock.callLater(SETTINGS.load_poll_seconds, self.start)
        now = self._clock.seconds()
        self.queue.answer(self.state.learn_load(self._model.load(), now))
        page = self._model.cache_events(self.cache.next_sequence, EVENTS_PER_READ)
        self.cache.learn_events(page)
        if self.cache.doubtful:
            self.cache.reconcile(self._model.cached_programs())

    def learn_listed(self, live: bool) -> None:
        """Take in what the machine list says."""
        self.queue.answer(self.state.set_closed(not live, False, self._clock.seconds()))

    async def handle(self, message: Message) -> Message:
        """Give the reply to a request."""
        match message:
            case EnqueueCall():
                return await self.queue.enqueue(message)
            case QuoteEngine():
                return self._quote(message)
            case GrantReturned():
                self._take_back(message)
            case CancelQueued():
                key = CallKey(message.program, message.sequence, message.attempt)
                now = self._clock.seconds()
                self.queue.answer(self.state.withdraw(key, now))
        return Acknowledged()

    def _quote(self, message: QuoteEngine) -> EngineQuote:
        now = self._clock.seconds()
        held = self.cache.tokens(message.program)
        return EngineQuote(
            engine=self.engine,
            expected_wait_seconds=self.state.quoted_wait(),
            prefill_tokens_per_second=self.state.load.prefill_rate,
            cached_tokens=min(held, message.prompt_tokens),
            accepting=self.state.accepting(now),
        )

    def _take_back(self, message: GrantReturned) -> None:
        grant = self.state.grant(message.grant)
        if grant is not None and message.usage is not None:
            self.cache.set_tokens(grant.call.key.program, message.usage.total_tokens)
        answers = self.state.take_back(
            message.grant, message.usage, message.succeeded, self._clock.seconds()
        )
        self.queue.answer(answers)


@attrs.define(eq=False)
class InProcessRouter(Router):
    """Brings messages to stewards after the time that a hop takes."""

    room: EngineRoom
    stewards: dict[EngineName, Steward]

    def to_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Deliver; stewards answer in time, so the time-out never passes."""
        reply: Deferred[Result[Message, Problem]] = Deferred(lambda _: None)

        def deliver() -> None:
            handled = Deferred.fromCoroutine(self.stewards[engine].handle(message))
            handled.addCallback(send_back)

        def send_back(answer: Message) -> None:
            self.room.clock.callLater(HOP_SECONDS, fire, answer)

        def fire(answer: Message) -> None:
            if not reply.called:
                reply.callback(_result_of(answer))

        self.room.clock.callLater(HOP_SECONDS, deliver)
        return reply

    def to_partition(
        self, partition: PartitionNumber, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Refuse: leaders are not simulated."""
        problem = Problem.of(ProblemCode.UNAVAILABLE, "leaders are not simulated")
        refused: Deferred[Result[Message, Problem]] = Deferred()
        refused.callback(Err(problem))
        return refused

    def steward_of(self, engine: EngineName) -> DaemonName | None:
        """Give the one daemon."""
        return DAEMON


@attrs.define(eq=False)
class RoomDirectory(EngineDirectory):
    """The machine list's view of a room's engines."""

    room: EngineRoom

    def engines_of(self, pool: PoolName) -> tuple[Machine, ...]:
        """Give the pool's engines that may get new work."""
        return tuple(self._machine(name) for name in self.room.engines_of(pool))

    def engine(self, name: EngineName) -> Machine | None:
        """Give one engine."""
        return self._machine(name)

    def all_engines(self) -> tuple[Machine, ...]:
        """Give every engine."""
        return tuple(self._machine(name) for name in self.room.models)

    def on_change(self, listener: object) -> None:
        """Call nobody: the dispatcher reads the directory for each call."""

    def _machine(self, name: EngineName) -> Machine:
        live = self.room.is_listed(name)
        model = self.room.models[name]
        return Machine(
            name,
            MachineKind.MODEL_ENGINE,
            RegionName("region1"),
            ZoneName("zone1"),
            name,
            MachineState.LIVE if live else MachineState.LEAVING,
            model.orders.pools,
            model.rates.slots,
        )


def _result_of(answer: Message) -> Result[Message, Problem]:
    return Err(answer.problem) if isinstance(answer, Refusal) else Ok(answer)
