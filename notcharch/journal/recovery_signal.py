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

Response = TypeVar("Response")

STALE_SECONDS = 0.15
"""Minimum age at which a pending call counts as failed after a recovery."""


class RecoverySignal:
    """Ends waits early when the log service is available again."""

    def __init__(self, clock: IReactorTime) -> None:
        """Start with an available service."""
        self._clock = clock
        self._waiting: list[Deferred[None]] = []
        self.recovery_count = 0

    def recovered(self) -> None:
        """End all waits: the service is available again."""
        self.recovery_count += 1
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)

    def pause(self, seconds: float) -> "Deferred[None]":
        """Return a Deferred that fires after a delay or at a recovery."""
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
