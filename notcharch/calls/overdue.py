"""Detection of overdue first responses."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.scheduling.first_response_times import RouteResponseTimes


def _do_nothing() -> None:
    """Stand for the end of a run that is over."""


class OverdueWatch:
    """The timer for the first response of each run of a call."""

    def __init__(
        self,
        clock: IReactorTime,
        waits: RouteResponseTimes,
        route: str,
        overdue: Callable[[], None],
    ) -> None:
        """Use the limit of a route; `overdue` is called at most once per run."""
        self._clock = clock
        self._waits = waits
        self._route = route
        self._overdue = overdue
        self._sent_at: float | None = None
        self.limit_seconds = 0.0
        """Time after which the first response of the current run is overdue."""
        self._timer: IDelayedCall | None = None

    def sent(self) -> None:
        """Start the timer for a run."""
        self.stop()
        self._sent_at = self._clock.seconds()
        limit = self._waits.limit_seconds(self._route)
        if limit is not None:
            self.limit_seconds = limit
            self._timer = self._clock.callLater(limit, self._overdue)

    def first_response_received(self) -> None:
        """Record the waiting time of the first response of a run; ignore later ones."""
        if self._sent_at is not None:
            waited = self._clock.seconds() - self._sent_at
            self._waits.of(self._route).record(waited)
        self.stop()

    def take_retry(self) -> bool:
        """Take a retry from the route's budget; return whether one was left."""
        return self._waits.of(self._route).take_retry()

    def stop(self) -> None:
        """Cancel the timer."""
        self._sent_at = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def close(self) -> None:
        """Cancel the timer, and let go of the run: it is freed with its request."""
        self.stop()
        self._overdue = _do_nothing
