"""The gateway's client of the stewards: finds an engine for an admitted call.

No request reaches an engine, so every problem that `place` returns has `ran: no`.
"""

import random

import msgspec
from result import Result
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.engines.call_placement import CallPlacement, PlacedCall
from notcharch.engines.prefix_mover import PrefixMover
from notcharch.errors import Problem
from notcharch.events.engines import CallPlacementFailed, GrantReturnFailed
from notcharch.events.event import emit
from notcharch.placement.interface import EngineDirectory, Router
from notcharch.scheduling.engine_choice import ChoicePolicy
from notcharch.scheduling.engine_chooser import EngineChooser
from notcharch.scheduling.engine_pool import EnginePool
from notcharch.scheduling.retry import RetryBudget, RetryPolicy
from notcharch.table.interface import ServiceRow
from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import EngineName, Member, PoolName
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import (
    CallGranted,
    GrantReturned,
    QuoteEngine,
)
from notcharch.wire.messages.programs import CallAdmitted

QUOTE_TIMEOUT_SECONDS = 2.0
MAX_RETURN_ATTEMPTS = 10
RETURN_TIMEOUT_SECONDS = 5.0


class Dispatcher:
    """Places calls on engines and returns the grants."""

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
        """Create the dispatcher; without a `mover` prefixes are never moved."""
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
        """Return a grant on some engine, or a problem with a retry time.

        The wait is bounded by `give_up_seconds` (default: the row's
        `max_wait_seconds`). Engines in `avoid` are used only if there is no
        other. Cancelling the Deferred around this coroutine withdraws the
        call. Problems: OVERLOADED, NO_ENGINE.
        """
        if give_up_seconds is None:
            give_up_seconds = row.max_wait_seconds
        call = PlacedCall(
            admitted, row, max_tokens, self._own_member, give_up_seconds, avoid
        )
        placement = CallPlacement(self, call, self._new_chooser(call))
        outcome = await placement.run()
        if outcome.is_err():
            code = outcome.unwrap_err().code
            emit(CallPlacementFailed(admitted.program, row.pool, code))
        return outcome

    def return_grant(
        self, grant: CallGranted, usage: TokenUsage | None, engine_failed: bool
    ) -> "Deferred[None]":
        """Return a grant after its stream ended, with retries.

        `engine_failed` is False if the caller disconnected: only failures of
        the engine open its circuit breaker. The result may be ignored.
        """
        message = GrantReturned(grant.engine, grant.grant, usage, not engine_failed)
        return Deferred.fromCoroutine(self.deliver(grant.engine, message))

    async def deliver(self, engine: EngineName, message: Message) -> None:
        """Send to an engine's steward until acknowledged, with bounded retries.

        If all attempts fail, the steward frees the grant by the engine's load.
        """
        for failures in range(1, MAX_RETURN_ATTEMPTS + 1):
            outcome = await self._router.to_steward(
                engine, message, RETURN_TIMEOUT_SECONDS
            )
            if outcome.is_ok() or self._directory.engine(engine) is None:
                return
            await self.pause(failures)
        emit(GrantReturnFailed(engine, type(message).__name__))

    async def pause(self, failures: int) -> None:
        """Wait for a jittered delay that increases with `failures`."""
        delay = self._retry.delay_seconds(failures, self._chance)
        await deferLater(self._clock, delay)

    def spend_retry(self) -> bool:
        """Take a retry from this daemon's budget; False if it is exhausted."""
        return self._budget.take_retry()

    def seconds(self) -> float:
        """Return the current time."""
        return self._clock.seconds()

    def engines_of(self, pool: PoolName) -> EnginePool:
        """Return the engines that may receive new work."""
        engines = self._pools.get(pool)
        if engines is None:
            machines = self._directory.engines_of(pool)
            engines = EnginePool(EngineName(machine.name) for machine in machines)
            self._pools[pool] = engines
        return engines

    async def send_to_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> Result[Message, Problem]:
        """Send a request to an engine's steward."""
        return await self._router.to_steward(engine, message, timeout_seconds)

    async def request_quotes(
        self, call: PlacedCall, engines: tuple[EngineName, ...]
    ) -> list[Result[Message, Problem]]:
        """Request quotes from several engines concurrently."""
        program = call.admitted.program
        tokens = call.admitted.prompt_tokens
        requests = [
            self._router.to_steward(
                engine, QuoteEngine(engine, program, tokens), QUOTE_TIMEOUT_SECONDS
            )
            for engine in engines
        ]
        return await gatherResults(requests, consumeErrors=True)

    async def move_prefix(self, admitted: CallAdmitted, target: EngineName) -> None:
        """Try to move the call's prefix to another engine."""
        prefix = admitted.prefix
        if self._mover is None or prefix is None:
            return
        await self._mover.move(
            admitted.program, admitted.epoch, prefix.tokens, prefix.engine, target
        )

    def learn_rate(self, pool: PoolName, prefill_tokens_per_second: float) -> None:
        """Record the prefill rate of a pool's engines."""
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
