"""Keeps the requests for queued calls open until their replies are due."""

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.engines.steward_state import Replies, StewardState, key_of
from notcharch.scheduling.calls import CallKey
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import EnqueueCall


class PendingRequests:
    """Connects a `StewardState` to the open requests and to the clock."""

    def __init__(self, state: StewardState, clock: IReactorTime) -> None:
        """Start without any open request."""
        self.state = state
        self._clock = clock
        self._waiters: dict[CallKey, list[Deferred[Message]]] = {}
        self._deadline_timer: IDelayedCall | None = None

    async def enqueue(self, request: EnqueueCall) -> Message:
        """Queue a call and return its reply once there is one."""
        waiter: Deferred[Message] = Deferred()
        self._waiters.setdefault(key_of(request), []).append(waiter)
        self.send_replies(self.state.enqueue(request, self._clock.seconds()))
        return await waiter

    def send_replies(self, replies: Replies) -> None:
        """Send each reply to the requests that wait for it."""
        for call_reply in replies:
            for waiter in self._waiters.pop(call_reply.key, ()):
                waiter.callback(call_reply.reply)
        self._schedule_deadline()

    def stop(self) -> None:
        """Cancel the timer of the next deadline."""
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
        self._deadline_timer = None

    def _schedule_deadline(self) -> None:
        self.stop()
        deadline = self.state.next_deadline()
        if deadline is not None:
            delay = max(0.0, deadline - self._clock.seconds())
            self._deadline_timer = self._clock.callLater(delay, self._refuse_expired)

    def _refuse_expired(self) -> None:
        self._deadline_timer = None
        self.send_replies(self.state.refuse_expired(self._clock.seconds()))
