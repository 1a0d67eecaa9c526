"""Runs a daemon on real sockets: listening, readiness, drain and shutdown."""

import random
from collections.abc import Callable
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry
from twisted.internet.defer import Deferred, DeferredList, maybeDeferred, succeed
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

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
from notcharch.daemon.http_tree import Branch, build_tree
from notcharch.daemon.life import LifeCore, LifeState, new_life
from notcharch.daemon.listeners import PeerSockets
from notcharch.daemon.partition_descriptions import describe_partitions
from notcharch.daemon.ports import DaemonPorts
from notcharch.events.daemon import DaemonStarted, DaemonSuperseded
from notcharch.events.event import emit
from notcharch.gateway.http_site import LimitedSite
from notcharch.http.listener import ListenAddress, Listener, TcpPortOpener
from notcharch.settings.schema import Settings
from notcharch.values.identifiers import ZoneName

CONNECT_TIMEOUT_SECONDS = 2.0
LISTEN_BACKLOG = 1024
READY_CHECK_INTERVAL_SECONDS = 0.05


class DaemonAddresses(msgspec.Struct, frozen=True):
    """The `host:port` addresses at which a daemon listens."""

    http: str
    peer: str


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
        self._started: Deferred[DaemonAddresses] = Deferred()
        self._is_core_started = False
        self._connections = Connections(reactor, CONNECT_TIMEOUT_SECONDS)
        section = settings.daemon
        self._peer_sockets = PeerSockets(reactor, self._clock, section)
        self._peers = self._listener(
            "peers", section.peer_port, self._peer_sockets, self._on_peers_open
        )
        self._site: LimitedSite | None = None
        self._http: Listener | None = None
        self._http_port: TcpPortOpener | None = None

    def start(self) -> "Deferred[DaemonAddresses]":
        """Listen and start every service; ports that are held are waited for.

        Fires when all run, or fails after all is closed again. It doesn't fire if the
        daemon is stopped first.
        """
        if not self._is_stopping:
            self._peers.start()
        return self._started

    def _listener(
        self,
        purpose: str,
        port: int,
        opener: PeerSockets | TcpPortOpener,
        on_open: Callable[[], None],
    ) -> Listener:
        host = self._settings.daemon.host
        return Listener(
            self._clock,
            random.Random(),
            ListenAddress(purpose, host, (port,)),
            opener,
            on_open=on_open,
            on_error=self._on_start_failed,
        )

    def _on_peers_open(self) -> None:
        core = DaemonCore(self._settings, self._ports(), self._registry)
        self.core = core
        core.membership.on_superseded(self._on_superseded)
        self._drain = Drain(
            core,
            self._lifecycle,
            self._clock,
            self._stop_listening,
            self._close_connections,
        )
        tree = self._http_tree(core)
        site = self._site = LimitedSite(tree, self._settings.gateway, self._reactor)
        self._http_port = TcpPortOpener(self._reactor, site, LISTEN_BACKLOG)
        self._http = self._listener(
            "http", self._settings.daemon.http_port, self._http_port, self._on_http_open
        )
        self._http.start()

    def _on_http_open(self) -> None:
        assert self.core is not None
        self._is_core_started = True
        self.core.start()
        self._check_ready()
        addresses = self._addresses()
        self._report_start(addresses)
        self._started.callback(addresses)

    def _addresses(self) -> DaemonAddresses:
        assert self._http_port is not None
        port: Any = self._http_port.port
        host = self._settings.daemon.host
        return DaemonAddresses(
            f"{host}:{port.getHost().port}", f"{host}:{self._peer_sockets.port}"
        )

    def _on_start_failed(self, failure: Failure) -> None:
        self.kill().addBoth(lambda _: self._started.errback(failure))

    def state(self) -> LifeState:
        """Return the state of the daemon's lifecycle."""
        return self._lifecycle.current_state()

    def stop(self) -> "Deferred[None]":
        """Drain, hand over and close; fires when all sockets are closed."""
        if self._is_stopping:
            return self.when_stopped()
        self._is_stopping = True
        if self._is_core_started:
            drained = Deferred.fromCoroutine(self._drain.run())
            drained.addBoth(lambda _: self._close())
        else:
            self._lifecycle.begin_drain()
            self._lifecycle.finish()
            self._close()
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

    def _ports(self) -> DaemonPorts:
        sockets = self._peer_sockets
        assert sockets.network is not None
        platform = self._settings.platform
        chance = random.Random()
        agent = self._connections.agent
        return DaemonPorts(
            clock=self._clock,
            chance=chance,
            network=sockets.network,
            datagrams=sockets.datagrams,
            peer_address=f"{self._settings.daemon.host}:{sockets.port}",
            engines=EngineClient(agent, self._clock, chance, platform),
            log=LogClient(agent, self._clock, platform),
            journal=JournalClient(agent, self._clock, platform),
            machine_list=MachineListClient(agent, self._clock, platform),
        )

    def _http_tree(self, core: DaemonCore) -> Branch:
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
        return build_tree(
            core.gateway.resource(),
            admin.resource(),
            MetricsResource(self._registry),
        )

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
        return succeed(None) if self._http is None else self._http.stop()

    def _close_connections(self) -> "Deferred[None]":
        return succeed(None) if self._site is None else self._site.close_connections()

    def _close(self) -> "Deferred[Any]":
        closing = [self._peers.stop(), self._stop_listening()]
        if self.core is not None and self._is_core_started:
            # A core that was started in part may fail to stop.
            closing.append(maybeDeferred(self.core.stop))
        closing.append(maybeDeferred(self._connections.close))
        closed = DeferredList(closing, consumeErrors=True)
        closed.addBoth(lambda _: self._notify_stopped())
        return closed

    def _notify_stopped(self) -> None:
        if not self._stopped.called:
            self._stopped.callback(None)


def _notify_waiter(result: Any, waiter: "Deferred[None]") -> Any:
    waiter.callback(None)
    return result
