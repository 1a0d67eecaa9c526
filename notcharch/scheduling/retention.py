"""What to do with a program's cached prefix while the program pauses.

Keeping the prefix takes memory from others, dropping it costs a refill when the program
returns, and exporting it costs two transfers. All costs are expected seconds of engine
time. Pauses are assumed to be exponentially distributed, so only the service's mean is
needed.
"""

import enum
import math

import msgspec


class Retention(enum.Enum):
    """What to do with the prefix."""

    KEEP = "keep"
    EXPORT = "export"
    DROP = "drop"


class PausedPrefix(msgspec.Struct, frozen=True):
    """A prefix of `tokens` whose program may return after a pause.

    `return_probability` is the part of such pauses that end with another call;
    `mean_pause_seconds` is the mean length of those.
    """

    tokens: int
    return_probability: float
    mean_pause_seconds: float


class EngineMemory(msgspec.Struct, frozen=True):
    """How scarce an engine's prefix memory is.

    `residence_seconds` is how long an unused prefix stays before it is evicted
    (evictable tokens / tokens filled per second; infinite without memory pressure).
    `reuse_probability` is the part of the cached tokens that a later prompt reuses.
    """

    residence_seconds: float
    reuse_probability: float
    prefill_tokens_per_second: float
    transfer_tokens_per_second: float
    """Rate of exports and imports; 0 if the engine supports neither."""


class RetentionCosts(msgspec.Struct, frozen=True):
    """The expected cost of each option, in seconds of engine time."""

    keep: float
    export: float
    drop: float

    def cheapest(self) -> Retention:
        """Return the cheapest option; on equal cost keep, then drop."""
        if self.keep <= min(self.drop, self.export):
            return Retention.KEEP
        return Retention.DROP if self.drop <= self.export else Retention.EXPORT


def retention_costs(prefix: PausedPrefix, memory: EngineMemory) -> RetentionCosts:
    """Return the expected costs of keeping, exporting and dropping the prefix."""
    refill = prefix.tokens / memory.prefill_tokens_per_second
    drop = prefix.return_probability * refill
    survives = _returns_within(prefix, memory.residence_seconds)
    evicted_anyway = prefix.return_probability * (1 - survives) * refill
    keep = evicted_anyway + _displacement_seconds(prefix, memory, refill)
    return RetentionCosts(keep, _export_seconds(prefix, memory), drop)


def decide_retention(prefix: PausedPrefix, memory: EngineMemory) -> Retention:
    """Return the cheapest option."""
    return retention_costs(prefix, memory).cheapest()


def _returns_within(prefix: PausedPrefix, seconds: float) -> float:
    """Return the probability that a pause that ends does so within the time."""
    if prefix.mean_pause_seconds <= 0 or math.isinf(seconds):
        return 1.0
    return 1 - math.exp(-seconds / prefix.mean_pause_seconds)


def _displacement_seconds(
    prefix: PausedPrefix, memory: EngineMemory, refill: float
) -> float:
    """Return the expected refills of other programs caused by keeping the prefix.

    A prefix that stays for the whole residence time evicts as many tokens of others as
    it has; prefixes of programs that don't return stay that long.
    """
    if math.isinf(memory.residence_seconds):
        return 0.0
    returning = min(prefix.mean_pause_seconds / memory.residence_seconds, 1.0)
    share = prefix.return_probability * returning + 1 - prefix.return_probability
    return share * memory.reuse_probability * refill


def _export_seconds(prefix: PausedPrefix, memory: EngineMemory) -> float:
    if memory.transfer_tokens_per_second <= 0:
        return math.inf
    transfer = prefix.tokens / memory.transfer_tokens_per_second
    return transfer + prefix.return_probability * transfer
