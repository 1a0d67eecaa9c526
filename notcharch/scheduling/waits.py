"""Expected waits, and early refusal of calls that would wait too long."""

import msgspec

SHORTEST_RETRY_SECONDS = 1.0
"""Lower bound of the retry time given to a refused caller."""


class SlotLoad(msgspec.Struct, frozen=True):
    """The load of an engine. `busy` counts slots in use and calls queued in the engine.

    `occupancy_seconds` is the mean time for which a call occupies its slot.
    """

    slots: int
    busy: int
    occupancy_seconds: float


def expected_wait_seconds(load: SlotLoad, calls_ahead: float) -> float:
    """Return the expected time to a grant behind `calls_ahead` waiting calls.

    When all slots are busy, one becomes free every `occupancy_seconds / slots` on
    average.
    """
    if load.slots <= 0:
        return float("inf")
    calls_before = calls_ahead + 1 + load.busy - load.slots
    return max(0.0, calls_before) * load.occupancy_seconds / load.slots


def retry_after_seconds(expected_wait: float, max_wait_seconds: float) -> float | None:
    """Return when to retry if the expected wait is too long, else None.

    That is the time after which the queue would be short enough if no calls arrived.
    """
    if expected_wait <= max_wait_seconds:
        return None
    return max(SHORTEST_RETRY_SECONDS, expected_wait - max_wait_seconds)


class MeanOccupancy:
    """The running mean of the time for which calls occupy their slots, in seconds."""

    WEIGHT = 0.1

    def __init__(self) -> None:
        """Start without samples."""
        self._mean: float | None = None

    def learn(self, seconds: float) -> None:
        """Add one finished call to the mean."""
        if self._mean is None:
            self._mean = seconds
        else:
            self._mean += self.WEIGHT * (seconds - self._mean)

    def value(self, default_seconds: float) -> float:
        """Return the mean, or the default before any sample."""
        return default_seconds if self._mean is None else self._mean
