"""Jittered exponential delays between attempts. Pure."""

from random import Random

MAX_DOUBLINGS = 16
"""Bounds the exponent of a delay, for attempts without an end."""


def jittered_delay(
    failures: int, first_seconds: float, max_seconds: float, random: Random
) -> float:
    """Return the seconds to wait after so many consecutive failures (at least one).

    The upper bound is `first_seconds` after the first failure and doubles with each one, up
    to `max_seconds`; the delay is at least half of it.
    """
    doublings = min(failures - 1, MAX_DOUBLINGS)
    ceiling = min(first_seconds * 2**doublings, max_seconds)
    return random.uniform(ceiling / 2, ceiling)
