"""A connection with several requests, and the answers that are still to come, in order."""

import contextlib
from collections import deque
from typing import Any

import h11
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from deploy.soak.observations import OK, Asked
from notcharch.calls.event_stream import EventFramer, data_lines
from notcharch.http.reactor import FlowControlledTransport


class PendingAnswer:
    """One request on a connection, and what came of its answer."""

    def __init__(self, asked: Asked, headers: list[tuple[bytes, bytes]]) -> None:
        """Make the bytes of the request."""
        self.asked = asked
        self._framer = EventFramer()
        self._http = h11.Connection(h11.CLIENT)
        length = (b"Content-Length", str(len(asked.expected_body)).encode())
        request = h11.Request(
            method=b"POST", target=asked.path.encode(), headers=[*headers, length]
        )
        self.data = b"".join(
            self._http.send(event) or b""
            for event in (
                request,
                h11.Data(data=asked.expected_body),
                h11.EndOfMessage(),
            )
        )
        self.tells_close = False
        """Whether the answer says that its connection will be closed."""

    def receive(self, data: bytes) -> bytes | None:
        """Take bytes; return those after the answer if it is whole, else None."""
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return None
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.asked.is_whole = True
                self.asked.ends_inside_event = self._framer.is_inside_event
                return bytes(self._http.trailing_data[0])
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _take_head(self, head: h11.Response) -> None:
        headers = dict(head.headers)
        self.asked.status = head.status_code
        self.asked.answered_id = headers.get(b"x-notcharch-request-id", b"").decode()
        self.tells_close = b"close" in headers.get(b"connection", b"").lower()

    def _take_data(self, data: bytes) -> None:
        if not self.asked.is_stream or self.asked.status != OK:
            self.asked.body += data
            return
        whole = self._framer.feed(data)
        self.asked.events += data_lines(whole).splitlines()


class PersistentConnection(Protocol):
    """One connection, with the answers that are still to come, in order."""

    transport: FlowControlledTransport

    def __init__(self, reactor: Any, on_idle: Any, on_lost: Any) -> None:
        """Call `on_idle` when every request has its answer, `on_lost` at the end."""
        self._reactor = reactor
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._pending: deque[PendingAnswer] = deque()
        self._served = 0
        self._tells_close = False
        self._pause_seconds = 0.0
        self._is_paused = False
        self.is_lost = False

    def add(self, pending: PendingAnswer) -> None:
        """Expect the answer to a request, of which nothing was sent."""
        asked = pending.asked
        asked.is_connected = True
        asked.is_on_kept_connection = self._served > 0
        asked.begun_at = asked.sent_at = self._reactor.seconds()
        self._pending.append(pending)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self.is_lost:
            self.transport.write(data)
            for pending in self._pending:
                pending.asked.sent_at = self._reactor.seconds()

    def pause_at_answer(self, seconds: float) -> None:
        """Read nothing for a while after the first bytes of the next answer.

        Before them it would hide the moment at which the daemon closes.
        """
        self._pause_seconds = seconds

    def _pause(self) -> None:
        self._is_paused = True
        self.transport.pauseProducing()
        self._reactor.callLater(self._pause_seconds, self._resume)
        self._pause_seconds = 0.0

    def _resume(self) -> None:
        self._is_paused = False
        if not self.is_lost:
            self.transport.resumeProducing()
            self._tell_if_idle()

    def _tell_if_idle(self) -> None:
        if self._pending or self._is_paused or self.is_lost:
            return
        if self._tells_close:
            # Nothing may follow on it; the daemon closes it, or this side does.
            self.transport.loseConnection()
        else:
            self._on_idle(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Give the bytes to the answers in their order."""
        if self._pause_seconds:
            self._pause()
        rest: bytes | None = data
        while rest and self._pending:
            try:
                rest = self._pending[0].receive(rest)
            except h11.RemoteProtocolError:
                self.transport.abortConnection()
                return
            if rest is not None:
                self._answered()
        self._tell_if_idle()

    def _answered(self) -> None:
        done = self._pending.popleft()
        done.asked.ended_at = self._reactor.seconds()
        self._served += 1
        self._tells_close |= done.tells_close
        for pending in self._pending:
            pending.asked.is_on_kept_connection = True
            pending.asked.close_was_told = self._tells_close

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the answers that did not come, or that end with the connection."""
        self.is_lost = True
        for pending in self._pending:
            with contextlib.suppress(h11.RemoteProtocolError):
                pending.receive(b"")
            pending.asked.ended_at = self._reactor.seconds()
        self._pending.clear()
        self._on_lost()
