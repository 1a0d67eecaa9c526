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
    """One read of the store for all requests that wait for it at the same time."""

    def __init__(
        self,
        clock: IReactorTime,
        confirm: Callable[[], "Deferred[None]"],
        max_seconds: float,
    ) -> None:
        """`confirm` reads the store; its result is waited for `max_seconds` at most."""
        self._clock = clock
        self._confirm = confirm
        self._max_seconds = max_seconds
        self._waiting: list[Deferred[None]] = []
        self._timer: IDelayedCall | None = None
        self._reads = 0
        """Number of the latest read; an earlier one that returns late is ignored."""

    def confirm(self) -> "Deferred[None]":
        """Fire once the list was confirmed, or could not be in time."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            self._reads += 1
            read = self._reads
            self._timer = self._clock.callLater(self._max_seconds, self._end)
            confirming = self._confirm().addErrback(_log_failure)
            confirming.addCallback(lambda _: self._returned(read))
        return waiting

    def _returned(self, read: int) -> None:
        if read == self._reads and self._waiting:
            self._end()

    def _end(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            request.callback(None)
