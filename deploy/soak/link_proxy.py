"""A TCP proxy on loopback whose faults are ordered: delay, silence, reset, refusal."""

import enum
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IListeningPort, ITCPTransport
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from deploy.soak.settings import HOST

CONNECT_SECONDS = 2.0


class LinkFault(enum.Enum):
    """What a link suffers from."""

    NONE = "none"
    DELAY = "delay"
    """Every byte comes later."""
    SILENT = "silent"
    """Drops all data without closing the connection."""
    SILENT_BACK = "silent back"
    """Only what the server says is lost."""
    REFUSE = "refuse"
    """New connections are closed at once."""


DELAY_SECONDS = 0.15


class Side(Protocol):
    """One end of a proxied connection."""

    transport: ITCPTransport

    def __init__(self, link: "LinkProxy", *, is_server: bool) -> None:
        """Belong to a link."""
        self._link = link
        self._is_server = is_server
        self.other: Side | None = None
        self._early: list[bytes] = []
        self.is_lost = False

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Watch the connection."""
        self._link.sides.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Pass bytes on as the link's fault has it."""
        fault = self._link.fault
        if fault is LinkFault.SILENT:
            return
        if fault is LinkFault.SILENT_BACK and self._is_server:
            return
        if fault is LinkFault.DELAY:
            self._link.later(DELAY_SECONDS, self._pass, data)
        else:
            self._pass(data)

    def _pass(self, data: bytes) -> None:
        if self.other is None:
            self._early.append(data)
        elif not self.other.is_lost:
            self.other.transport.write(data)

    def joined(self, other: "Side") -> None:
        """Send on what came before there was another end."""
        self.other = other
        for data in self._early:
            self._pass(data)
        self._early = []

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the other end in the same way, unless the link is silent."""
        self.is_lost = True
        self._link.sides.discard(self)
        fault = self._link.fault
        is_clean = reason.check(ConnectionDone) is not None
        if fault is LinkFault.DELAY:
            self._link.later(DELAY_SECONDS, self._end_other, is_clean)
        elif fault not in (LinkFault.SILENT, LinkFault.SILENT_BACK):
            self._end_other(is_clean)

    def _end_other(self, is_clean: bool) -> None:
        if self.other is None or self.other.is_lost:
            return
        if is_clean:
            self.other.transport.loseConnection()
        else:
            self.other.transport.abortConnection()

    def reset(self) -> None:
        """Cut the connection."""
        if not self.is_lost:
            self.transport.abortConnection()

    def close(self) -> None:
        """Close the connection as the kernel does when its process ends."""
        if not self.is_lost:
            self.transport.loseConnection()


class LinkProxy:
    """Listens at a port of its own for one server."""

    def __init__(self, reactor: Any, server_port: int) -> None:
        """Listen; connect to the server for each connection."""
        self._reactor = reactor
        self._server = TCP4ClientEndpoint(reactor, HOST, server_port, CONNECT_SECONDS)
        self.fault = LinkFault.NONE
        self.is_server_down = False
        """Whether no process listens at the server's port."""
        self.sides: set[Side] = set()
        self._listening: IListeningPort = reactor.listenTCP(
            0, NearSides(self), interface=HOST
        )

    @property
    def port(self) -> int:
        """Where the proxy listens."""
        address: Any = self._listening.getHost()
        return int(address.port)

    def later(self, seconds: float, call: Any, *arguments: Any) -> None:
        """Call later."""
        self._reactor.callLater(seconds, call, *arguments)

    def accept(self) -> Side | None:
        """Take a new connection, and connect to the server for it."""
        if self.fault is LinkFault.REFUSE or self.is_server_down:
            return None
        near = Side(self, is_server=False)
        factory = Factory.forProtocol(lambda: Side(self, is_server=True))
        factory.noisy = False
        connecting = self._server.connect(factory)

        def connected(far: Side) -> None:
            far.joined(near)
            near.joined(far)

        connecting.addCallbacks(connected, lambda _: near.reset())
        return near

    def reset_all(self) -> None:
        """Cut every connection."""
        for side in tuple(self.sides):
            side.reset()

    def close_all(self) -> None:
        """Close every connection without a reset."""
        for side in tuple(self.sides):
            side.close()


class NearSides(Factory):
    """Makes the near end of each connection to a link."""

    noisy = False

    def __init__(self, link: LinkProxy) -> None:
        """Serve one link."""
        self._link = link

    def buildProtocol(self, addr: object) -> Side | None:  # noqa: N802 - Twisted's name
        """Take a connection, or close it at once."""
        return self._link.accept()
