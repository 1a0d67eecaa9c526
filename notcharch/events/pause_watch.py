"""Notices that the process did not run for a while, by a tick that came late."""

from twisted.internet.interfaces import IReactorTime

from notcharch.events.event import emit
from notcharch.events.process import ProcessPaused

PAUSE_SECONDS = 0.3
"""A tick that comes so much too late tells of a pause."""


class PauseWatch:
    """Compares the times of ticks that should come at a steady interval."""

    def __init__(
        self, clock: IReactorTime, machine: str, interval_seconds: float
    ) -> None:
        """Begin now."""
        self._clock = clock
        self._machine = machine
        self._interval_seconds = interval_seconds
        self._ticked_at = clock.seconds()

    def tick(self) -> None:
        """Tell of a pause since the tick before."""
        now = self._clock.seconds()
        late = now - self._ticked_at - self._interval_seconds
        self._ticked_at = now
        if late > PAUSE_SECONDS:
            emit(ProcessPaused(self._machine, round(late, 3)))
