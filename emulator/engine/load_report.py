"""The load report, refreshed at an interval."""

import math
from collections.abc import Callable

from notcharch.clients.ports import EngineLoad

Measure = Callable[[int, float], EngineLoad]


class LaggingLoad:
    """Keeps the last measurement of a fixed rhythm, without timers.

    Call `before_change` before each change of the engine: when a measuring time has
    passed since, the present state is what was measured then.
    """

    def __init__(self, refresh_seconds: float, measure: Measure) -> None:
        """Measure with `measure(sequence, measured_at)` each `refresh_seconds`."""
        self._refresh_seconds = refresh_seconds
        self._measure = measure
        self._report = measure(0, 0.0)
        self.frozen = False
        """A fault: the report no longer changes."""

    def before_change(self, now: float) -> None:
        """Take a measurement that fell due since the last call."""
        tick = math.floor(now / self._refresh_seconds)
        if tick > self._report.sequence and not self.frozen:
            self._report = self._measure(tick, tick * self._refresh_seconds)

    def read(self, now: float) -> EngineLoad:
        """Give the last measurement, up to `refresh_seconds` old."""
        self.before_change(now)
        return self._report
