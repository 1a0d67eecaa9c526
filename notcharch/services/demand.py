"""The recent peak of a demand, so that brief lulls return no slots. No I/O."""

WINDOW_SECONDS = 1.0


class PeakDemand:
    """The peak of the current and the previous window."""

    def __init__(self) -> None:
        """Start without demand."""
        self._window_start = 0.0
        self._peak = 0
        self._previous_peak = 0

    def learn(self, demand: int, now: float) -> None:
        """Record the current demand."""
        self._advance(now)
        self._peak = max(self._peak, demand)

    def peak(self, demand: int, now: float) -> int:
        """Record the current demand, and return the peak of both windows."""
        self.learn(demand, now)
        return max(self._peak, self._previous_peak)

    def _advance(self, now: float) -> None:
        elapsed = now - self._window_start
        if elapsed < WINDOW_SECONDS:
            return
        self._previous_peak = self._peak if elapsed < 2 * WINDOW_SECONDS else 0
        self._peak = 0
        self._window_start = now
