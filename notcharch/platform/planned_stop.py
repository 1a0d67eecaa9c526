"""The planned stop of a process: what happens at which time after SIGTERM.

The platform kills a process at the end of its grace period. Until it has taken the daemon
out, new connections come; callers keep using open ones until they are closed. So calls
that may not end in time are refused as they come, and the connections are closed when
their answers have left the process.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort, IReactorTime

from notcharch.calls.planned_stop import PlannedStop
from notcharch.events.event import emit
from notcharch.events.process import DrainEnded
from notcharch.events.stop_steps import isolated
from notcharch.http.drain import Drain, DrainTimes
from notcharch.http.listening_port import close_listening_port
from notcharch.http.server import ServerFactory
from notcharch.journal.planned_leave import LeaveTerms
from notcharch.platform.ingress import Ingress

STOP_ACCEPT_SECONDS = 2.6
"""After SIGTERM, connections are accepted until the platform detects the stop."""
STOP_ACCEPT_MAX_SHARE = 0.45
"""Upper bound of `STOP_ACCEPT_SECONDS` as a share of the stop's grace period."""
EXIT_SECONDS = 0.4
"""Reserved at the end of the grace period for the last log lines and the exit."""
MAX_LEAVE_SECONDS = 0.5
"""Longest wait for the release of the daemon's partitions; the end of the grace period
reserves it.

Partitions that are not released have no owner until a lease has expired.
"""
LAST_BYTES_SECONDS = 0.1
"""Between the cut of running calls and the exit, for their error responses."""


def stop_times(grace_seconds: float) -> DrainTimes:
    """Return the times of a stop with a grace period."""
    max_seconds = grace_seconds - EXIT_SECONDS
    return DrainTimes(
        accept_seconds=min(STOP_ACCEPT_SECONDS, grace_seconds * STOP_ACCEPT_MAX_SHARE),
        cut_seconds=max_seconds - LAST_BYTES_SECONDS,
        max_seconds=max_seconds,
    )


def release_seconds(times: DrainTimes) -> float:
    """Return after which part of a stop partitions are released in any case."""
    return max(times.max_seconds - MAX_LEAVE_SECONDS, 0.0)


class ProcessStop:
    """Drives the stop of one process; `begin` has an effect once."""

    def __init__(
        self,
        clock: IReactorTime,
        machine: str,
        calls: PlannedStop,
        ingress: Ingress,
        factory: ServerFactory,
    ) -> None:
        """Prepare the stop of a machine's process with its callers' connections."""
        self._clock = clock
        self._machine = machine
        self._calls = calls
        self._ingress = ingress
        self._factory = factory
        self._front_port: IListeningPort | None = None
        self._is_leaving = False
        self._calls_ended: Deferred[None] = Deferred()
        """Fires when no call runs and none can come: no owner of an account is needed."""
        self._finish: Callable[[int, float], None] = lambda *_: None

    def begin(
        self,
        grace_seconds: float,
        front_port: IListeningPort | None,
        finish: Callable[[int, float], None],
        leave: Callable[[LeaveTerms], "Deferred[Any]"],
    ) -> None:
        """Start; `finish` is called with the requests in flight and the duration.

        `leave` begins to release the partitions of this daemon; its result fires when they
        are released.

        Nobody is served without an open port, or before the first table: it ends at once.
        """
        if self._ingress.is_draining:
            return
        self._ingress.is_draining = True
        self._front_port = front_port
        self._finish = finish
        times = stop_times(grace_seconds)
        if front_port is None or self._ingress.router is None:
            times = DrainTimes(0.0, times.cut_seconds, times.max_seconds)
        self._calls.begin(times.cut_seconds)
        self._is_leaving = True
        terms = LeaveTerms(self._calls_ended, release_seconds(times), MAX_LEAVE_SECONDS)
        leave(terms).addBoth(lambda _: self._left())
        Drain(self._clock, self, times).begin()

    def _left(self) -> None:
        self._is_leaving = False

    # Called by `Drain`

    def is_busy(self) -> bool:
        """Return whether callers' connections are open, or partitions are released."""
        return bool(self._factory.open_connections) or self._is_leaving

    def refuse_late(self) -> None:
        """Refuse the calls that wait or are read and can't end in time."""
        self._calls.refuse_late()
        self._factory.refuse_unread(self._ingress.refusal_of_unread)

    def stop_accepting(self) -> None:
        """Close the callers' listening port."""
        if self._front_port is not None:
            close_listening_port(self._front_port)

    def close_idle(self) -> None:
        """Close the callers' connections on which nothing of a request was received.

        Without connections no call needs an owner of an account any more.
        """
        try:
            self._factory.close_idle()
        finally:
            self._note_open_connections()

    def _note_open_connections(self) -> None:
        if not self._factory.open_connections and not self._calls_ended.called:
            self._calls_ended.callback(None)

    def cut(self) -> None:
        """Cut the calls that run, and refuse the others."""
        self._calls.cut_all()

    def stopped(self, seconds: float) -> None:
        """Log how calls ended, and finish."""
        isolated("log the end", partial(self._log_end, seconds))
        self._finish(self._ingress.in_flight, seconds)

    def _log_end(self, seconds: float) -> None:
        counts = self._calls.counts
        emit(
            DrainEnded(
                self._machine,
                served=counts.served,
                refused=counts.refused,
                cut=counts.cut,
                unfinished_connections=self._factory.open_connections,
                seconds=round(seconds, 3),
            )
        )
