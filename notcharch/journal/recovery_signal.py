"""Tells whoever waits for the log service that it answers again.

Writers, and followers of keyed topics, back off while their calls fail. Heartbeats go on at their own pace, so the
first that is answered again ends all those waits at once; and calls that were sent
before it, and have no answer yet, are taken for lost.
"""

from typing import TypeVar

from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.journal.interface import LogFault, LogProblem

Answer = TypeVar("Answer")

STALE_SECONDS = 0.15
"""A call that is younger when the service is back may still be answered."""


class RecoverySignal:
    """Waits that end early when the log service is back."""

    def __init__(self, clock: IReactorTime) -> None:
        """Begin with a service that answers."""
        self._clock = clock
        self._waiting: list[Deferred[None]] = []
        self.count = 0
        """How often the service came back."""

    def recovered(self) -> None:
        """End all waits."""
        self.count += 1
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)

    def pause(self, seconds: float) -> "Deferred[None]":
        """Give a Deferred that fires after a time, or when the service is back."""
        over: Deferred[None] = Deferred()
        timer: IDelayedCall = self._clock.callLater(seconds, self._expire, over)
        self._waiting.append(over)

        def stop_timer(_: None) -> None:
            if timer.active():
                timer.cancel()

        return over.addCallback(stop_timer)

    def _expire(self, over: "Deferred[None]") -> None:
        self._waiting.remove(over)
        over.callback(None)

    def guard(
        self, call: "Deferred[Result[Answer, LogProblem]]"
    ) -> "Deferred[Result[Answer, LogProblem]]":
        """Give a call's answer; UNKNOWN if the service came back while it was out."""
        answered: Deferred[Result[Answer, LogProblem]] = Deferred()
        sent_at = self._clock.seconds()
        back: Deferred[None] = Deferred()

        def answer(outcome: Result[Answer, LogProblem]) -> None:
            if back in self._waiting:
                self._waiting.remove(back)
            if not answered.called:
                answered.callback(outcome)

        def came_back(_: None) -> None:
            if self._clock.seconds() - sent_at >= STALE_SECONDS:
                answer(Err(LogProblem(LogFault.UNKNOWN)))

        call.addCallback(answer)
        if not answered.called:
            self._waiting.append(back.addCallback(came_back))
        return answered
