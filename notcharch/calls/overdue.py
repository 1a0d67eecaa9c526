"""Watches whether the first answer to one sent call is overdue."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.scheduling.first_response_times import RouteResponseTimes


class OverdueWatch:
    """The wait for the first answer of one run after another of a call."""

    def __init__(
        self,
        clock: IReactorTime,
        waits: RouteResponseTimes,
        route: str,
        overdue: Callable[[], None],
    ) -> None:
        """Compare with other calls of a route; `overdue` is called once a run."""
        self._clock = clock
        self._waits = waits
        self._route = route
        self._overdue = overdue
        self._sent_at: float | None = None
        self.limit_seconds = 0.0
        """After so long the present run's first answer is overdue."""
        self._timer: IDelayedCall | None = None

    def sent(self) -> None:
        """Begin to wait."""
        self.stop()
        self._sent_at = self._clock.seconds()
        limit = self._waits.limit_seconds(self._route)
        if limit is not None:
            self.limit_seconds = limit
            self._timer = self._clock.callLater(limit, self._overdue)

    def answered(self) -> None:
        """Learn from the first answer of a run; later ones say nothing."""
        if self._sent_at is not None:
            waited = self._clock.seconds() - self._sent_at
            self._waits.of(self._route).record(waited)
        self.stop()

    def take_retry(self) -> bool:
        """Ask for a retry out of the route's budget."""
        return self._waits.of(self._route).take_retry()

    def stop(self) -> None:
        """Wait no more."""
        self._sent_at = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
