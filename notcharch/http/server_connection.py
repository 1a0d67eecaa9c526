"""One HTTP/1.1 connection from a client; pipelined requests are served in order."""

from collections.abc import Callable

import h11
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.http import SlowReaderCut
from notcharch.http.buffered_bytes import CONNECTION_BYTES, is_behind
from notcharch.http.connection_room import NEW_CONNECTION_SECONDS
from notcharch.http.exchange import (
    ErrorResponse,
    Exchange,
    RequestHandler,
    Uploads,
)
from notcharch.http.messages import Headers, RequestHead
from notcharch.http.metrics import READERS_CUT, READERS_STOPPED
from notcharch.http.peer_buffers import PeerBuffers
from notcharch.http.reactor import FlowControlledTransport
from notcharch.http.send_buffer import SendBuffer
from notcharch.http.sockets import has_unread_bytes, takes_bytes
from notcharch.http.upload import Upload

BODILESS_STATUSES = (204, 304)
"""Statuses of responses without a body (RFC 9110, 6.4.1)."""
LINGER_SECONDS = 1.0
"""How long a request that is refused in a stop is read on and discarded.

A connection that is closed while its client still sends is reset, and the client may lose
the response.
"""
BODY_LINGER_SECONDS = 3.0
"""The same for a body that has no room: 4 MiB at 1.4 MB/s."""
NOT_IMPLEMENTED = 501
PIPELINED_BYTES = CONNECTION_BYTES
"""Bytes of later requests beyond which reading stops while one is processed."""


class ServerConnection(Protocol):
    """A connection from a client."""

    transport: FlowControlledTransport

    def __init__(
        self,
        handler: RequestHandler,
        clock: IReactorTime,
        buffers: PeerBuffers | None = None,
        uploads: Uploads | None = None,
    ) -> None:
        """Start idle; `buffers` counts what all connections hold but for admitted bodies."""
        self._uploads = uploads or Uploads()
        self._handler = handler
        self._buffers = buffers or PeerBuffers()
        self._clock = clock
        self._limits = handler.limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._exchange: Exchange | None = None
        self._upload: Upload | None = None
        """The request that is being read."""
        self._is_responding = False
        self._is_disconnected = False
        self._timer: IDelayedCall | None = None
        self._idle_since = 0.0
        self._opened_at = 0.0
        self._is_new = True
        """Whether nothing was received yet."""
        self._is_reading_paused = False
        self._is_cut = False
        self._sends_body = True
        """Whether the response that is sent has a body."""
        self._is_discarding = False
        """Whether the rest of a refused request is read and discarded."""
        self._undiscarded: int | None = None
        """How much is left of it; None if that isn't known."""
        self._on_sent: list[Callable[[], None]] = []
        """Callbacks of responses that have ended; not all bytes may have left the process."""
        self._inbound = 0
        """Bytes received that belong to no complete request."""
        self.is_client_behind = False
        """Whether the client reads more slowly than it is sent to."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Disable Nagle's algorithm and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._out = SendBuffer(self.transport, self._on_buffer_change)
        self._opened_at = self._idle_since = self._clock.seconds()
        self._schedule_check(self._limits.idle_seconds)

    def _schedule_check(self, seconds: float) -> None:
        self._timer = self._clock.callLater(seconds, self._close_if_expired)

    def _close_if_expired(self) -> None:
        """Close the connection after its idle timeout, or its timeout for a head."""
        self._timer = None
        if self._is_disconnected:
            return
        if self._exchange is not None:
            self._schedule_check(self._limits.idle_seconds)
            return
        is_partial = bool(self._http.trailing_data[0])
        limits = self._limits
        allowed = limits.header_seconds if is_partial else limits.idle_seconds
        remaining = self._idle_since + allowed - self._clock.seconds()
        if remaining > 0:
            self._schedule_check(remaining)
            return
        self._out.lose_connection()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or processed."""
        return self._exchange is None and not self._http.trailing_data[0]

    @property
    def is_reading_request(self) -> bool:
        """Whether a request was received in part and is not processed yet."""
        if self._is_disconnected or self._is_cut or self._is_responding:
            return False
        return not self.is_idle

    @property
    def idle_since(self) -> float | None:
        """Since when it has nothing to read, serve or send; None if it is in use."""
        is_in_use = (
            self._exchange is not None
            or self._is_discarding
            or self._inbound
            or self._out.buffered
        )
        return None if is_in_use else self._idle_since

    def close_if_idle(self) -> bool:
        """Close the connection if nothing of a request was received.

        One that was just opened is kept for its first request: its client got no sign that
        it would be closed. Returns whether it closes.
        """
        age = self._clock.seconds() - self._opened_at
        if self._is_new and age < NEW_CONNECTION_SECONDS:
            return False
        if self._is_disconnected or not self.is_idle or self._is_discarding:
            return False
        if self.has_unread_bytes:
            return False
        self._out.lose_connection()
        return True

    @property
    def has_unread_bytes(self) -> bool:
        """Whether its socket has bytes that were not read yet."""
        return has_unread_bytes(self.transport)

    def give_way(self) -> None:
        """Close the connection at once, whatever it is used for."""
        if self._exchange is not None:
            self._exchange.abort()
        else:
            self.abort()

    def refuse_unread(
        self, refusal_of: Callable[[Exchange | None], ErrorResponse | None]
    ) -> None:
        """Refuse the request that is being read, if `refusal_of` gives a response.

        It is called with None while the head is incomplete.
        """
        if not self.is_reading_request:
            return
        response = refusal_of(self._exchange)
        if response is not None:
            self._answer_unread(response, LINGER_SECONDS)

    def _answer_unread(self, response: ErrorResponse, linger_seconds: float) -> None:
        """Respond to a request that is read no further, and discard the rest of it."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        length = (b"content-length", str(len(response.body)).encode())
        close = (b"connection", b"close")
        headers = [*response.headers, length, close]
        self.send(h11.Response(status_code=response.status, headers=headers))
        self.send(h11.Data(data=response.body))
        self.send(h11.EndOfMessage())
        if self._exchange is not None:
            self._exchange.end()
        self._undiscarded = self._unread_bytes()
        self._clear_exchange()
        self._is_responding = self._is_discarding = True
        # What it has received is discarded with it.
        self._http = h11.Connection(h11.SERVER)
        self._update_inbound()
        if self._undiscarded == 0:
            self._out.lose_connection()
            return
        self._resume_reading()
        self._clock.callLater(linger_seconds, self._end_linger)

    def _unread_bytes(self) -> int | None:
        """Return how much of the body was not received yet, if its length is known."""
        if self._upload is None:
            return None
        return self._upload.left(len(self._http.trailing_data[0]))

    def _end_linger(self) -> None:
        if not self._is_disconnected:
            self._out.lose_connection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse received bytes."""
        self._is_new = False
        if self._is_discarding:
            self._discard(len(data))
            return
        if self._exchange is None and not self._http.trailing_data[0]:
            self._idle_since = self._clock.seconds()
            if self._timer is not None and self._timer.active():
                self._timer.reset(
                    min(self._limits.header_seconds, self._limits.idle_seconds)
                )
        self._http.receive_data(data)
        self._read_events()
        self._update_inbound()

    def _discard(self, size: int) -> None:
        """Close the connection once a refused request is read off."""
        if self._undiscarded is None:
            return
        self._undiscarded -= size
        if self._undiscarded <= 0:
            self._undiscarded = None
            self._out.lose_connection()

    def _update_inbound(self) -> None:
        """Count the bytes of incomplete requests, and stop reading if many wait.

        What has room is not among them.
        """
        waiting = len(self._http.trailing_data[0])
        must_wait = self._is_responding or self.is_client_behind
        if must_wait and waiting > PIPELINED_BYTES and not self._is_reading_paused:
            self._is_reading_paused = True
            self.transport.pauseProducing()
        inbound = waiting
        if self._upload is not None:
            inbound += self._upload.unadmitted
            self._upload.watch()
        if inbound != self._inbound:
            self._inbound = inbound
            self._count_buffered()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and not self._is_disconnected:
            self._is_reading_paused = False
            self.transport.resumeProducing()

    def _on_buffer_change(self, _buffered: int) -> None:
        """Count the bytes, and notify the request if its client is behind or not."""
        self._count_buffered()
        was_behind = self.is_client_behind
        self.is_client_behind = is_behind(
            was_behind, self._out.buffered, self._buffers.connection_bytes
        )
        if not self._out.buffered and not self._is_disconnected and not self._is_cut:
            self._report_sent()
        if self.is_client_behind == was_behind or self._is_disconnected or self._is_cut:
            return
        if self.is_client_behind:
            READERS_STOPPED.inc()
        if self._exchange is not None:
            self._exchange.backlog_changed(self.is_client_behind)
        if not self.is_client_behind:
            self._clock.callLater(0, self._read_next)

    def _report_sent(self) -> None:
        """Report the responses whose last bytes have left the process."""
        callbacks, self._on_sent = self._on_sent, []
        for on_sent in callbacks:
            on_sent()

    def _count_buffered(self) -> None:
        if not self._is_cut and not self._is_disconnected:
            self._buffers.changed(self, self._out.buffered, self._inbound)

    @property
    def takes_bytes(self) -> bool:
        """Whether its socket would take more bytes now."""
        return takes_bytes(self.transport)

    def cut(self, buffered: int) -> None:
        """Abort the connection: all hold too much, and it has not been read for longest."""
        self._is_cut = True
        READERS_CUT.labels("caller").inc()
        emit(SlowReaderCut(self._exchange.id if self._exchange else "", buffered))
        self._out.discard()
        self.transport.abortConnection()

    def _read_next(self) -> None:
        """Read requests that waited for the end of the one before or for the client."""
        self._resume_reading()
        self._read_events()
        self._update_inbound()

    @property
    def _can_read(self) -> bool:
        is_open = not self._is_disconnected and not self._is_cut
        is_without_room = self._upload is not None and self._upload.is_without_room
        must_wait = self._is_responding or self.is_client_behind or is_without_room
        return is_open and not must_wait

    def _read_events(self) -> None:
        """Handle events until a request is complete or needs more bytes."""
        while self._can_read:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint)
                return
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self.send(continue_response)
                return
            if isinstance(event, h11.ConnectionClosed | type):
                return
            self._handle_event(event)

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._begin(event)
        elif isinstance(event, h11.Data):
            if self._upload is not None:
                self._upload.add(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _begin(self, event: h11.Request) -> None:
        headers = event.headers.raw_items()
        head = RequestHead(event.method, event.target, headers)
        if event.method == b"CONNECT":
            self._refuse(NOT_IMPLEMENTED)
            return
        self._exchange = Exchange(self, head)
        self._exchange.arrived = self._clock.seconds()
        self._upload = Upload(
            self, self._exchange, self._uploads, self._limits, self._clock
        )
        self._handler.count(1)
        self._upload.begin()

    @property
    def is_asked_to_continue(self) -> bool:
        """Whether the client waits for `100 Continue`."""
        return self._http.they_are_waiting_for_100_continue

    def pause_upload(self) -> None:
        """Read no more of a request that has no room."""
        if not self._is_reading_paused:
            self._is_reading_paused = True
            self.transport.pauseProducing()

    def read_upload(self) -> None:
        """Read on: the request has room."""
        self._read_next()

    def refuse_upload(self, response: ErrorResponse) -> None:
        """Respond to a request that is read no further, and discard the rest of it."""
        self._answer_unread(response, BODY_LINGER_SECONDS)

    def _dispatch(self) -> None:
        exchange, upload = self._exchange, self._upload
        if exchange is None or upload is None:
            return
        exchange.body = upload.take()
        self._upload = None
        self._is_responding = True
        self._handler.handle(exchange)

    def _refuse(self, status: int) -> None:
        """Send an error response and close the connection."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        self.send_head(status, [(b"content-length", b"0"), (b"connection", b"close")])
        self.send(h11.EndOfMessage())
        self._clear_exchange()
        self._is_responding = True
        self._out.lose_connection()

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response."""
        if self._handler.is_closing():
            headers = [*headers, (b"connection", b"close")]
        self.send(h11.Response(status_code=status, headers=headers))

    def send(self, event: h11.Event) -> None:
        """Send one protocol event."""
        if self._is_disconnected:
            return
        if isinstance(event, h11.Response):
            self._sends_body = self._may_have_body(event.status_code)
        elif isinstance(event, h11.Data) and not self._sends_body:
            return
        data = self._http.send(event)
        if data:
            self._out.write(data)

    def _may_have_body(self, status: int) -> bool:
        """Return whether a response has a body; h11 raises for one that must not."""
        is_head = self._exchange is not None and self._exchange.head.method == b"HEAD"
        return not is_head and status not in BODILESS_STATUSES

    def end_exchange(self) -> None:
        """Complete the response, then read the next request or close."""
        self.send(h11.EndOfMessage())
        if self._exchange is not None:
            self._exchange.end()
            if self._exchange.on_sent is not None:
                self._on_sent.append(self._exchange.on_sent)
        self._clear_exchange()
        self._is_responding = False
        if self._is_disconnected:
            return
        if not self._out.buffered:
            self._report_sent()
        if self._http.our_state is h11.MUST_CLOSE:
            self._is_responding = True
            self._out.lose_connection()
            return
        self._limits = self._handler.limits()
        self._idle_since = self._clock.seconds()
        self._http.start_next_cycle()
        # Synchronous handlers must not recurse once per pipelined request.
        if self._http.trailing_data[0]:
            self._clock.callLater(0, self._read_next)

    def _clear_exchange(self) -> None:
        if self._upload is not None:
            self._upload.close()
            self._upload = None
        if self._exchange is not None:
            self._exchange.release_memory()
            self._exchange = None
            self._handler.count(-1)

    def abort(self) -> None:
        """Abort the connection, so that a response on it is recognisably incomplete."""
        self._clear_exchange()
        self._is_responding = True
        if not self._is_disconnected:
            self._out.discard()
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Notify the request in flight that its client disconnected."""
        self._is_disconnected = True
        self._out.discard()
        self._buffers.changed(self, 0)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if not self._is_cut:
            self._report_sent()
        exchange = self._exchange
        self._clear_exchange()
        if exchange is None or exchange.is_over:
            return
        on_disconnect = exchange.on_disconnect
        exchange.end()
        if on_disconnect is not None:
            on_disconnect()
