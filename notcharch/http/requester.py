"""Whole requests to one server over kept connections, each with a time limit."""

from enum import Enum

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from notcharch.http.client import ClientConnection, ResponseFailure
from notcharch.http.idle_connections import IdleConnections
from notcharch.http.messages import RequestHead, ResponseHead
from notcharch.http.reactor import TimedReactor
from notcharch.http.sockets import detect_dead_peer

CONNECT_TIMEOUT_SECONDS = 1.0
"""A connection that the server's machine doesn't answer for so long won't be made: its
packets are sent again after a second."""
IDLE_TIMEOUT_SECONDS = 10.0
"""An idle connection is used for so long; held reads keep most of them busy."""
MAX_IDLE = 16
"""Idle connections kept: more than calls are under way at a time on a calm day."""


class CompleteResponse(msgspec.Struct, frozen=True):
    """A response that came whole."""

    head: ResponseHead
    body: bytes


class NoResponse(Enum):
    """Why there is no answer."""

    NOT_SENT = "not sent"
    SENT = "sent, and no whole answer came"


Outcome = Result[CompleteResponse, NoResponse]


class PendingRequest:
    """One request on its way."""

    def __init__(self, requester: "Requester", head: RequestHead, body: bytes) -> None:
        """Keep what is to be sent."""
        self._requester = requester
        self.head = head
        self.body = body
        self.result: Deferred[Outcome] = Deferred()
        self.connection: ClientConnection | None = None
        self.timer: IDelayedCall | None = None
        self._response: ResponseHead | None = None
        self._chunks: list[bytes] = []
        self.is_finished = False

    def is_response(self, head: ResponseHead) -> bool:
        """Each answer is to the request under way."""
        return True

    def head_received(self, head: ResponseHead) -> None:
        """Keep the head."""
        self._response = head

    def data_received(self, data: bytes) -> None:
        """Keep a piece."""
        self._chunks.append(data)

    def completed(self) -> None:
        """Give the whole answer."""
        assert self._response is not None
        if self.connection is not None:
            self._requester.release(self.connection)
        self.finish(Ok(CompleteResponse(self._response, b"".join(self._chunks))))

    def failed(self, failure: ResponseFailure) -> None:
        """Say that it was sent and not answered."""
        self.finish(Err(NoResponse.SENT))

    def time_out(self) -> None:
        """Give the request up: its connection says nothing any more."""
        if self.connection is not None:
            self.connection.abandon()
            self.finish(Err(NoResponse.SENT))
        else:
            self.finish(Err(NoResponse.NOT_SENT))

    def finish(self, outcome: Outcome) -> None:
        """Give the outcome, once."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.result.callback(outcome)


class Requester:
    """Sends whole requests to one server."""

    def __init__(
        self, reactor: TimedReactor, host: str, port: int, local_address: str = ""
    ) -> None:
        """Connect when needed, from a machine's own address."""
        self._reactor = reactor
        self._idle = IdleConnections(reactor, MAX_IDLE)
        self._bind = (local_address, 0) if local_address else None
        self._address = ("", 0)
        self.set_address(host, port)
        self._factory = Factory.forProtocol(ClientConnection)
        self._factory.noisy = False

    def set_address(self, host: str, port: int) -> None:
        """Speak to a server at this address from now on."""
        if (host, port) == self._address:
            return
        self._address = (host, port)
        self._endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, CONNECT_TIMEOUT_SECONDS, self._bind
        )
        self._host = f"{host}:{port}".encode()
        self._idle.close_all()

    def request(
        self, method: bytes, target: bytes, body: bytes, seconds: float
    ) -> "Deferred[Outcome]":
        """Send a request; the result is there after `seconds` at the latest."""
        pending = PendingRequest(
            self, RequestHead(method, target, [(b"Host", self._host)]), body
        )
        pending.timer = self._reactor.callLater(seconds, pending.time_out)
        idle = self._idle.take()
        if idle is not None:
            self._send(idle, pending)
        else:
            connecting = self._endpoint.connect(self._factory)
            connecting.addCallbacks(
                self._connected, self._connect_failed, (pending,), {}, (pending,), {}
            )
        return pending.result

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
        """Keep a connection for the next request."""
        self._idle.keep(connection, IDLE_TIMEOUT_SECONDS)
