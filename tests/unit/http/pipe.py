"""In-memory transports for HTTP connections."""

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from notcharch.http.client import ClientConnection
from notcharch.http.exchange import ServerLimits
from notcharch.http.server_connection import ServerConnection


class TcpTransport(StringTransport):
    """A transport that records written data and how it was closed."""

    is_aborted = False
    sent = b""
    """What the peer has read by `drain`."""

    def setTcpNoDelay(self, enabled) -> None:  # noqa: N802
        self.no_delay = enabled

    def abortConnection(self) -> None:  # noqa: N802
        self.is_aborted = True

    def drain(self) -> None:
        """Let the peer read everything, as Twisted does with a pull producer."""
        while self.value():
            self.sent += self.value()
            self.clear()
            if self.producer is not None:
                self.producer.resumeProducing()

    @property
    def is_closed(self) -> bool:
        return self.is_aborted or self.disconnecting


class Handler:
    """Records the requests of a server connection."""

    def __init__(self) -> None:
        self.exchanges = []
        self.in_flight = 0
        self.closing = False
        self.server_limits = ServerLimits(
            header_bytes=400, body_bytes=100, header_seconds=2.0, idle_seconds=10.0
        )

    def limits(self):
        return self.server_limits

    def is_closing(self):
        return self.closing

    def count(self, change):
        self.in_flight += change

    def handle(self, exchange):
        self.exchanges.append(exchange)


class ServerSide:
    """A server connection and the client end of its transport."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.handler = Handler()
        self.connection = ServerConnection(self.handler, self.clock)
        self.transport = TcpTransport()
        self.connection.makeConnection(self.transport)

    def send(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    def take(self) -> bytes:
        written = self.transport.value()
        self.transport.clear()
        return written

    def client_disconnects(self) -> None:
        self.connection.connectionLost(Failure(ConnectionDone()))


class Listener:
    """Records one response."""

    def __init__(self, name: bytes = b"1") -> None:
        self.name = name
        self.head = None
        self.data = b""
        self.is_complete = False
        self.failure = None

    def is_response(self, head):
        id = head.get(b"id")
        return id is None or id == self.name

    def head_received(self, head):
        self.head = head

    def data_received(self, data):
        self.data += data

    def completed(self):
        self.is_complete = True

    def failed(self, failure):
        self.failure = failure


class ClientSide:
    """A client connection and the server end of its transport."""

    def __init__(self) -> None:
        self.connection = ClientConnection()
        self.transport = TcpTransport()
        self.connection.makeConnection(self.transport)

    def respond(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    def closed(self) -> None:
        self.connection.connectionLost(Failure(ConnectionDone()))

    def reset(self) -> None:
        self.connection.connectionLost(Failure(ConnectionLost()))
