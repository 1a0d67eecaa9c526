"""Notifies waiting calls that the log service is available again.

Writers and followers of keyed topics back off while their calls fail. Heartbeats keep
their interval, so the first one that succeeds ends all these waits. Calls that were
sent well before it and have no response yet count as failed.
"""

from typing import TypeVar

from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.journal.interface import LogFault, LogProblem
from notcharch.journal.store_outage import StoreOutage

Response = TypeVar("Response")

STALE_SECONDS = 0.15
"""Minimum age at which a pending call counts as failed after a recovery."""


HELD_SECONDS = 2.0
"""Delay of the retries of a call in an outage, unless a recovery ends it.

It is no shorter than a long poll, so that followers make no more calls than usual.
"""


class RecoverySignal:
    """Ends waits early when the log service is available again."""

    def __init__(self, clock: IReactorTime, outage: StoreOutage | None = None) -> None:
        """Start with an available service.

        With `outage`, retries wait for a recovery while it holds calls. Heartbeats must
        then report to both.
        """
        self._clock = clock
        self.outage = outage
        self._waiting: list[Deferred[None]] = []
        self.recovery_count = 0

    def recovered(self) -> None:
        """End all waits: the service is available again."""
        self.recovery_count += 1
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)

    @property
    def holds_calls(self) -> bool:
        """Whether calls wait for a recovery, since the heartbeats fail."""
        return self.outage is not None and self.outage.holds_calls

    def known_outage_seconds(self) -> float:
        """Return how long the service has been down; 0 if it is not known to be."""
        if self.outage is None:
            return 0.0
        return self.outage.known_seconds(self._clock.seconds())

    def pause(self, seconds: float) -> "Deferred[None]":
        """Return a Deferred that fires after a delay or at a recovery."""
        if self.holds_calls:
            seconds = max(seconds, HELD_SECONDS)
        wait: Deferred[None] = Deferred()
        timer: IDelayedCall = self._clock.callLater(seconds, self._expire, wait)
        self._waiting.append(wait)

        def stop_timer(_: None) -> None:
            if timer.active():
                timer.cancel()

        return wait.addCallback(stop_timer)

    def _expire(self, wait: "Deferred[None]") -> None:
        self._waiting.remove(wait)
        wait.callback(None)

    def guard(
        self, call: "Deferred[Result[Response, LogProblem]]"
    ) -> "Deferred[Result[Response, LogProblem]]":
        """Return the call's response, or UNKNOWN if a recovery finds it stale."""
        guarded: Deferred[Result[Response, LogProblem]] = Deferred()
        sent_at = self._clock.seconds()
        recovery: Deferred[None] = Deferred()

        def complete(outcome: Result[Response, LogProblem]) -> None:
            if recovery in self._waiting:
                self._waiting.remove(recovery)
            if not guarded.called:
                guarded.callback(outcome)

        def on_recovery(_: None) -> None:
            if self._clock.seconds() - sent_at >= STALE_SECONDS:
                complete(Err(LogProblem(LogFault.UNKNOWN)))

        call.addCallback(complete)
        if not guarded.called:
            self._waiting.append(recovery.addCallback(on_recovery))
        return guarded
