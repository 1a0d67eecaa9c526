"""Runs a daemon on real sockets: listening, readiness, drain and shutdown."""

import random
from typing import Any

import attrs
import msgspec
from prometheus_client import CollectorRegistry
from twisted.internet.defer import Deferred, DeferredList, maybeDeferred, succeed
from twisted.internet.error import CannotListenError
from twisted.internet.task import deferLater

from notcharch.admin.daemon_handlers import DaemonActivity, DaemonHandlers
from notcharch.admin.metrics import MetricsResource, TableCollector
from notcharch.admin.resource import AdminResource
from notcharch.clients.connections import Connections
from notcharch.clients.engine_client import EngineClient
from notcharch.clients.journal_client import JournalClient
from notcharch.clients.log_client import LogClient
from notcharch.clients.machine_list_client import MachineListClient
from notcharch.daemon.clock import SteadyClock
from notcharch.daemon.core import DaemonCore
from notcharch.daemon.drain import Drain
from notcharch.daemon.http_tree import build_tree
from notcharch.daemon.life import LifeCore, LifeState, new_life
from notcharch.daemon.partition_descriptions import describe_partitions
from notcharch.daemon.ports import DaemonPorts
from notcharch.events.daemon import DaemonStarted, DaemonSuperseded
from notcharch.events.event import emit
from notcharch.gateway.http_site import LimitedSite
from notcharch.settings.schema import Settings
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    RegionName,
    ZoneName,
)
from notcharch.wire.codec import default_codec
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.datagrams import UdpDatagramPort

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_LISTEN_ATTEMPTS = 20
LISTEN_BACKLOG = 1024
MILLISECONDS_PER_SECOND = 1000
READY_CHECK_INTERVAL_SECONDS = 0.05


class DaemonAddresses(msgspec.Struct, frozen=True):
    """The `host:port` addresses at which a daemon listens."""

    http: str
    peer: str


@attrs.define
class _Sockets:
    """The sockets and connections to close when the daemon stops."""

    network: TcpPeerNetwork
    datagrams: UdpDatagramPort
    connections: Connections
    http_port: Any = None


class DaemonProcess:
    """A daemon in this process; several daemons may share a reactor."""

    def __init__(self, reactor: Any, settings: Settings) -> None:
        """Prepare a daemon; sockets are opened by `start`."""
        self._reactor = reactor
        self._settings = settings
        self._clock = SteadyClock(reactor)
        self._lifecycle = new_life(LifeCore())
        self._registry = CollectorRegistry()
        self._stopped: Deferred[None] = Deferred()
        self._is_stopping = False
        self.core: DaemonCore | None = None
        self._sockets: _Sockets | None = None
        self._site: LimitedSite | None = None

    def start(self) -> DaemonAddresses:
        """Listen and start every service; raises CannotListenError."""
        network, datagrams, peer_port = self._listen_for_peers()
        host = self._settings.daemon.host
        peer_address = f"{host}:{peer_port}"
        connections = Connections(self._reactor, CONNECT_TIMEOUT_SECONDS)
        self._sockets = _Sockets(network, datagrams, connections)
        core = DaemonCore(
            self._settings,
            self._ports(network, datagrams, connections, peer_address),
            self._registry,
        )
        self.core = core
        core.membership.on_superseded(self._on_superseded)
        self._drain = Drain(
            core,
            self._lifecycle,
            self._clock,
            self._stop_listening,
            self._close_connections,
        )
        http_address = self._serve_http(core)
        core.start()
        self._check_ready()
        addresses = DaemonAddresses(http_address, peer_address)
        self._report_start(addresses)
        return addresses

    def state(self) -> LifeState:
        """Return the state of the daemon's lifecycle."""
        return self._lifecycle.current_state()

    def stop(self) -> "Deferred[None]":
        """Drain, hand over and close; fires when all sockets are closed."""
        if not self._is_stopping:
            self._is_stopping = True
            drained = Deferred.fromCoroutine(self._drain.run())
            drained.addBoth(lambda _: self._close())
        return self.when_stopped()

    def when_stopped(self) -> "Deferred[None]":
        """Return a Deferred that fires when the daemon has stopped for any reason."""
        waiter: Deferred[None] = Deferred()
        self._stopped.addBoth(_notify_waiter, waiter)
        return waiter

    def kill(self) -> "Deferred[Any]":
        """Close all sockets immediately without handover, as in a crash."""
        self._is_stopping = True
        return self._close()

    def _listen_for_peers(self) -> tuple[TcpPeerNetwork, UdpDatagramPort, int]:
        """Bind TCP and UDP to the same port; retry if a random port is taken for UDP."""
        section = self._settings.daemon
        member = Member(
            DaemonName(section.name),
            Incarnation(int(self._clock.seconds() * MILLISECONDS_PER_SECOND)),
        )
        attempts = MAX_LISTEN_ATTEMPTS if section.peer_port == 0 else 1
        for remaining_attempts in reversed(range(attempts)):
            network = TcpPeerNetwork(
                self._reactor,
                self._clock,
                own=member,
                region=RegionName(section.region),
                codec=default_codec(),
                random=random.Random(),
            )
            port = network.listen(section.host, section.peer_port)
            datagrams = UdpDatagramPort()
            try:
                datagrams.listen(self._reactor, section.host, port)
            except CannotListenError:
                network.stop()
                if remaining_attempts == 0:
                    raise
            else:
                return network, datagrams, port
        raise AssertionError("unreachable: the last attempt returns or raises")

    def _ports(
        self,
        network: TcpPeerNetwork,
        datagrams: UdpDatagramPort,
        connections: Connections,
        peer_address: str,
    ) -> DaemonPorts:
        platform = self._settings.platform
        chance = random.Random()
        agent = connections.agent
        return DaemonPorts(
            clock=self._clock,
            chance=chance,
            network=network,
            datagrams=datagrams,
            peer_address=peer_address,
            engines=EngineClient(agent, self._clock, chance, platform),
            log=LogClient(agent, self._clock, platform),
            journal=JournalClient(agent, self._clock, platform),
            machine_list=MachineListClient(agent, self._clock, platform),
        )

    def _serve_http(self, core: DaemonCore) -> str:
        section = self._settings.daemon
        self._register_handlers(core)
        admin = AdminResource(
            clock=self._clock,
            network=core.ports.network,
            membership=core.membership,
            router=core.router,
            engines=core.directory,
            replica=core.table,
            publisher=core.publisher,
            operator_keys=self._settings.operators.keys,
        )
        self._registry.register(TableCollector(core.table))
        tree = build_tree(
            core.gateway.resource(),
            admin.resource(),
            MetricsResource(self._registry),
        )
        site = self._site = LimitedSite(tree, self._settings.gateway, self._reactor)
        assert self._sockets is not None
        port = self._reactor.listenTCP(
            section.http_port, site, LISTEN_BACKLOG, section.host
        )
        self._sockets.http_port = port
        return f"{section.host}:{port.getHost().port}"

    def _register_handlers(self, core: DaemonCore) -> None:
        DaemonHandlers(
            clock=self._clock,
            network=core.ports.network,
            zone=ZoneName(self._settings.daemon.zone),
            replica=core.table,
            activity=lambda: DaemonActivity(
                self.state().value, core.gateway.running_calls
            ),
            partitions=lambda: describe_partitions(core.partitions, core.state_access),
            drain=self._on_operator_drain,
        )

    def _on_operator_drain(self, drain: bool) -> None:
        if drain:
            self._drain.begin()
        else:
            self._drain.cancel()

    def _on_superseded(self) -> None:
        assert self.core is not None
        member = self.core.own_member
        emit(DaemonSuperseded(member.daemon, member.incarnation))
        self.stop()

    def _check_ready(self) -> None:
        core = self.core
        if core is None or self._lifecycle.current_state() is not LifeState.STARTING:
            return
        if core.is_ready:
            self._lifecycle.become_ready()
            return
        deferLater(self._reactor, READY_CHECK_INTERVAL_SECONDS, self._check_ready)

    def _report_start(self, addresses: DaemonAddresses) -> None:
        assert self.core is not None
        member = self.core.own_member
        emit(
            DaemonStarted(
                member.daemon,
                member.incarnation,
                self._settings.daemon.zone,
                addresses.http,
                addresses.peer,
            )
        )

    def _stop_listening(self) -> "Deferred[None]":
        """Stop accepting callers' connections; open connections are kept."""
        port = None if self._sockets is None else self._sockets.http_port
        return succeed(None) if port is None else maybeDeferred(port.stopListening)

    def _close_connections(self) -> "Deferred[None]":
        return succeed(None) if self._site is None else self._site.close_connections()

    def _close(self) -> "Deferred[Any]":
        if self.core is not None:
            self.core.stop()
        sockets = self._sockets
        closing: list[Deferred[Any]] = []
        if sockets is not None:
            if sockets.http_port is not None:
                closing.append(maybeDeferred(sockets.http_port.stopListening))
            closing.append(maybeDeferred(sockets.network.stop))
            closing.append(maybeDeferred(sockets.datagrams.close))
            closing.append(maybeDeferred(sockets.connections.close))
        closed = DeferredList(closing, consumeErrors=True)
        closed.addBoth(lambda _: self._notify_stopped())
        return closed

    def _notify_stopped(self) -> None:
        if not self._stopped.called:
            self._stopped.callback(None)


def _notify_waiter(result: Any, waiter: "Deferred[None]") -> Any:
    waiter.callback(None)
    return result
