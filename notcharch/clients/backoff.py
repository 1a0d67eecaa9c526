"""Jittered exponential delays between attempts."""

from random import Random

import attrs

from notcharch.values.delays import jittered_delay


@attrs.frozen
class BackoffPolicy:
    """The number of retries and the bounds of their delays."""

    first_seconds: float
    longest_seconds: float
    tries: int


class Backoff:
    """Counts the retries since the last progress."""

    def __init__(self, policy: BackoffPolicy, random: Random) -> None:
        """Start with no retry used."""
        self._policy = policy
        self._random = random
        self._used = 0

    def next_delay(self) -> float | None:
        """Return the delay before the next retry in seconds, or None if none is left."""
        if self._used >= self._policy.tries:
            return None
        self._used += 1
        return jittered_delay(
            self._used,
            self._policy.first_seconds,
            self._policy.longest_seconds,
            self._random,
        )

    def reset(self) -> None:
        """Reset the retry count after progress."""
        self._used = 0
