"""The client side of one HTTP/1.1 connection: one request at a time, and its answer."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol as Interface

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import ITCPTransport
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from notcharch.http.messages import Headers, RequestHead, ResponseHead

MAX_SURPLUS_RESPONSES = 3
"""So many answers to other requests are passed over before a connection is given up."""


class ResponseFailure(Enum):
    """Why an answer didn't come to its end."""

    CLOSED = "connection closed"
    RESET = "connection reset"
    GARBLED = "bytes that are no answer"
    ABANDONED = "abandoned by this side"


class ResponseListener(Interface):
    """What hears the answer of one request."""

    def is_response(self, head: ResponseHead) -> bool:
        """Tell whether a head answers this request, not an earlier one."""

    def head_received(self, head: ResponseHead) -> None:
        """Hear the head of the answer."""

    def data_received(self, data: bytes) -> None:
        """Hear a piece of the body."""

    def completed(self) -> None:
        """Hear that the body is whole."""

    def failed(self, failure: ResponseFailure) -> None:
        """Hear that no more will come, and why."""


class ClientConnection(Protocol):
    """A connection to a server, used for one request after another."""

    transport: ITCPTransport

    def __init__(self) -> None:
        """Wait to be connected."""
        self._http = h11.Connection(h11.CLIENT)
        self._listener: ResponseListener | None = None
        self._request: h11.Request | None = None
        self._is_surplus = False
        self._surplus_remaining = MAX_SURPLUS_RESPONSES
        self._is_disconnected = False
        self.is_reusable = False
        """Whether another request may be sent."""
        self.served = 0
        """How many requests had an answer here."""
        self.keep_alive_seconds: float | None = None
        """How long the server keeps an idle connection, if it said."""
        self.on_disconnect: Callable[[ClientConnection], None] | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send small requests at once."""
        self.transport.setTcpNoDelay(True)
        self.is_reusable = True

    def send(self, head: RequestHead, body: bytes, listener: ResponseListener) -> None:
        """Send a whole request; `listener` hears the answer."""
        self._listener = listener
        self.is_reusable = False
        headers: Headers = list(head.headers)
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", str(len(body)).encode()))
        self._request = h11.Request(
            method=head.method, target=head.target, headers=headers
        )
        self._is_surplus = False
        self._surplus_remaining = MAX_SURPLUS_RESPONSES
        parts = [self._http.send(self._request) or b""]
        if body:
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self.transport.write(b"".join(parts))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Take bytes of answers."""
        if self._listener is None:
            # Nobody asked for these bytes, so none that follow can be trusted.
            self.close()
            return
        self._http.receive_data(data)
        self._read_events()

    def _read_events(self) -> None:
        while self._listener is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._fail(ResponseFailure.GARBLED)
                return
            if isinstance(event, h11.ConnectionClosed | type):
                return
            self._handle_event(event)

    def _handle_event(self, event: h11.Event) -> None:
        listener = self._listener
        assert listener is not None
        if isinstance(event, h11.Response):
            head = ResponseHead(
                event.status_code, event.headers.raw_items(), event.reason
            )
            self._is_surplus = not listener.is_response(head)
            if not self._is_surplus:
                self._read_keep_alive(head)
                listener.head_received(head)
        elif isinstance(event, h11.Data):
            if not self._is_surplus:
                listener.data_received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self._is_surplus:
                self._skip_surplus_response()
            else:
                self._complete(listener)

    def _read_keep_alive(self, head: ResponseHead) -> None:
        value = head.get(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                self.keep_alive_seconds = float(number)

    def _skip_surplus_response(self) -> None:
        """Go on after an answer to an earlier request, as if it had not come."""
        self._surplus_remaining -= 1
        surplus_data, is_closed = self._http.trailing_data
        if self._surplus_remaining <= 0 or is_closed or self._request is None:
            self._fail(ResponseFailure.GARBLED)
            return
        if self._http.their_state is not h11.DONE:
            self._fail(ResponseFailure.CLOSED)
            return
        self._http = _awaiting_response(self._request)
        if surplus_data:  # nothing would mean the end of the connection
            self._http.receive_data(surplus_data)
        self._is_surplus = False

    def _complete(self, listener: ResponseListener) -> None:
        self._listener = None
        self.served += 1
        has_trailing_data = bool(self._http.trailing_data[0])
        is_received = self._http.their_state is h11.DONE
        if is_received and self._http.our_state is h11.DONE and not has_trailing_data:
            self._http.start_next_cycle()
            self.is_reusable = not self._is_disconnected
        else:
            self.close()
        listener.completed()

    def _fail(self, failure: ResponseFailure) -> None:
        listener = self._listener
        self._listener = None
        self.close()
        if listener is not None:
            listener.failed(failure)

    def abandon(self) -> None:
        """Stop the request under way; the server sees its connection cut."""
        self._listener = None
        self.close()

    def close(self) -> None:
        """Use this connection no more."""
        self.is_reusable = False
        if not self._is_disconnected:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell the request under way how its answer ended."""
        self._is_disconnected = True
        self.is_reusable = False
        if self._listener is not None:
            self._disconnected_in_flight(reason.check(ConnectionDone) is not None)
        if self.on_disconnect is not None:
            self.on_disconnect(self)

    def _disconnected_in_flight(self, is_clean: bool) -> None:
        if not is_clean:
            self._fail(ResponseFailure.RESET)
            return
        # An answer without a length ends with its connection.
        self._http.receive_data(b"")
        self._read_events()
        if self._listener is not None:
            self._fail(ResponseFailure.CLOSED)


def _awaiting_response(request: h11.Request) -> h11.Connection:
    """Give a protocol state in which a request was sent whole."""
    connection = h11.Connection(h11.CLIENT)
    length = int(dict(request.headers).get(b"content-length", b"0"))
    connection.send(request)
    if length:
        connection.send(h11.Data(data=bytes(length)))
    connection.send(h11.EndOfMessage())
    return connection
