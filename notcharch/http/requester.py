"""Requests with a timeout to one server, over persistent connections."""

from enum import Enum

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from notcharch.http.answer_room import AnswerRoom
from notcharch.http.bounded_body import BoundedBody, ServerKind
from notcharch.http.client import ClientConnection, ResponseFailure
from notcharch.http.idle_connections import IdleConnections
from notcharch.http.messages import RequestHead, ResponseHead
from notcharch.http.reactor import TimedReactor
from notcharch.http.sockets import detect_dead_peer

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout of the TCP handshake: the initial retransmission timeout of a SYN."""
IDLE_TIMEOUT_SECONDS = 10.0
"""Idle connections are closed after this time."""
MAX_RESPONSE_BYTES = 1024 * 1024
"""The longest response, unless a request allows another length."""
MAX_IDLE = 16
"""Idle connections kept to the server: more than its usual concurrent requests."""


class CompleteResponse(msgspec.Struct, frozen=True):
    """A response that was received completely."""

    head: ResponseHead
    body: bytes


class NoResponse(Enum):
    """Why there is no complete response."""

    NOT_SENT = "not sent"
    SENT = "sent, and no whole answer came in time"
    TOO_LONG = "sent, and the answer is longer than it may be"
    BROKEN_OFF = "sent, and the connection ended before a whole answer"


Outcome = Result[CompleteResponse, NoResponse]


class PendingRequest:
    """One request in flight."""

    def __init__(
        self,
        requester: "Requester",
        head: RequestHead,
        body: bytes,
        max_response_bytes: int,
        room: AnswerRoom | None = None,
    ) -> None:
        """Hold a request until a connection is available.

        `room` bounds what its answer and others take while they are received.
        """
        self._room = room or AnswerRoom()
        self._requester = requester
        self.head = head
        self.body = body
        self.result: Deferred[Outcome] = Deferred()
        self.connection: ClientConnection | None = None
        self.timer: IDelayedCall | None = None
        self.seconds = 0.0
        """Time-out, which begins anew when reading is resumed."""
        self._response: ResponseHead | None = None
        path = head.target.partition(b"?")[0].decode("latin-1")
        self._received = BoundedBody(max_response_bytes, ServerKind.STORE, path)
        self.is_finished = False

    def is_response(self, head: ResponseHead) -> bool:
        """Accept each response: a connection has one request in flight."""
        return True

    def head_received(self, head: ResponseHead) -> None:
        """Buffer the head."""
        self._response = head

    def data_received(self, data: bytes) -> None:
        """Buffer a chunk of the body; fail if the body is too long."""
        if self._received.add(data):
            self._room.received(self, len(data))
            return
        if self.connection is not None:
            self.connection.abandon()
        self.finish(Err(NoResponse.TOO_LONG))

    def completed(self) -> None:
        """Succeed with the complete response."""
        assert self._response is not None
        if self.connection is not None:
            self.connection.resume_reading()
            self._requester.release(self.connection)
        self.finish(Ok(CompleteResponse(self._response, self._received.content())))

    def pause(self) -> None:
        """Stop reading: other answers take all the room. It does not time out meanwhile."""
        self._stop_timer()
        if self.connection is not None:
            self.connection.pause_reading()

    def resume(self) -> None:
        """Continue to read."""
        if self.is_finished:
            return
        self._requester.start_timer(self)
        if self.connection is not None:
            self.connection.resume_reading()

    def failed(self, failure: ResponseFailure) -> None:
        """Fail: the request was sent, but there is no complete response."""
        self.finish(Err(NoResponse.BROKEN_OFF))

    def time_out(self) -> None:
        """Fail at the timeout, and close the connection of the request."""
        if self.connection is not None:
            self.connection.abandon()
            self.finish(Err(NoResponse.SENT))
        else:
            self.finish(Err(NoResponse.NOT_SENT))

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome, unless it is already set."""
        if self.is_finished:
            return
        self.is_finished = True
        self._stop_timer()
        self._room.ended(self)
        self.result.callback(outcome)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class Requester:
    """Sends requests to one server."""

    def __init__(
        self,
        reactor: TimedReactor,
        host: str,
        port: int,
        local_address: str = "",
        room: AnswerRoom | None = None,
    ) -> None:
        """Connect on demand, from a local address if one is given.

        `room` bounds what all answers take while they are received.
        """
        self._room = room or AnswerRoom()
        self._reactor = reactor
        self._idle = IdleConnections(reactor, MAX_IDLE)
        self._bind = (local_address, 0) if local_address else None
        self._address = ("", 0)
        self.set_address(host, port)
        self._factory = Factory.forProtocol(ClientConnection)
        self._factory.noisy = False

    def set_address(self, host: str, port: int) -> None:
        """Send the next requests to this address."""
        if (host, port) == self._address:
            return
        self._address = (host, port)
        self._endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, CONNECT_TIMEOUT_SECONDS, self._bind
        )
        self._host = f"{host}:{port}".encode()
        self._idle.close_all()

    def request(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        seconds: float,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> "Deferred[Outcome]":
        """Send a request with a timeout of `seconds`."""
        head = RequestHead(method, target, [(b"Host", self._host)])
        pending = PendingRequest(self, head, body, max_response_bytes, self._room)
        pending.seconds = seconds
        self.start_timer(pending)
        idle = self._idle.take()
        if idle is not None:
            self._send(idle, pending)
        else:
            connecting = self._endpoint.connect(self._factory)
            connecting.addCallbacks(
                self._connected, self._connect_failed, (pending,), {}, (pending,), {}
            )
        return pending.result

    def start_timer(self, pending: PendingRequest) -> None:
        """Start the time-out of a request."""
        pending.timer = self._reactor.callLater(pending.seconds, pending.time_out)

    def _connected(self, connection: ClientConnection, pending: PendingRequest) -> None:
        detect_dead_peer(connection.transport)
        if pending.is_finished:
            self.release(connection)
        else:
            self._send(connection, pending)

    def _connect_failed(self, _failure: Failure, pending: PendingRequest) -> None:
        pending.finish(Err(NoResponse.NOT_SENT))

    def _send(self, connection: ClientConnection, pending: PendingRequest) -> None:
        pending.connection = connection
        connection.send(pending.head, pending.body, pending)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the idle ones."""
        self._idle.keep(connection, IDLE_TIMEOUT_SECONDS)
