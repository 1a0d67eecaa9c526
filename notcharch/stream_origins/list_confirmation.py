"""Confirms the list of engines for several requests at once."""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.process import FollowingFailed

LIST = "list of engines"


def _log_failure(failure: Failure) -> None:
    emit(FollowingFailed(LIST, failure.getTraceback()))


class ListConfirmation:
    """One read of the store for all requests that come before it is sent.

    A request that comes while a read is under way waits for the next one: the list must have
    been up to date after the request came.
    """

    def __init__(
        self,
        clock: IReactorTime,
        confirm: Callable[[], "Deferred[None]"],
        max_seconds: float,
    ) -> None:
        """`confirm` reads the store; each read is waited for `max_seconds` at most."""
        self._clock = clock
        self._confirm = confirm
        self._max_seconds = max_seconds
        self._reading: list[Deferred[None]] = []
        """Requests that wait for the read under way."""
        self._next: list[Deferred[None]] = []
        """Requests that wait for the read after it."""
        self._timer: IDelayedCall | None = None
        self._reads = 0
        """Number of the latest read; an earlier one that returns late is ignored."""

    def confirm(self) -> "Deferred[None]":
        """Fire once the list was confirmed, or could not be in time."""
        waiting: Deferred[None] = Deferred()
        self._next.append(waiting)
        if not self._reading and len(self._next) == 1:
            self._clock.callLater(0, self._read)  # for all that come in this turn
        return waiting

    def _read(self) -> None:
        self._reading, self._next = self._next, []
        self._reads += 1
        read = self._reads
        self._timer = self._clock.callLater(self._max_seconds, self._end)
        confirming = self._confirm().addErrback(_log_failure)
        confirming.addCallback(lambda _: self._returned(read))

    def _returned(self, read: int) -> None:
        if read == self._reads and self._reading:
            self._end()

    def _end(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        done, self._reading = self._reading, []
        if self._next:
            self._read()
        for request in done:
            request.callback(None)
