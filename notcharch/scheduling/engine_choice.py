"""Which engine a call goes to: stay with the prefix, refill or move it.

All costs are seconds until the first token could come: the expected wait for a
slot and the time to have the prompt in the engine's cache.
"""

import enum
from collections.abc import Sequence

import msgspec

from notcharch.values.identifiers import EngineName


class ChoiceKind(enum.Enum):
    """What is to be done with the program's prefix."""

    STAY = "stay"
    """The engine holds it, or there is none."""

    REFILL = "refill"
    """Another engine computes it again."""

    MOVE = "move"
    """Another engine imports it from the holder."""


class EngineOption(msgspec.Struct, frozen=True):
    """What one engine offers. Seconds, tokens, and tokens per second."""

    engine: EngineName
    expected_wait_seconds: float
    prefill_tokens_per_second: float
    cached_tokens: int = 0


class EngineChoice(msgspec.Struct, frozen=True):
    """The chosen engine, its cost in seconds, and the second best cost."""

    engine: EngineName
    kind: ChoiceKind
    cost_seconds: float
    runner_up_seconds: float


class ChoicePolicy(msgspec.Struct, frozen=True):
    """Rates that the engines do not report.

    `move_tokens_per_second` of 0 says that prefixes are never moved.
    """

    default_prefill_tokens_per_second: float = 4000.0
    move_tokens_per_second: float = 0.0
    move_overhead_seconds: float = 0.05
    defer_floor_seconds: float = 0.05
    """A shorter wait than this never sends a call elsewhere."""


def refill_seconds(tokens: int, prefill_tokens_per_second: float) -> float:
    """Give the time to compute that many prompt tokens."""
    return max(0, tokens) / max(prefill_tokens_per_second, 1.0)


def defer_above_seconds(
    prefix_tokens: int, prefill_tokens_per_second: float, policy: ChoicePolicy
) -> float:
    """Give the wait at the prefix's holder above which others are worth asking."""
    refill = refill_seconds(prefix_tokens, prefill_tokens_per_second)
    return max(policy.defer_floor_seconds, refill)


def choose_engine(
    options: Sequence[EngineOption],
    *,
    prompt_tokens: int,
    holder: EngineName | None,
    held_tokens: int,
    policy: ChoicePolicy,
) -> EngineChoice | None:
    """Choose the cheapest option; on equal cost the earlier one. None if none.

    `held_tokens` is what `holder` holds of the prompt, whether or not it is among
    the options.
    """
    held = held_tokens if holder is not None else 0
    priced = [_price(option, prompt_tokens, holder, held, policy) for option in options]
    if not priced:
        return None
    best = min(priced, key=lambda choice: choice.cost_seconds)
    others = [c.cost_seconds for c in priced if c.engine != best.engine]
    return msgspec.structs.replace(
        best, runner_up_seconds=min(others, default=float("inf"))
    )


def _price(
    option: EngineOption,
    prompt_tokens: int,
    holder: EngineName | None,
    held_tokens: int,
    policy: ChoicePolicy,
) -> EngineChoice:
    rate = option.prefill_tokens_per_second
    cached = min(option.cached_tokens, prompt_tokens)
    fill = refill_seconds(prompt_tokens - cached, rate)
    kind = ChoiceKind.STAY if cached or not held_tokens else ChoiceKind.REFILL
    if holder not in (None, option.engine) and policy.move_tokens_per_second > 0:
        moved = min(held_tokens, prompt_tokens)
        move = policy.move_overhead_seconds + moved / policy.move_tokens_per_second
        move += refill_seconds(prompt_tokens - moved, rate)
        if moved > cached and move < fill:
            kind, fill = ChoiceKind.MOVE, move
    cost = option.expected_wait_seconds + fill
    return EngineChoice(option.engine, kind, cost, float("inf"))
