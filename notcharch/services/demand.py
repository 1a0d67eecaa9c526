"""The recent peak of a number, so that brief lulls return nothing. Pure."""

WINDOW_SECONDS = 1.0


class PeakDemand:
    """The peak of the present and the previous window."""

    def __init__(self) -> None:
        """Begin with no demand."""
        self._window_start = 0.0
        self._peak = 0
        self._previous = 0

    def learn(self, demand: int, now: float) -> None:
        """Take the present demand in."""
        self._advance(now)
        self._peak = max(self._peak, demand)

    def peak(self, demand: int, now: float) -> int:
        """Give the peak of the last one to two windows, the present included."""
        self.learn(demand, now)
        return max(self._peak, self._previous)

    def _advance(self, now: float) -> None:
        passed = now - self._window_start
        if passed < WINDOW_SECONDS:
            return
        self._previous = self._peak if passed < 2 * WINDOW_SECONDS else 0
        self._peak = 0
        self._window_start = now
