"""Places one call by executing the steps of its `EngineChooser`."""

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
"""Time beyond the queue deadline to wait for a steward's reply."""

MAX_PAUSES = 3
"""Maximum pauses of a call until engines are usable again.

Pauses for engines that only lack a steward have no maximum: a new steward
usually claims them within seconds.
"""

NO_STEWARD_CODES = (
    ProblemCode.NOT_STEWARD,
    ProblemCode.UNAVAILABLE,
    ProblemCode.DRAINING,
)
"""Problems after which the engine probably has no steward at present."""

NO_ENGINE_RETRY_SECONDS = 2.0


class PlacedCall(msgspec.Struct, frozen=True):
    """A call to place. `give_up_seconds` bounds the wait for a grant.

    Engines in `avoid` have failed this call.
    """

    admitted: CallAdmitted
    row: ServiceRow
    max_tokens: int
    gateway: Member
    give_up_seconds: float
    avoid: frozenset[EngineName] = frozenset()


class PlacementContext(Protocol):
    """The operations on engines and stewards that placing a call needs."""

    def engines_of(self, pool: PoolName) -> EnginePool:
        """Return the engines that may receive new work."""

    def seconds(self) -> float:
        """Return the current time."""

    async def pause(self, failures: int) -> None:
        """Wait for a jittered delay that increases with `failures`."""

    def spend_retry(self) -> bool:
        """Take a retry from this daemon's budget; False if it is exhausted."""

    async def send_to_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> Result[Message, Problem]:
        """Send a request to an engine's steward."""

    async def request_quotes(
        self, call: PlacedCall, engines: tuple[EngineName, ...]
    ) -> list[Result[Message, Problem]]:
        """Request quotes from several engines concurrently."""

    async def move_prefix(self, admitted: CallAdmitted, target: EngineName) -> None:
        """Try to move the call's prefix to another engine."""

    def learn_rate(self, pool: PoolName, prefill_tokens_per_second: float) -> None:
        """Record the prefill rate of a pool's engines."""

    def return_grant(
        self, grant: CallGranted, usage: TokenUsage | None, engine_failed: bool
    ) -> "Deferred[None]":
        """Return a grant after its stream ended, with retries."""

    async def deliver(self, engine: EngineName, message: Message) -> None:
        """Send to an engine's steward until acknowledged, with bounded retries."""


class CallPlacement:
    """The placement of one call."""

    def __init__(
        self, context: PlacementContext, call: PlacedCall, chooser: EngineChooser
    ) -> None:
        """Start now: the deadline counts from the current time."""
        self._context = context
        self._call = call
        self._chooser = chooser
        self._deadline = context.seconds() + call.give_up_seconds
        self._pauses = 0
        self._lacks_steward = False

    async def run(self) -> Result[CallGranted, Problem]:
        """Return the grant, or a problem with `ran: no`."""
        while True:
            pool = self._context.engines_of(self._call.row.pool)
            engines = pool.without(self._call.avoid)
            step = self._chooser.next_step(engines)
            match step:
                case RequestGrant():
                    granted = await self._request_grant(step)
                    if granted is not None:
                        await self._move_prefix(step, granted)
                        return Ok(granted)
                case RequestQuotes():
                    await self._request_quotes(step.engines)
                case NoEngineAvailable():
                    if not await self._pause(step):
                        return Err(_final_problem(step))

    async def _move_prefix(self, step: RequestGrant, granted: CallGranted) -> None:
        if not step.move_prefix:
            return
        try:
            await self._context.move_prefix(self._call.admitted, granted.engine)
        except CancelledError:
            self._context.return_grant(granted, None, engine_failed=False)
            raise

    async def _request_grant(self, step: RequestGrant) -> CallGranted | None:
        remaining_seconds = max(0.0, self._deadline - self._context.seconds())
        request = self._enqueue_request(step, remaining_seconds)
        try:
            outcome = await self._context.send_to_steward(
                step.engine, request, remaining_seconds + NETWORK_MARGIN_SECONDS
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
        is_without_steward = any(problem.is_code(code) for code in NO_STEWARD_CODES)
        self._lacks_steward = self._lacks_steward or is_without_steward
        self._chooser.learn_unusable(engine)

    def _withdraw(self, engine: EngineName) -> None:
        """Cancel the call at a steward that may have queued or granted it."""
        admitted = self._call.admitted
        message = CancelQueued(
            engine, admitted.program, admitted.sequence, admitted.attempt
        )
        Deferred.fromCoroutine(self._context.deliver(engine, message))

    async def _request_quotes(self, engines: tuple[EngineName, ...]) -> None:
        outcomes = await self._context.request_quotes(self._call, engines)
        for engine, outcome in zip(engines, outcomes, strict=True):
            if outcome.is_err():
                self._learn_unusable(engine, outcome.unwrap_err())
                continue
            quote = outcome.unwrap()
            if not isinstance(quote, EngineQuote) or not quote.accepting:
                self._chooser.learn_unusable(engine)
                continue
            rate = quote.prefill_tokens_per_second
            self._context.learn_rate(self._call.row.pool, rate)
            self._chooser.learn_quote(
                EngineOption(
                    engine, quote.expected_wait_seconds, rate, quote.cached_tokens
                )
            )

    async def _pause(self, step: NoEngineAvailable) -> bool:
        """Pause if engines may become usable; False if the call is to fail."""
        if step.retry_after is not None:
            return False
        if self._context.seconds() >= self._deadline:
            return False
        if not self._lacks_steward and not self._may_pause():
            return False
        self._pauses += 1
        self._lacks_steward = False
        await self._context.pause(min(self._pauses, MAX_PAUSES) + 1)
        self._chooser.forget_unusable()
        return True

    def _may_pause(self) -> bool:
        return self._pauses < MAX_PAUSES and self._context.spend_retry()

    def _enqueue_request(
        self, step: RequestGrant, remaining_seconds: float
    ) -> EnqueueCall:
        admitted, row = self._call.admitted, self._call.row
        prefix = admitted.prefix
        is_cached = prefix is not None and prefix.engine == step.engine
        is_cached = is_cached or step.move_prefix
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
            cached_tokens=prefix.tokens if prefix is not None and is_cached else 0,
            max_tokens=self._call.max_tokens,
            defer_above_seconds=step.defer_above_seconds,
            give_up_seconds=remaining_seconds,
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
        "no engine of the pool accepts new work at present",
        retry_after=NO_ENGINE_RETRY_SECONDS,
    )
