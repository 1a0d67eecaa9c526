"""Chooses an engine for one call, step by step as replies arrive. Pure.

The holder of the program's prefix is tried first. If it defers the call, or there is no
holder, two sampled engines are asked for quotes. The cheapest known engine receives the
grant request, with the runner-up's cost as the limit of its wait.
"""

import random

import msgspec

from notcharch.scheduling.engine_choice import (
    ChoiceKind,
    ChoicePolicy,
    EngineOption,
    choose_engine,
    defer_above_seconds,
)
from notcharch.scheduling.engine_pool import EnginePool
from notcharch.values.identifiers import EngineName

SAMPLED_ENGINES = 2
MAX_GRANT_REQUESTS = 5
"""The last of this number of grant requests has no limit on the wait."""

MAX_STEPS = 16
"""Maximum number of requests of both kinds before the call fails."""

NO_LIMIT_SECONDS = 1e9
"""Represents no limit, because JSON has no infinity."""

DEFER_SLACK_SECONDS = 0.25
"""How much longer than quoted a wait may be before the call is deferred."""


class RequestGrant(msgspec.Struct, frozen=True):
    """Queue at this engine unless the wait exceeds `defer_above_seconds`."""

    engine: EngineName
    defer_above_seconds: float
    move_prefix: bool = False
    """If true, the prefix is first moved there from its holder."""


class RequestQuotes(msgspec.Struct, frozen=True):
    """Request the expected wait of the call from these engines."""

    engines: tuple[EngineName, ...]


class NoEngineAvailable(msgspec.Struct, frozen=True):
    """No engine is usable; `retry_after` is the shortest time that one reported."""

    retry_after: float | None


ChoiceStep = RequestGrant | RequestQuotes | NoEngineAvailable


class EngineChooser:
    """The state of the choice for one call."""

    def __init__(
        self,
        *,
        prompt_tokens: int,
        cached_tokens: int,
        holder: EngineName | None,
        prefill_tokens_per_second: float,
        policy: ChoicePolicy,
        chance: random.Random,
    ) -> None:
        """Start with the holder of the prefix, if there is one, and without quotes."""
        self._prompt_tokens = prompt_tokens
        self._cached_tokens = cached_tokens
        self._holder = holder
        self._prefill_rate = prefill_tokens_per_second
        self._policy = policy
        self._chance = chance
        self._options: dict[EngineName, EngineOption] = {}
        self._unusable: set[EngineName] = set()
        self._overloaded: set[EngineName] = set()
        self._retry_after: float | None = None
        self._holder_first = holder is not None
        self._sample_due = True
        self._grant_requests = 0
        self._steps = 0

    def next_step(self, engines: EnginePool) -> ChoiceStep:
        """Return the next step, given the engines that accept new work."""
        self._steps += 1
        if self._steps > MAX_STEPS:
            return NoEngineAvailable(self._retry_after)
        if self._holder_first:
            self._holder_first = False
            if self._holder is not None and self._holder in engines:
                return self._request_grant(self._holder, self._holder_limit())
        if self._sample_due:
            self._sample_due = False
            sampled = engines.sample(
                SAMPLED_ENGINES, self._needs_no_quote, self._chance
            )
            if sampled:
                return RequestQuotes(sampled)
        return self._request_cheapest(engines)

    def learn_quote(self, option: EngineOption) -> None:
        """Record a quote."""
        self._options[option.engine] = option
        self._prefill_rate = option.prefill_tokens_per_second

    def learn_deferred(self, engine: EngineName, expected_wait: float) -> None:
        """Record that an engine's wait exceeded the limit."""
        known = self._options.get(engine)
        if known is None:
            cached = self._cached_tokens if engine == self._holder else 0
            known = EngineOption(engine, expected_wait, self._prefill_rate, cached)
        self._options[engine] = msgspec.structs.replace(
            known, expected_wait_seconds=expected_wait
        )
        self._sample_due = True

    def learn_overloaded(self, engine: EngineName, retry_after: float | None) -> None:
        """Record that the wait at an engine exceeds the maximum wait of the call."""
        self._overloaded.add(engine)
        self._sample_due = True
        if retry_after is not None:
            shortest = (
                self._retry_after if self._retry_after is not None else retry_after
            )
            self._retry_after = min(shortest, retry_after)

    def learn_unusable(self, engine: EngineName) -> None:
        """Record that an engine or its steward cannot be used now."""
        self._unusable.add(engine)
        self._sample_due = True

    def forget_unusable(self) -> None:
        """Retry unusable engines after a pause, but not overloaded ones."""
        self._unusable.clear()
        self._options.clear()
        self._sample_due = True

    def _is_usable(self, engine: EngineName) -> bool:
        return engine not in self._unusable and engine not in self._overloaded

    def _needs_no_quote(self, engine: EngineName) -> bool:
        """Return whether a quote of the engine would add no information."""
        return engine in self._options or not self._is_usable(engine)

    def _holder_limit(self) -> float:
        return defer_above_seconds(
            self._cached_tokens, self._prefill_rate, self._policy
        )

    def _request_grant(
        self, engine: EngineName, limit: float, kind: ChoiceKind = ChoiceKind.STAY
    ) -> RequestGrant:
        self._grant_requests += 1
        if self._grant_requests >= MAX_GRANT_REQUESTS:
            limit = NO_LIMIT_SECONDS
        move = kind is ChoiceKind.MOVE
        return RequestGrant(engine, min(limit, NO_LIMIT_SECONDS), move)

    def _request_cheapest(self, engines: EnginePool) -> ChoiceStep:
        known = [
            option
            for engine, option in sorted(self._options.items())
            if engine in engines and self._is_usable(engine)
        ]
        choice = choose_engine(
            known,
            prompt_tokens=self._prompt_tokens,
            holder=self._holder,
            held_tokens=self._cached_tokens,
            policy=self._policy,
        )
        if choice is None:
            return NoEngineAvailable(self._retry_after)
        margin = choice.runner_up_seconds - choice.cost_seconds
        quoted = self._options[choice.engine].expected_wait_seconds
        limit = quoted + margin + DEFER_SLACK_SECONDS
        return self._request_grant(choice.engine, limit, choice.kind)
