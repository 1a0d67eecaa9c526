"""Finds an engine for an admitted call: the gateway's side of the stewards.

Nothing here touches an engine, so every problem that `place` gives says `ran: no`.
"""

import random

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred, gatherResults
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.engines.prefix_mover import PrefixMover
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.events.engines import CallPlacementFailed, GrantReturnFailed
from notcharch.events.event import emit
from notcharch.placement.interface import EngineDirectory, Router
from notcharch.scheduling.engine_choice import ChoicePolicy, EngineOption
from notcharch.scheduling.engine_chooser import (
    AskForGrant,
    AskForQuotes,
    EngineChooser,
    NoEngineLeft,
)
from notcharch.scheduling.engine_pool import EnginePool
from notcharch.scheduling.retry import RetryBudget, RetryPolicy
from notcharch.table.interface import ServiceRow
from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import EngineName, Member, PoolName
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import (
    CallDeferred,
    CallGranted,
    CancelQueued,
    EngineQuote,
    EnqueueCall,
    GrantReturned,
    QuoteEngine,
)
from notcharch.wire.messages.programs import CallAdmitted

QUOTE_SECONDS = 2.0
NETWORK_MARGIN_SECONDS = 2.0
"""A steward answers within the give-up time; this much later it is not coming."""

RETURN_TRIES = 10
RETURN_SECONDS = 5.0
GREATEST_PAUSES = 3
"""How often a call waits a moment for engines to become usable again."""

NO_ENGINE_RETRY_SECONDS = 2.0


class PlacedCall(msgspec.Struct, frozen=True):
    """One call to place. `give_up_seconds` bounds the wait for a grant.

    Engines in `avoid` have just failed this call.
    """

    admitted: CallAdmitted
    row: ServiceRow
    max_tokens: int
    gateway: Member
    give_up_seconds: float
    avoid: frozenset[EngineName] = frozenset()


class Dispatcher:
    """Places calls on engines and gives the grants back."""

    def __init__(
        self,
        *,
        router: Router,
        directory: EngineDirectory,
        own_member: Member,
        clock: IReactorTime,
        chance: random.Random,
        policy: ChoicePolicy | None = None,
        mover: PrefixMover | None = None,
    ) -> None:
        """Take what is used; without a `mover` prefixes are never moved."""
        self._router = router
        self._directory = directory
        self._own_member = own_member
        self._clock = clock
        self._chance = chance
        self._policy = policy or ChoicePolicy()
        self._mover = mover
        self._retry = RetryPolicy()
        self._budget = RetryBudget()
        self._prefill_rates: dict[PoolName, float] = {}
        self._pools: dict[PoolName, EnginePool] = {}
        directory.on_change(self._pools.clear)

    async def place(
        self,
        admitted: CallAdmitted,
        row: ServiceRow,
        max_tokens: int,
        give_up_seconds: float | None = None,
        avoid: frozenset[EngineName] = frozenset(),
    ) -> Result[CallGranted, Problem]:
        """Give a grant on some engine, or a problem with when to come back.

        The wait is bounded by `give_up_seconds` (default: the row's
        `max_wait_seconds`). Engines in `avoid` are used only if there is no other. Cancelling the Deferred around this coroutine
        withdraws the call. Problems: OVERLOADED, NO_ENGINE.
        """
        if give_up_seconds is None:
            give_up_seconds = row.max_wait_seconds
        call = PlacedCall(
            admitted, row, max_tokens, self._own_member, give_up_seconds, avoid
        )
        placement = _Placement(self, call, self._new_chooser(call))
        outcome = await placement.run()
        if outcome.is_err():
            code = outcome.unwrap_err().code
            emit(CallPlacementFailed(admitted.program, row.pool, code))
        return outcome

    def give_back(
        self, grant: CallGranted, usage: TokenUsage | None, engine_failed: bool
    ) -> "Deferred[None]":
        """Give a grant back when its stream ended; retried until it arrived.

        `engine_failed` is False when the caller went away: only an engine's own
        failures open its circuit breaker. The result may be ignored.
        """
        message = GrantReturned(grant.engine, grant.grant, usage, not engine_failed)
        return Deferred.fromCoroutine(self.deliver(grant.engine, message))

    async def deliver(self, engine: EngineName, message: Message) -> None:
        """Send to an engine's steward until it is acknowledged, within reason.

        If it never is, the steward finds the lost grant by the engine's load.
        """
        for failures in range(1, RETURN_TRIES + 1):
            outcome = await self._router.to_steward(engine, message, RETURN_SECONDS)
            if outcome.is_ok() or self._directory.engine(engine) is None:
                return
            await self.pause(failures)
        emit(GrantReturnFailed(engine, type(message).__name__))

    async def pause(self, failures: int) -> None:
        """Wait for a jittered, growing time."""
        delay = self._retry.delay_seconds(failures, self._chance)
        await deferLater(self._clock, delay)

    def may_retry(self) -> bool:
        """Take a retry out of this daemon's budget, if there is one."""
        return self._budget.take_retry()

    def seconds(self) -> float:
        """Give the time."""
        return self._clock.seconds()

    def engines_of(self, pool: PoolName) -> EnginePool:
        """Give the engines that may get new work."""
        engines = self._pools.get(pool)
        if engines is None:
            machines = self._directory.engines_of(pool)
            engines = EnginePool(EngineName(machine.name) for machine in machines)
            self._pools[pool] = engines
        return engines

    async def ask_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> Result[Message, Problem]:
        """Send a request to an engine's steward."""
        return await self._router.to_steward(engine, message, timeout_seconds)

    async def quotes(
        self, call: PlacedCall, engines: tuple[EngineName, ...]
    ) -> list[Result[Message, Problem]]:
        """Ask several engines at once."""
        program = call.admitted.program
        tokens = call.admitted.prompt_tokens
        questions = [
            self._router.to_steward(
                engine, QuoteEngine(engine, program, tokens), QUOTE_SECONDS
            )
            for engine in engines
        ]
        return await gatherResults(questions, consumeErrors=True)

    async def move_prefix(self, admitted: CallAdmitted, target: EngineName) -> None:
        """Move the call's prefix to another engine, if that works."""
        prefix = admitted.prefix
        if self._mover is None or prefix is None:
            return
        await self._mover.move(
            admitted.program, admitted.epoch, prefix.tokens, prefix.engine, target
        )

    def learn_rate(self, pool: PoolName, prefill_tokens_per_second: float) -> None:
        """Remember how fast a pool's engines compute prompts."""
        self._prefill_rates[pool] = prefill_tokens_per_second

    def _new_chooser(self, call: PlacedCall) -> EngineChooser:
        self._budget.tried()
        prefix = call.admitted.prefix
        default = self._policy.default_prefill_tokens_per_second
        move_rate = self._mover.tokens_per_second if self._mover else 0.0
        policy = msgspec.structs.replace(self._policy, move_tokens_per_second=move_rate)
        return EngineChooser(
            prompt_tokens=call.admitted.prompt_tokens,
            cached_tokens=prefix.tokens if prefix else 0,
            holder=prefix.engine if prefix else None,
            prefill_tokens_per_second=self._prefill_rates.get(call.row.pool, default),
            policy=policy,
            chance=self._chance,
        )


class _Placement:
    """The placing of one call: carries out what its chooser says."""

    def __init__(
        self, dispatcher: Dispatcher, call: PlacedCall, chooser: EngineChooser
    ) -> None:
        self._dispatcher = dispatcher
        self._call = call
        self._chooser = chooser
        self._give_up_at = dispatcher.seconds() + call.give_up_seconds
        self._pauses = 0

    async def run(self) -> Result[CallGranted, Problem]:
        while True:
            pool = self._dispatcher.engines_of(self._call.row.pool)
            engines = pool.without(self._call.avoid)
            step = self._chooser.next_step(engines)
            match step:
                case AskForGrant():
                    granted = await self._ask(step)
                    if granted is not None:
                        await self._move(step, granted)
                        return Ok(granted)
                case AskForQuotes():
                    await self._quote(step.engines)
                case NoEngineLeft():
                    if not await self._pause(step):
                        return Err(_final_problem(step))

    async def _move(self, step: AskForGrant, granted: CallGranted) -> None:
        if not step.move_prefix:
            return
        try:
            await self._dispatcher.move_prefix(self._call.admitted, granted.engine)
        except CancelledError:
            self._dispatcher.give_back(granted, None, engine_failed=False)
            raise

    async def _ask(self, step: AskForGrant) -> CallGranted | None:
        left = max(0.0, self._give_up_at - self._dispatcher.seconds())
        request = self._enqueue_request(step, left)
        try:
            outcome = await self._dispatcher.ask_steward(
                step.engine, request, left + NETWORK_MARGIN_SECONDS
            )
        except CancelledError:
            self._withdraw(step.engine)
            raise
        if outcome.is_ok():
            return self._learn_reply(step.engine, outcome.unwrap())
        self._learn_problem(step.engine, outcome.unwrap_err())
        return None

    def _learn_reply(self, engine: EngineName, reply: Message) -> CallGranted | None:
        match reply:
            case CallGranted():
                return reply
            case CallDeferred():
                self._chooser.learn_deferred(engine, reply.expected_wait_seconds)
            case _:
                self._chooser.learn_unusable(engine)
        return None

    def _learn_problem(self, engine: EngineName, problem: Problem) -> None:
        if problem.is_code(ProblemCode.OVERLOADED):
            self._chooser.learn_overloaded(engine, problem.retry_after)
            return
        self._chooser.learn_unusable(engine)
        if problem.ran != Ran.NO:
            self._withdraw(engine)

    def _withdraw(self, engine: EngineName) -> None:
        """Make sure that a grant whose reply was lost is not kept."""
        admitted = self._call.admitted
        message = CancelQueued(
            engine, admitted.program, admitted.sequence, admitted.attempt
        )
        Deferred.fromCoroutine(self._dispatcher.deliver(engine, message))

    async def _quote(self, engines: tuple[EngineName, ...]) -> None:
        answers = await self._dispatcher.quotes(self._call, engines)
        for engine, answer in zip(engines, answers, strict=True):
            quote = answer.unwrap_or(None)
            if not isinstance(quote, EngineQuote) or not quote.accepting:
                self._chooser.learn_unusable(engine)
                continue
            rate = quote.prefill_tokens_per_second
            self._dispatcher.learn_rate(self._call.row.pool, rate)
            self._chooser.learn_quote(
                EngineOption(
                    engine, quote.expected_wait_seconds, rate, quote.cached_tokens
                )
            )

    async def _pause(self, step: NoEngineLeft) -> bool:
        """Wait a moment if engines may become usable; False to give up now."""
        if step.retry_after is not None or self._pauses >= GREATEST_PAUSES:
            return False
        if self._dispatcher.seconds() >= self._give_up_at:
            return False
        if not self._dispatcher.may_retry():
            return False
        self._pauses += 1
        await self._dispatcher.pause(self._pauses + 1)
        self._chooser.forget_unusable()
        return True

    def _enqueue_request(self, step: AskForGrant, left: float) -> EnqueueCall:
        admitted, row = self._call.admitted, self._call.row
        prefix = admitted.prefix
        held = prefix is not None and prefix.engine == step.engine
        held = held or step.move_prefix
        return EnqueueCall(
            engine=step.engine,
            program=admitted.program,
            sequence=admitted.sequence,
            attempt=admitted.attempt,
            service=admitted.service,
            gateway=self._call.gateway,
            share=row.share,
            priority=row.priority,
            attained_tokens=admitted.attained_tokens,
            prompt_tokens=admitted.prompt_tokens,
            cached_tokens=prefix.tokens if prefix is not None and held else 0,
            max_tokens=self._call.max_tokens,
            defer_above_seconds=step.defer_above_seconds,
            give_up_seconds=left,
            begun=admitted.sequence > 1,
        )


def _final_problem(step: NoEngineLeft) -> Problem:
    if step.retry_after is not None:
        return Problem.of(
            ProblemCode.OVERLOADED,
            "every engine's queue is longer than the call may wait",
            retry_after=step.retry_after,
        )
    return Problem.of(
        ProblemCode.NO_ENGINE,
        "no engine of the pool takes new work now",
        retry_after=NO_ENGINE_RETRY_SECONDS,
    )
