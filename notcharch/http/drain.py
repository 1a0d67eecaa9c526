"""Graceful shutdown of a server: it stops accepting and finishes requests in flight."""

from typing import Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

CHECK_SECONDS = 0.1
"""Interval between two checks for requests in flight, and for those to be refused."""


class DrainableServer(Protocol):
    """A server that can be drained."""

    def open_connections(self) -> int:
        """Return the number of connections that are open.

        One that is closing is open until its last byte has left the process.
        """

    def refuse_late(self) -> None:
        """Refuse the requests that wait or are read and can't end in time."""

    def stop_accepting(self) -> None:
        """Stop accepting connections."""

    def close_idle(self) -> None:
        """Close the connections on which nothing of a request was received."""

    def cut(self) -> None:
        """Abort the requests that are still in flight, and refuse those that wait."""

    def stopped(self, seconds: float) -> None:
        """Handle the end of the drain."""


class DrainTimes(msgspec.Struct, frozen=True):
    """Times of a drain, in seconds since its start."""

    accept_seconds: float
    """When to stop accepting: by then load balancers no longer route to this server."""
    cut_seconds: float
    """When to abort the requests that are still in flight."""
    max_seconds: float
    """When to end, although last bytes have not left the process."""


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
        self._is_accepting = True
        self._is_cut = False

    def begin(self) -> None:
        """Start the drain; the server accepts connections for a while longer."""
        self._began = self._clock.seconds()
        self._check()

    def _check(self) -> None:
        times = self._times
        elapsed = self._clock.seconds() - self._began
        self._server.refuse_late()
        if self._is_accepting and elapsed >= times.accept_seconds:
            # With too few ready servers, clients connect for as long as this one listens.
            self._is_accepting = False
            self._server.stop_accepting()
        if not self._is_accepting:
            self._server.close_idle()
        if not self._is_cut and elapsed >= times.cut_seconds:
            self._is_cut = True
            self._server.cut()
        is_finished = not self._is_accepting and not self._server.open_connections()
        if is_finished or elapsed >= times.max_seconds:
            self._server.stopped(elapsed)
            return
        self._clock.callLater(self._until_next(elapsed), self._check)

    def _until_next(self, elapsed: float) -> float:
        """Return the seconds until the next check: the regular one, or a step's time."""
        times = self._times
        steps = (times.accept_seconds, times.cut_seconds, times.max_seconds)
        later = [step - elapsed for step in steps if step > elapsed]
        return min([CHECK_SECONDS, *later])
