"""The client side of HTTP/1.1 connections, without pipelining."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol as Interface

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.http import SlowEngineCut
from notcharch.http.messages import (
    VALID_STATUSES,
    Headers,
    RequestHead,
    ResponseHead,
    response_framing,
)
from notcharch.http.metrics import READERS_CUT
from notcharch.http.peer_buffers import PeerBuffers
from notcharch.http.reactor import FlowControlledTransport
from notcharch.http.send_buffer import MAX_TRANSPORT_BYTES, SendBuffer
from notcharch.http.sockets import takes_bytes

MAJOR_VERSION = b"1."
SURPLUS_RESPONSE_LIMIT = 3
"""Responses to other requests after which the current request fails."""
SURPLUS_BYTES_LIMIT = 1024 * 1024
"""Bytes in the bodies of such responses after which the current request fails."""
MAX_JOINED_BYTES = MAX_TRANSPORT_BYTES
"""Longer bodies are not joined with their heads: a transport copies no more at a time."""
INTERIM_RESPONSE_LIMIT = 16
"""Interim responses (1xx) after which the current request fails."""


class ResponseFailure(Enum):
    """Why no complete response was received."""

    CLOSED = "connection closed"
    RESET = "connection reset"
    GARBLED = "bytes that are no answer"
    TRUNCATED = "closed before the end of the answer"
    ABANDONED = "abandoned by this side"
    CUT = "cut by this side, which buffered too much"


class ResponseListener(Interface):
    """Callbacks for the response to one request."""

    def is_response(self, head: ResponseHead) -> bool:
        """Return whether a head is of this request's response, not of an earlier one's."""

    def head_received(self, head: ResponseHead) -> None:
        """Handle the head of the response."""

    def data_received(self, data: bytes) -> None:
        """Handle a chunk of the body."""

    def completed(self) -> None:
        """Handle the end of a complete body."""

    def failed(self, failure: ResponseFailure) -> None:
        """Handle the failure of an incomplete response."""


class ClientConnection(Protocol):
    """A reusable connection to a server."""

    transport: FlowControlledTransport

    def __init__(self, buffers: PeerBuffers | None = None) -> None:
        """Start disconnected; `buffers` counts what all connections hold."""
        self._buffers = buffers or PeerBuffers()
        self._is_reading_paused = False
        self._is_cut = False
        self._http = h11.Connection(h11.CLIENT)
        self._listener: ResponseListener | None = None
        self._request: h11.Request | None = None
        self._callers_bytes = 0
        """Size of a body that is sent and that its sender holds in any case."""
        self._is_surplus = False
        self._surplus_remaining = SURPLUS_RESPONSE_LIMIT
        self._surplus_bytes = 0
        self._interim_responses = 0
        self._is_disconnected = False
        self.is_reusable = False
        """True while the connection can take another request."""
        self.served = 0
        """Number of requests with a complete response on this connection."""
        self.peer_started_ms: int | None = None
        """When the server's process started, in Unix milliseconds, if it was asked."""
        self.keep_alive_seconds: float | None = None
        """The idle timeout that the server advertises in `Keep-Alive`, if any."""
        self.on_idle_close: Callable[[], None] | None = None
        """Called if the server closes the connection while it is idle."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Disable Nagle's algorithm, so that small requests are sent immediately."""
        self.transport.setTcpNoDelay(True)
        self._out = SendBuffer(self.transport, self._on_buffer_change)
        self.is_reusable = True

    def _on_buffer_change(self, buffered: int) -> None:
        """Count the bytes, but for a large body, which its sender holds and counts."""
        if not self._is_cut:
            copied = min(buffered, self._out.in_transport)
            self._buffers.changed(self, max(buffered - self._callers_bytes, copied))

    def _hold_body(self) -> None:
        """Count the rest of a body: its sender holds it no longer."""
        if self._callers_bytes:
            self._callers_bytes = 0
            self._on_buffer_change(self._out.buffered)

    @property
    def takes_bytes(self) -> bool:
        """Whether its socket would take more bytes now."""
        return takes_bytes(self.transport)

    def cut(self, buffered: int) -> None:
        """Abort the connection: all hold too much, and it has not been read for longest."""
        self._is_cut = True
        READERS_CUT.labels("engine").inc()
        emit(SlowEngineCut(self.transport.getPeer().host, buffered))
        self.close()

    def pause_reading(self) -> None:
        """Stop reading the response until `resume_reading`."""
        if self._listener is not None and not self._is_reading_paused:
            self._is_reading_paused = True
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Continue to read the response."""
        if self._is_reading_paused:
            self._is_reading_paused = False
            if not self._is_disconnected:
                self.transport.resumeProducing()

    def send(self, head: RequestHead, body: bytes, listener: ResponseListener) -> None:
        """Send a complete request; `listener` is called with the response."""
        self._listener = listener
        self.is_reusable = False
        headers: Headers = list(head.headers)
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", str(len(body)).encode()))
        self._request = h11.Request(
            method=head.method, target=head.target, headers=headers
        )
        self._is_surplus = False
        self._surplus_remaining = SURPLUS_RESPONSE_LIMIT
        self._surplus_bytes = self._interim_responses = 0
        sent_head = self._http.send(self._request) or b""
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        if len(body) <= MAX_JOINED_BYTES:
            self._out.write(sent_head + body)
            return
        self._callers_bytes = len(body)
        self._out.write(sent_head)
        self._out.write(body)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse received bytes."""
        if self._listener is None:
            # Unsolicited bytes: whatever follows could not be matched to a request.
            self.close()
            return
        self._http.receive_data(data)
        self._read_events()

    def _read_events(self) -> None:
        while self._listener is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                is_closed = self._is_disconnected
                self._fail(
                    ResponseFailure.TRUNCATED if is_closed else ResponseFailure.GARBLED
                )
                return
            if isinstance(event, h11.ConnectionClosed | type):
                return
            self._handle_event(event)

    def _handle_event(self, event: h11.Event) -> None:
        listener = self._listener
        assert listener is not None
        if isinstance(event, h11.Response):
            if not _is_valid(event):
                self._fail(ResponseFailure.GARBLED)
                return
            head = self._read_head(event)
            self._is_surplus = not listener.is_response(head)
            if not self._is_surplus:
                self._read_keep_alive(head)
                listener.head_received(head)
        elif isinstance(event, h11.Data):
            self._data_received(listener, bytes(event.data))
        elif isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > INTERIM_RESPONSE_LIMIT:
                self._fail(ResponseFailure.GARBLED)
        elif isinstance(event, h11.EndOfMessage):
            if self._is_surplus:
                self._skip_surplus_response()
            else:
                self._complete(listener)

    def _data_received(self, listener: ResponseListener, data: bytes) -> None:
        """Pass data on, or count it if it belongs to an earlier request."""
        if not self._is_surplus:
            listener.data_received(data)
            return
        self._surplus_bytes += len(data)
        if self._surplus_bytes > SURPLUS_BYTES_LIMIT:
            self._fail(ResponseFailure.GARBLED)

    def _read_head(self, event: h11.Response) -> ResponseHead:
        assert self._request is not None
        headers = event.headers.raw_items()
        status = event.status_code
        framing = response_framing(self._request.method, status, headers)
        return ResponseHead(status, headers, event.reason, framing)

    def _read_keep_alive(self, head: ResponseHead) -> None:
        value = head.get(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                self.keep_alive_seconds = float(number)

    def _skip_surplus_response(self) -> None:
        """Reset the parser after a response to an earlier request."""
        self._surplus_remaining -= 1
        surplus_data, is_closed = self._http.trailing_data
        if self._surplus_remaining <= 0 or is_closed or self._request is None:
            self._fail(ResponseFailure.GARBLED)
            return
        if self._http.their_state is not h11.DONE:
            self._fail(ResponseFailure.CLOSED)
            return
        self._http = _awaiting_response(self._request)
        if surplus_data:  # empty data would signal the end of the connection
            self._http.receive_data(surplus_data)
        self._is_surplus = False

    def _complete(self, listener: ResponseListener) -> None:
        self._listener = None
        self._hold_body()
        self.resume_reading()
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
        """Abort the request in flight by closing its connection."""
        self._listener = None
        self.close()

    def close(self) -> None:
        """Close the connection immediately."""
        self.is_reusable = False
        self._is_reading_paused = False
        if not self._is_disconnected:
            self._out.discard()
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Complete or fail the request in flight."""
        self._is_disconnected = True
        was_idle = self.is_reusable
        self.is_reusable = False
        self._out.discard()
        if self._listener is not None:
            self._disconnected_in_flight(reason.check(ConnectionDone) is not None)
        if was_idle and self.on_idle_close is not None:
            self.on_idle_close()

    def _disconnected_in_flight(self, is_clean: bool) -> None:
        if self._is_cut:
            self._fail(ResponseFailure.CUT)
            return
        if not is_clean:
            self._fail(ResponseFailure.RESET)
            return
        # A response without a length ends with its connection (RFC 9112, 6.3).
        self._http.receive_data(b"")
        self._read_events()
        if self._listener is not None:
            self._fail(ResponseFailure.CLOSED)


def _is_valid(response: h11.Response) -> bool:
    """Return whether a status line has a valid status of this protocol."""
    is_http_1 = response.http_version.startswith(MAJOR_VERSION)
    return is_http_1 and response.status_code in VALID_STATUSES


def _awaiting_response(request: h11.Request) -> h11.Connection:
    """Return an h11 connection in the state after the complete request was sent."""
    connection = h11.Connection(h11.CLIENT)
    length = int(dict(request.headers).get(b"content-length", b"0"))
    connection.send(request)
    if length:
        connection.send(h11.Data(data=bytes(length)))
    connection.send(h11.EndOfMessage())
    return connection
