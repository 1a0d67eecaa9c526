"""The planned stop of a server: what is under way ends, nothing new begins for long."""

from typing import Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

CHECK_SECONDS = 0.1
"""Between two looks whether anything is under way: a stop lasts seconds."""
IDLE_CHECKS = 2
"""So often in a row nothing must be under way: the last answer's bytes leave after the
request has been counted as ended."""


class DrainableServer(Protocol):
    """What is stopped."""

    def requests_in_flight(self) -> int:
        """Give how many requests are being read or answered."""

    def stop_accepting(self) -> None:
        """Take no new connections."""

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""

    def stopped(self, requests_in_flight: int, seconds: float) -> None:
        """Hear that the drain is over, with so many requests cut."""


class DrainTimes(msgspec.Struct, frozen=True):
    """Seconds after the stop was asked for."""

    accept_seconds: float
    """New connections come until the callers' side has seen that we leave."""
    max_seconds: float
    """Then what still runs is cut."""


class Drain:
    """One planned stop."""

    def __init__(
        self, clock: IReactorTime, server: DrainableServer, times: DrainTimes
    ) -> None:
        """Prepare; `begin` starts it."""
        self._clock = clock
        self._server = server
        self._times = times
        self._began = 0.0
        self._idle_checks = 0

    def begin(self) -> None:
        """Go on accepting for a while, then finish."""
        self._began = self._clock.seconds()
        self._clock.callLater(self._times.accept_seconds, self._stop_accepting)

    def _stop_accepting(self) -> None:
        # Callers may keep coming as long as we listen, when too few others are ready.
        self._server.stop_accepting()
        self._check()

    def _check(self) -> None:
        self._server.close_idle()
        elapsed = self._clock.seconds() - self._began
        requests_in_flight = self._server.requests_in_flight()
        self._idle_checks = 0 if requests_in_flight else self._idle_checks + 1
        if self._idle_checks < IDLE_CHECKS and elapsed < self._times.max_seconds:
            self._clock.callLater(CHECK_SECONDS, self._check)
            return
        self._server.stopped(requests_in_flight, elapsed)
