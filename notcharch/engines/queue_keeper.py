"""Holds the requests that wait in an engine's queue open, and answers them."""

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.engines.steward_state import Answers, StewardState, key_of
from notcharch.scheduling.calls import CallKey
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import EnqueueCall


class QueueKeeper:
    """Connects a `StewardState` with the requests and the clock."""

    def __init__(self, state: StewardState, clock: IReactorTime) -> None:
        """Begin with nobody waiting."""
        self.state = state
        self._clock = clock
        self._waiters: dict[CallKey, list[Deferred[Message]]] = {}
        self._alarm: IDelayedCall | None = None

    async def enqueue(self, request: EnqueueCall) -> Message:
        """Queue a call and give its reply when there is one."""
        waiter: Deferred[Message] = Deferred()
        self._waiters.setdefault(key_of(request), []).append(waiter)
        self.answer(self.state.enqueue(request, self._clock.seconds()))
        return await waiter

    def answer(self, answers: Answers) -> None:
        """Send replies to everyone who waits for them."""
        for answer in answers:
            for waiter in self._waiters.pop(answer.key, ()):
                waiter.callback(answer.reply)
        self._set_alarm()

    def stop(self) -> None:
        """Wait for no deadline any more."""
        if self._alarm is not None and self._alarm.active():
            self._alarm.cancel()
        self._alarm = None

    def _set_alarm(self) -> None:
        self.stop()
        deadline = self.state.next_deadline()
        if deadline is not None:
            delay = max(0.0, deadline - self._clock.seconds())
            self._alarm = self._clock.callLater(delay, self._give_up)

    def _give_up(self) -> None:
        self._alarm = None
        self.answer(self.state.give_up(self._clock.seconds()))
