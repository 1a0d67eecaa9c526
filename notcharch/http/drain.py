"""Graceful shutdown of a server: it stops accepting and finishes requests in flight."""

from typing import Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

CHECK_SECONDS = 0.1
"""Interval between two checks for requests in flight."""
IDLE_CHECKS = 2
"""Consecutive checks without requests in flight that end the drain: the last response may
still be in the send buffer when its request is counted as finished."""


class DrainableServer(Protocol):
    """A server that can be drained."""

    def requests_in_flight(self) -> int:
        """Return the number of requests being read or processed."""

    def stop_accepting(self) -> None:
        """Stop accepting connections."""

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""

    def stopped(self, requests_in_flight: int, seconds: float) -> None:
        """Handle the end of the drain; the requests still in flight are aborted."""


class DrainTimes(msgspec.Struct, frozen=True):
    """Times of a drain, in seconds since its start."""

    accept_seconds: float
    """When to stop accepting: by then load balancers no longer route to this server."""
    max_seconds: float
    """When to abort the requests that are still in flight."""


class Drain:
    """One graceful shutdown."""

    def __init__(
        self, clock: IReactorTime, server: DrainableServer, times: DrainTimes
    ) -> None:
        """Prepare a drain of a server, which `begin` starts."""
        self._clock = clock
        self._server = server
        self._times = times
        self._began = 0.0
        self._idle_checks = 0

    def begin(self) -> None:
        """Start the drain; the server accepts connections for a while longer."""
        self._began = self._clock.seconds()
        self._clock.callLater(self._times.accept_seconds, self._stop_accepting)

    def _stop_accepting(self) -> None:
        # With too few ready servers, clients would connect for as long as this one listens.
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
