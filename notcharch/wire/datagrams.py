"""Datagrams by IP number: the port that membership sends its probes through."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IReactorUDP
from twisted.internet.protocol import DatagramProtocol

MAX_DATAGRAM_BYTES = 8192
"""The largest datagram that is read; senders stay far below."""

DatagramListener = Callable[[bytes, str], None]
"""Takes a payload and the sender's `host:port`."""


class DatagramPort(Protocol):
    """Sends and receives datagrams; any of them may be lost."""

    def send(self, address: str, payload: bytes) -> None:
        """Send a payload to `host:port`."""

    def on_datagram(self, listener: DatagramListener) -> None:
        """Give every payload that arrives to `listener`."""


class UdpDatagramPort(DatagramProtocol):
    """Datagrams over UDP, on the number of the daemon's peer port."""

    def __init__(self) -> None:
        """Begin without a listener and without a socket."""
        self._listener: DatagramListener | None = None
        self._port: Any = None

    def listen(self, reactor: IReactorUDP, host: str, port: int) -> int:
        """Bind the socket; gives the bound port number."""
        self._port = reactor.listenUDP(port, self, host, MAX_DATAGRAM_BYTES)
        number: int = self._port.getHost().port
        return number

    def close(self) -> Any:
        """Close the socket; gives twisted's Deferred or None."""
        return self._port.stopListening() if self._port is not None else None

    def send(self, address: str, payload: bytes) -> None:
        """Send a payload; an error of the socket is like a loss."""
        if self.transport is None:
            return
        host, _, port = address.rpartition(":")
        try:
            self.transport.write(payload, (host, int(port)))
        except (OSError, ValueError):
            return

    def on_datagram(self, listener: DatagramListener) -> None:
        """Give every payload that arrives to `listener`."""
        self._listener = listener

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Pass a payload on."""
        if self._listener is not None:
            self._listener(datagram, f"{addr[0]}:{addr[1]}")

    def connectionRefused(self) -> None:  # noqa: N802
        """Ignore: a probe without an answer says the same."""
