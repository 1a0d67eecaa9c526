"""Jittered exponential delays between tries."""

from random import Random

import attrs


@attrs.frozen
class BackoffPolicy:
    """How often and how far apart to try again; delays in seconds."""

    first_seconds: float
    longest_seconds: float
    tries: int


class Backoff:
    """Counts the tries since the last progress."""

    def __init__(self, policy: BackoffPolicy, random: Random) -> None:
        """Begin with no try used."""
        self._policy = policy
        self._random = random
        self._used = 0

    def next_delay(self) -> float | None:
        """Give the delay before the next try, in seconds, or None to give up."""
        if self._used >= self._policy.tries:
            return None
        ceiling = min(
            self._policy.longest_seconds,
            self._policy.first_seconds * 2**self._used,
        )
        self._used += 1
        return self._random.uniform(ceiling / 2, ceiling)

    def reset(self) -> None:
        """Forget the tries used, after progress."""
        self._used = 0
