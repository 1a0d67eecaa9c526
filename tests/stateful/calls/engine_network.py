"""Engines behind in-memory connections of the real HTTP client."""

import re

import attrs
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectError, ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from tests.unit.http.pipe import TcpTransport

REQUEST_ID = re.compile(rb"x-notcharch-request-id: (\S+)", re.IGNORECASE)


@attrs.define(eq=False)
class Received:
    """A request that an engine received whole."""

    call: str
    connection: "EngineConnection"
    is_rejected: bool = False
    """The engine said that it did not run the call, so it never will."""


class SocketOptions:
    """Accepts the options of a socket."""

    def setsockopt(self, *_) -> None:
        pass


class EngineConnection(TcpTransport):
    """A connection to an engine; `current` is the request to respond to."""

    def __init__(self, network: "EngineNetwork", protocol) -> None:
        super().__init__()
        self._network = network
        self._protocol = protocol
        self.current: Received | None = None
        protocol.makeConnection(self)

    def getHandle(self):  # noqa: N802
        return SocketOptions()

    def write(self, data: bytes) -> None:
        call = REQUEST_ID.search(data).group(1).decode()
        self.current = Received(call, self)
        self._network.received.append(self.current)

    def respond(self, data: bytes) -> None:
        self._protocol.dataReceived(data)

    def end(self, *, is_clean: bool) -> None:
        reason = ConnectionDone() if is_clean else ConnectionLost()
        self.is_aborted = True
        self._protocol.connectionLost(Failure(reason))


class EngineNetwork(Clock):
    """A reactor whose connections are accepted, or fail, when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.connecting = []
        """Factories of the connections that are being opened."""
        self.received: list[Received] = []
        """All requests that reached an engine."""

    def connectTCP(self, _host, _port, factory, **_):  # noqa: N802
        self.connecting.append(factory)

    def accept(self, factory) -> None:
        self.connecting.remove(factory)
        protocol = factory.buildProtocol(IPv4Address("TCP", "10.0.0.1", 80))
        EngineConnection(self, protocol)

    def fail(self, factory) -> None:
        self.connecting.remove(factory)
        factory.clientConnectionFailed(None, Failure(ConnectError()))

    def open_requests(self) -> list[Received]:
        """Return the requests whose responses the client still awaits."""
        return [
            received
            for received in self.received
            if received.connection.current is received
            and not received.connection.is_closed
        ]
