"""What a caller notes of one answer."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from deploy.soak.observations import OK, Asked
from notcharch.calls.event_stream import EventFramer, data_lines
from notcharch.http.client import ClientConnection, ResponseFailure
from notcharch.http.messages import ResponseHead

RETRY_SECONDS = 0.15
REQUEST_ID = b"x-notcharch-request-id"


class Answer:
    """Records one answer for the oracle; a `ResponseListener`."""

    def __init__(self, reactor: Any, asked: Asked) -> None:
        """Wait for an answer."""
        self._reactor = reactor
        self._asked = asked
        self._framer = EventFramer()
        self.retry_after = RETRY_SECONDS
        self.begin_pause: Callable[[], None] | None = None
        """Called with the head, if nothing is read for a while then.

        Before the head it would hide the moment at which the daemon closes.
        """
        self.lose_connection: Callable[[], None] | None = None
        """Called after the first events, if the connection is to be lost then."""
        self.done: Deferred[None] = Deferred()

    def is_response(self, head: ResponseHead) -> bool:
        """Take every answer: one of another request is a finding."""
        return True

    def head_received(self, head: ResponseHead) -> None:
        """Note the status and whose answer it is."""
        self._asked.status = head.status
        self._asked.answered_id = (head.get(REQUEST_ID) or b"").decode()
        told = head.get(b"retry-after")
        if told is not None:
            self.retry_after = float(told)
        if self.begin_pause is not None:
            self.begin_pause()

    def data_received(self, data: bytes) -> None:
        """Note events or the body."""
        if not self._asked.is_stream or self._asked.status != OK:
            self._asked.body += data
            return
        whole = self._framer.feed(data)
        for line in data_lines(whole).splitlines():
            self._asked.events.append(line)
        if self._asked.events and self.lose_connection is not None:
            self.lose_connection()

    def completed(self) -> None:
        """Note that the answer is whole."""
        self._asked.is_whole = True
        self._asked.ends_inside_event = self._framer.is_inside_event
        self._over()

    def failed(self, failure: ResponseFailure) -> None:
        """Note that the answer broke off."""
        self._over()

    def lose(self, connection: ClientConnection) -> None:
        """Lose the connection at the caller's side."""
        self._asked.lost_by_caller = True
        self.give_up(connection)

    def give_up(self, connection: ClientConnection) -> None:
        """Leave: nothing came in time."""
        connection.abandon()
        self._over()

    def _over(self) -> None:
        if not self.done.called:
            self._asked.ended_at = self._reactor.seconds()
            self.done.callback(None)
