"""Delays between attempts, and a budget that keeps retries from multiplying load."""

import random

import msgspec


class RetryPolicy(msgspec.Struct, frozen=True):
    """Exponential delays with jitter, in seconds."""

    first_seconds: float = 0.05
    longest_seconds: float = 5.0

    def delay_seconds(self, failures: int, chance: random.Random) -> float:
        """Return a random delay after `failures` failures (from 1)."""
        bound = min(
            self.longest_seconds, self.first_seconds * 2.0 ** min(failures - 1, 32)
        )
        return chance.uniform(bound / 2, bound)


class RetryBudget:
    """Limits retries to a fraction of first attempts.

    Each first attempt earns `fraction` of a retry; at most `greatest` are saved.
    """

    def __init__(self, fraction: float = 0.2, greatest: float = 10.0) -> None:
        """Start with a full budget."""
        self._fraction = fraction
        self._greatest = greatest
        self._saved = greatest

    def tried(self) -> None:
        """Record a first attempt."""
        self._saved = min(self._greatest, self._saved + self._fraction)

    def take_retry(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
