"""A listening port that can go down: refused connections, not slow errors."""

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IListeningPort, IReactorTCP, IReactorTime
from twisted.protocols.policies import WrappingFactory
from twisted.web.resource import IResource
from twisted.web.server import Site

from emulator.faults import TransportFaults

LISTEN_AGAIN_SECONDS = 0.2


class ListenerReactor(IReactorTime, IReactorTCP):
    """What a listener needs of a reactor."""


class HttpListener:
    """Serves a resource on a port, which stays the same over downtimes."""

    def __init__(
        self, reactor: ListenerReactor, host: str, port: int, resource: IResource
    ) -> None:
        """Serve on an IP number and port, 0 for any free one."""
        self._reactor = reactor
        self._host = host
        self._factory: Any = WrappingFactory(Site(resource))
        self._port: IListeningPort | None = None
        self._port_number = port
        self._is_stopped = False

    def listen(self) -> str:
        """Begin to serve; gives `host:port`. Raises CannotListenError."""
        self._open()
        return f"{self._host}:{self._port_number}"

    def follow(self, faults: TransportFaults) -> None:
        """Refuse connections while `faults` is down."""
        faults.on_down = lambda: self._follow(faults)

    def stop(self) -> "Deferred[None]":
        """Close the port and all connections."""
        self._is_stopped = True
        return self._close()

    def _open(self) -> None:
        self._port = self._reactor.listenTCP(
            self._port_number, self._factory, interface=self._host
        )
        own_address = self._port.getHost()
        if isinstance(own_address, IPv4Address):
            self._port_number = own_address.port

    def _follow(self, faults: TransportFaults) -> None:
        if self._is_stopped:
            return
        if not faults.down:
            self._open_again()
            return
        self._close()
        seconds = faults.down_seconds
        if seconds is not None:
            self._reactor.callLater(seconds, self._follow, faults)

    def _open_again(self) -> None:
        if self._port is not None or self._is_stopped:
            return
        try:
            self._open()
        except CannotListenError:
            self._reactor.callLater(LISTEN_AGAIN_SECONDS, self._open_again)

    def _close(self) -> "Deferred[None]":
        port, self._port = self._port, None
        for connection in tuple(self._factory.protocols):
            connection.abortConnection()
        if port is None:
            return succeed(None)
        return maybeDeferred(_stop, port)


async def _stop(port: IListeningPort) -> None:
    stopping = port.stopListening()
    if stopping is not None:
        await stopping
