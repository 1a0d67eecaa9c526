"""Delays between tries, and a budget that keeps retries from multiplying load."""

import random

import msgspec


class RetryPolicy(msgspec.Struct, frozen=True):
    """Exponential delays with full jitter, in seconds."""

    first_seconds: float = 0.05
    longest_seconds: float = 5.0

    def delay_seconds(self, failures: int, chance: random.Random) -> float:
        """Draw the delay after `failures` failures (from 1)."""
        bound = min(
            self.longest_seconds, self.first_seconds * 2.0 ** min(failures - 1, 32)
        )
        return chance.uniform(bound / 2, bound)


class RetryBudget:
    """Allows retries as a fraction of first tries, so that they never pile up.

    Each first try earns `fraction` of a retry; at most `greatest` are saved.
    """

    def __init__(self, fraction: float = 0.2, greatest: float = 10.0) -> None:
        """Start with a full budget."""
        self._fraction = fraction
        self._greatest = greatest
        self._saved = greatest

    def tried(self) -> None:
        """Note a first try."""
        self._saved = min(self._greatest, self._saved + self._fraction)

    def take_retry(self) -> bool:
        """Take one retry out of the budget; False when there is none."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
