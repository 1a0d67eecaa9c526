"""Expected waits, and refusal before a wait that is not worth it."""

import msgspec

SHORTEST_RETRY_SECONDS = 1.0
"""A refused caller is never told to come back sooner than this."""


class SlotLoad(msgspec.Struct, frozen=True):
    """How busy an engine is. `busy` counts slots in use or waited for inside it.

    `hold_seconds` is the mean time for which a call keeps its slot.
    """

    slots: int
    busy: int
    occupancy_seconds: float


def expected_wait_seconds(load: SlotLoad, calls_ahead: float) -> float:
    """Give the expected time to a grant behind `calls_ahead` waiting calls.

    With all slots busy one comes free every `hold_seconds / slots` on average.
    """
    if load.slots <= 0:
        return float("inf")
    calls_before = calls_ahead + 1 + load.busy - load.slots
    return max(0.0, calls_before) * load.occupancy_seconds / load.slots


def retry_after_seconds(expected_wait: float, max_wait_seconds: float) -> float | None:
    """Give when to come back if the wait is not worth it, else None.

    The answer is the time after which the queue, if nothing else came, would
    be short enough.
    """
    if expected_wait <= max_wait_seconds:
        return None
    return max(SHORTEST_RETRY_SECONDS, expected_wait - max_wait_seconds)


class MeanOccupancy:
    """The smoothed time for which calls keep their slots, in seconds."""

    WEIGHT = 0.1

    def __init__(self) -> None:
        """Know nothing yet."""
        self._mean: float | None = None

    def learn(self, seconds: float) -> None:
        """Take one finished call into the mean."""
        if self._mean is None:
            self._mean = seconds
        else:
            self._mean += self.WEIGHT * (seconds - self._mean)

    def value(self, default_seconds: float) -> float:
        """Give the mean, or the default before anything was learnt."""
        return default_seconds if self._mean is None else self._mean
