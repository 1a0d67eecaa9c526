"""What to do with a program's cached prefix while the program pauses.

Keeping it costs others memory, dropping it costs a refill when the program
comes back, exporting it costs two transfers. All costs are expected seconds of
engine time. Pauses are taken as exponential around the service's mean, which
needs nothing but that mean.
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

    `return_probability` is the part of such pauses after which another call
    came; `mean_pause_seconds` is the mean of those.
    """

    tokens: int
    return_probability: float
    mean_pause_seconds: float


class EngineMemory(msgspec.Struct, frozen=True):
    """How scarce an engine's prefix memory is.

    `residence_seconds` is how long an unused prefix stays before it is evicted
    (evictable tokens / tokens filled per second; infinite without pressure).
    `reuse_probability` is the part of cached tokens that serve a later prompt.
    """

    residence_seconds: float
    reuse_probability: float
    prefill_tokens_per_second: float
    transfer_tokens_per_second: float
    """Rate of an export, and of an import; 0 when the engine does neither."""


class RetentionCosts(msgspec.Struct, frozen=True):
    """The expected cost of each way, in seconds of engine time."""

    keep: float
    export: float
    drop: float

    def cheapest(self) -> Retention:
        """Give the cheapest way; keeping on equal cost, then dropping."""
        if self.keep <= min(self.drop, self.export):
            return Retention.KEEP
        return Retention.DROP if self.drop <= self.export else Retention.EXPORT


def retention_costs(prefix: PausedPrefix, memory: EngineMemory) -> RetentionCosts:
    """Give the expected costs of keeping, exporting and dropping."""
    refill = prefix.tokens / memory.prefill_tokens_per_second
    drop = prefix.return_probability * refill
    survives = _returns_within(prefix, memory.residence_seconds)
    evicted_anyway = prefix.return_probability * (1 - survives) * refill
    keep = evicted_anyway + _displacement_seconds(prefix, memory, refill)
    return RetentionCosts(keep, _export_seconds(prefix, memory), drop)


def decide_retention(prefix: PausedPrefix, memory: EngineMemory) -> Retention:
    """Give the cheapest way."""
    return retention_costs(prefix, memory).cheapest()


def _returns_within(prefix: PausedPrefix, seconds: float) -> float:
    """Give the probability that a pause which ends does so within the time."""
    if prefix.mean_pause_seconds <= 0 or math.isinf(seconds):
        return 1.0
    return 1 - math.exp(-seconds / prefix.mean_pause_seconds)


def _displacement_seconds(
    prefix: PausedPrefix, memory: EngineMemory, refill: float
) -> float:
    """Give the refills of others that the kept memory causes.

    A prefix that stays for a whole residence time displaces as many tokens of
    others as it has; programs that do not return stay for all of it.
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
