"""Which engine a call goes to: stay with the prefix, refill it or move it.

All costs are the expected seconds until the first token: the wait for a slot, and the
time to get the prompt into the engine's cache.
"""

import enum
from collections.abc import Sequence

import msgspec

from notcharch.values.identifiers import EngineName


class ChoiceKind(enum.Enum):
    """What happens to the program's prefix."""

    STAY = "stay"
    """The engine holds it, or there is no prefix."""

    REFILL = "refill"
    """Another engine computes it again."""

    MOVE = "move"
    """Another engine imports it from the holder."""


class EngineOption(msgspec.Struct, frozen=True):
    """One engine's quote. Seconds, tokens, and tokens per second."""

    engine: EngineName
    expected_wait_seconds: float
    prefill_tokens_per_second: float
    cached_tokens: int = 0


class EngineChoice(msgspec.Struct, frozen=True):
    """The chosen engine, its cost in seconds, and the second lowest cost."""

    engine: EngineName
    kind: ChoiceKind
    cost_seconds: float
    runner_up_seconds: float


class ChoicePolicy(msgspec.Struct, frozen=True):
    """Rates that the engines do not report.

    With a `move_tokens_per_second` of 0 prefixes are never moved.
    """

    default_prefill_tokens_per_second: float = 4000.0
    move_tokens_per_second: float = 0.0
    move_overhead_seconds: float = 0.05
    defer_floor_seconds: float = 0.05
    """A shorter wait never sends a call to another engine."""


def refill_seconds(tokens: int, prefill_tokens_per_second: float) -> float:
    """Return the time to compute a number of prompt tokens."""
    return max(0, tokens) / max(prefill_tokens_per_second, 1.0)


def defer_above_seconds(
    prefix_tokens: int, prefill_tokens_per_second: float, policy: ChoicePolicy
) -> float:
    """Return the wait at the prefix's holder that makes other engines worth a quote."""
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
    """Return the cheapest option, the first one of equals; None without options.

    `held_tokens` is what `holder` has cached of the prompt, whether or not it is among
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
