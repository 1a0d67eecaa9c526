"""The listening ports of a daemon's process: peers, callers, probes and metrics."""

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, succeed
from twisted.internet.interfaces import IListeningPort
from twisted.python.failure import Failure

from notcharch.accounts.service import account_network
from notcharch.engine_load.messages import ENGINE_LOAD_MESSAGES
from notcharch.http.listener import ListenAddress, Listener, PortOpener, TcpPortOpener
from notcharch.http.server import ServerFactory
from notcharch.platform.settings import Address, ProcessSettings
from notcharch.quarantine.messages import QUARANTINE_MESSAGES
from notcharch.stream_origins.messages import STREAM_ORIGIN_MESSAGES
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.peer_memory import PeerMemory

LISTEN_BACKLOG = 512
"""Maximum number of pending connections; well above a burst of one second."""
MAX_METRICS_DELAY_SECONDS = 5.0
"""The daemon does without metrics, so their port is tried less often."""


def daemon_name(machine: str, port: int, first_port: int) -> DaemonName:
    """Return the name of the daemon that listens for peers on `port`.

    A former process of the machine that still drains holds the first port under the
    machine's name. Its successor listens on another port and needs a name of its own:
    peers have one connection to each name, and each of the two has to be reached.
    """
    return DaemonName(machine if port == first_port else f"{machine}:{port}")


class PeersPortOpener:
    """Opens the peers' port; each port has a network under the port's daemon name."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        settings: ProcessSettings,
        incarnation: Incarnation,
        memory: PeerMemory | None = None,
    ) -> None:
        """Prepare a network of the daemons that own accounts; `memory` bounds it."""
        self._memory = memory
        self._reactor = reactor
        self._random = random
        self._machine = settings.machine
        self._first_port = settings.peer_ports[0]
        self._incarnation = incarnation
        self.network: TcpPeerNetwork | None = None
        self.address = ""
        """`host:port` at which peers reach this process; empty before it is open."""

    def open(self, host: str, port: int) -> None:
        """Listen at once."""
        name = daemon_name(self._machine, port, self._first_port)
        network = account_network(
            self._reactor,
            Member(name, self._incarnation),
            self._random,
            other_messages=(
                *ENGINE_LOAD_MESSAGES,
                *STREAM_ORIGIN_MESSAGES,
                *QUARANTINE_MESSAGES,
            ),
            memory=self._memory,
        )
        network.listen(host, port)
        self.network = network
        self.address = f"{host}:{port}"

    def close(self) -> "Deferred[Any]":
        """Stop listening and close all connections to peers."""
        network, self.network = self.network, None
        return succeed(None) if network is None else network.stop()


class ProcessListeners:
    """Opens the ports of one process and tells which are missing."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        settings: ProcessSettings,
        *,
        incarnation: Incarnation,
        on_error: Callable[[Failure], None],
        peer_memory: PeerMemory | None = None,
    ) -> None:
        """Prepare the ports; an exception that is no failure to listen is `on_error`'s.

        `peer_memory` bounds what all connections with peers hold.
        """
        self._reactor = reactor
        self._random = random
        self._settings = settings
        self._on_error = on_error
        self._listeners: list[Listener] = []
        self._needed = {
            "peers": self._peers_address(),
            "front": _fixed_address("front", settings.front),
            "readiness": _fixed_address("readiness", settings.readiness),
        }
        self._open: set[str] = set()
        self._is_stopped = False
        self._front: TcpPortOpener | None = None
        self.peers_port = PeersPortOpener(
            reactor, random, settings, incarnation, peer_memory
        )

    def missing(self) -> list[str]:
        """Return the ports that are not open, of those that callers' service needs."""
        return [
            f"{purpose} port {address.text()}"
            for purpose, address in self._needed.items()
            if purpose not in self._open
        ]

    def open_peers(self, on_open: Callable[[], None]) -> None:
        """Listen for peers on the first free port of the range."""
        self._start(self._needed["peers"], self.peers_port, on_open)

    def open_front(self, factory: ServerFactory, on_open: Callable[[], None]) -> None:
        """Listen for callers."""
        self._front = TcpPortOpener(self._reactor, factory, LISTEN_BACKLOG)
        self._start(self._needed["front"], self._front, on_open)

    @property
    def front_port(self) -> IListeningPort | None:
        """The callers' port, if it is open."""
        return None if self._front is None else self._front.port

    def close_front(self) -> None:
        """Accept no more callers; open connections are kept."""
        if self._front is not None:
            self._front.close()

    def open_readiness(
        self, factory: ServerFactory, on_open: Callable[[], None]
    ) -> None:
        """Listen for the platform's probes."""
        opener = TcpPortOpener(self._reactor, factory, LISTEN_BACKLOG)
        self._start(self._needed["readiness"], opener, on_open)

    def open_metrics(self, factory: ServerFactory, port: int) -> None:
        """Listen for scrapes; nothing waits for it."""
        address = ListenAddress(
            "metrics", self._settings.host, (port,), MAX_METRICS_DELAY_SECONDS
        )
        opener = TcpPortOpener(self._reactor, factory, LISTEN_BACKLOG)
        self._start(address, opener, lambda: None)

    def stop_waiting(self) -> None:
        """Give up the ports that are not open; open ones stay open."""
        self._is_stopped = True
        for listener in self._listeners:
            if not listener.is_open:
                listener.stop()

    def stop(self) -> "Deferred[Any]":
        """Give up what is waited for, and close what is open."""
        self._is_stopped = True
        stopping = [listener.stop() for listener in self._listeners]
        return DeferredList(stopping, consumeErrors=True)

    def _start(
        self,
        address: ListenAddress,
        opener: PortOpener,
        on_open: Callable[[], None],
    ) -> None:
        if self._is_stopped:
            return

        def opened() -> None:
            self._open.add(address.purpose)
            on_open()

        listener = Listener(
            self._reactor,
            self._random,
            address,
            opener,
            on_open=opened,
            on_error=self._on_error,
        )
        self._listeners.append(listener)
        listener.start()

    def _peers_address(self) -> ListenAddress:
        first, last = self._settings.peer_ports
        return ListenAddress(
            "peers", self._settings.host, tuple(range(first, last + 1))
        )


def _fixed_address(purpose: str, address: Address) -> ListenAddress:
    return ListenAddress(purpose, address.host, (address.port,))
