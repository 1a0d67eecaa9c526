"""The placing of one call: carries out, step by step, what its chooser says."""

from typing import Protocol

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.scheduling.engine_choice import EngineOption
from notcharch.scheduling.engine_chooser import (
    EngineChooser,
    NoEngineAvailable,
    RequestGrant,
    RequestQuotes,
)
from notcharch.scheduling.engine_pool import EnginePool
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
)
from notcharch.wire.messages.programs import CallAdmitted

NETWORK_MARGIN_SECONDS = 2.0
"""A steward answers within the give-up time; this much later it is not coming."""

GREATEST_PAUSES = 3
"""How often a call waits a moment for engines to become usable again.

While an engine only lacks a steward, it waits on: one comes within seconds.
"""

MISSING_CODES = (
    ProblemCode.NOT_STEWARD,
    ProblemCode.UNAVAILABLE,
    ProblemCode.DRAINING,
)
"""Nobody stewards the engine now, as far as this daemon can find out."""

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


class PlacementTools(Protocol):
    """What placing a call works with: a daemon's ways to engines and their stewards."""

    def engines_of(self, pool: PoolName) -> EnginePool:
        """Give the engines that may get new work."""

    def seconds(self) -> float:
        """Give the time."""

    async def pause(self, failures: int) -> None:
        """Wait for a jittered, growing time."""

    def may_retry(self) -> bool:
        """Take a retry out of this daemon's budget, if there is one."""

    async def ask_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> Result[Message, Problem]:
        """Send a request to an engine's steward."""

    async def quotes(
        self, call: PlacedCall, engines: tuple[EngineName, ...]
    ) -> list[Result[Message, Problem]]:
        """Ask several engines at once."""

    async def move_prefix(self, admitted: CallAdmitted, target: EngineName) -> None:
        """Move the call's prefix to another engine, if that works."""

    def learn_rate(self, pool: PoolName, prefill_tokens_per_second: float) -> None:
        """Remember how fast a pool's engines compute prompts."""

    def give_back(
        self, grant: CallGranted, usage: TokenUsage | None, engine_failed: bool
    ) -> "Deferred[None]":
        """Give a grant back when its stream ended; retried until it arrived."""

    async def deliver(self, engine: EngineName, message: Message) -> None:
        """Send to an engine's steward until it is acknowledged, within reason."""


class CallPlacement:
    """The placing of one call: carries out what its chooser says."""

    def __init__(
        self, tools: PlacementTools, call: PlacedCall, chooser: EngineChooser
    ) -> None:
        """Begin now: the time to give up counts from here."""
        self._tools = tools
        self._call = call
        self._chooser = chooser
        self._give_up_at = tools.seconds() + call.give_up_seconds
        self._pauses = 0
        self._lacks_steward = False

    async def run(self) -> Result[CallGranted, Problem]:
        """Give the grant, or a problem with `ran: no`."""
        while True:
            pool = self._tools.engines_of(self._call.row.pool)
            engines = pool.without(self._call.avoid)
            step = self._chooser.next_step(engines)
            match step:
                case RequestGrant():
                    granted = await self._ask(step)
                    if granted is not None:
                        await self._move(step, granted)
                        return Ok(granted)
                case RequestQuotes():
                    await self._quote(step.engines)
                case NoEngineAvailable():
                    if not await self._pause(step):
                        return Err(_final_problem(step))

    async def _move(self, step: RequestGrant, granted: CallGranted) -> None:
        if not step.move_prefix:
            return
        try:
            await self._tools.move_prefix(self._call.admitted, granted.engine)
        except CancelledError:
            self._tools.give_back(granted, None, engine_failed=False)
            raise

    async def _ask(self, step: RequestGrant) -> CallGranted | None:
        left = max(0.0, self._give_up_at - self._tools.seconds())
        request = self._enqueue_request(step, left)
        try:
            outcome = await self._tools.ask_steward(
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
        self._learn_unusable(engine, problem)
        if problem.ran != Ran.NO:
            self._withdraw(engine)

    def _learn_unusable(self, engine: EngineName, problem: Problem) -> None:
        is_missing = any(problem.is_code(code) for code in MISSING_CODES)
        self._lacks_steward = self._lacks_steward or is_missing
        self._chooser.learn_unusable(engine)

    def _withdraw(self, engine: EngineName) -> None:
        """Make sure that a grant whose reply was lost is not kept."""
        admitted = self._call.admitted
        message = CancelQueued(
            engine, admitted.program, admitted.sequence, admitted.attempt
        )
        Deferred.fromCoroutine(self._tools.deliver(engine, message))

    async def _quote(self, engines: tuple[EngineName, ...]) -> None:
        answers = await self._tools.quotes(self._call, engines)
        for engine, answer in zip(engines, answers, strict=True):
            if answer.is_err():
                self._learn_unusable(engine, answer.unwrap_err())
                continue
            quote = answer.unwrap()
            if not isinstance(quote, EngineQuote) or not quote.accepting:
                self._chooser.learn_unusable(engine)
                continue
            rate = quote.prefill_tokens_per_second
            self._tools.learn_rate(self._call.row.pool, rate)
            self._chooser.learn_quote(
                EngineOption(
                    engine, quote.expected_wait_seconds, rate, quote.cached_tokens
                )
            )

    async def _pause(self, step: NoEngineAvailable) -> bool:
        """Wait a moment if engines may become usable; False to give up now."""
        if step.retry_after is not None:
            return False
        if self._tools.seconds() >= self._give_up_at:
            return False
        if not self._lacks_steward and not self._may_pause():
            return False
        self._pauses += 1
        self._lacks_steward = False
        await self._tools.pause(min(self._pauses, GREATEST_PAUSES) + 1)
        self._chooser.forget_unusable()
        return True

    def _may_pause(self) -> bool:
        return self._pauses < GREATEST_PAUSES and self._tools.may_retry()

    def _enqueue_request(self, step: RequestGrant, left: float) -> EnqueueCall:
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


def _final_problem(step: NoEngineAvailable) -> Problem:
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
