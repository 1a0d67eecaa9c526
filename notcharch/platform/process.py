"""The daemon on the platform: wires the product's parts and runs them."""

import signal
import sys
import time
from random import Random
from typing import Any

from result import Err
from twisted.internet import reactor as default_reactor
from twisted.internet.endpoints import TCP4ServerEndpoint

from notcharch.accounts.service import (
    AccountSettings,
    AccountsService,
    account_network,
)
from notcharch.calls.call_life import CallServices
from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.routing import Router
from notcharch.http.requester import Requester
from notcharch.http.server import Exchange, ServerFactory, ServerLimits
from notcharch.journal.keyed_follower import KeyedFollower, Pace
from notcharch.platform.configuration import engine_of, table_of
from notcharch.platform.headers import PlatformEngines
from notcharch.platform.ingress import Ingress
from notcharch.platform.settings import ProcessSettings, load_settings
from notcharch.platform.store import PlatformStore
from notcharch.values.identifiers import DaemonName, Incarnation, Member

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
ENGINES_TOPIC = "keyed.servers"
CONFIGURATION_PACE = Pace(wait_seconds=1.0, pause_seconds=0.05)
ENGINES_PACE = Pace(wait_seconds=1.0, pause_seconds=0.4)

KEEP_LISTENING_SECONDS = 2.6
"""After SIGTERM new connections come until the platform has seen that we leave."""
STOP_CHECK_SECONDS = 0.1
STOP_MARGIN_SECONDS = 0.7
UNREADABLE_SETTINGS = 2


def new_incarnation() -> Incarnation:
    """Give a number that is higher for each later process of a machine."""
    return Incarnation(int(time.time() * 1000))


class Readiness:
    """Answers whether this daemon takes new connections."""

    def __init__(self, process: "Process") -> None:
        """Ask a process."""
        self._process = process

    def limits(self) -> ServerLimits:
        """Give small limits."""
        return ServerLimits()

    def is_closing(self) -> bool:
        """Keep connections."""
        return False

    def count(self, change: int) -> None:
        """Count nothing."""

    def handle(self, exchange: Exchange) -> None:
        """Say 200 when ready, else 503."""
        exchange.answer(200 if self._process.is_ready else 503, [])


class Process:
    """One daemon on the platform."""

    def __init__(self, settings: ProcessSettings, reactor: Any) -> None:
        """Wire the parts."""
        self._settings = settings
        self._reactor = reactor
        random = Random()
        store = settings.store.address
        self._store = PlatformStore(
            Requester(reactor, store.host, store.port, settings.host)
        )
        own = Member(DaemonName(settings.machine), new_incarnation())
        self._network = account_network(reactor, own, random)
        self._accounts = AccountsService(
            AccountSettings(
                address=f"{settings.host}:{settings.peer_ports[0]}",
                partitions=settings.store.partitions,
                least_lease_seconds=settings.store.least_lease_seconds,
            ),
            self._store,
            reactor,
            self._network,
            random,
        )
        self._pool = EnginePool(reactor, settings.zone, random)
        self._sender = EngineSender(reactor, settings.host)
        self._ingress = Ingress(
            CallServices(
                clock=reactor,
                pool=self._pool,
                sender=self._sender,
                dialect=PlatformEngines(),
                admission=self._accounts.admission,
            )
        )
        self._factory = ServerFactory(self._ingress, reactor)
        self._has_engines = False
        self._stop_at: float | None = None
        self._followers = (
            KeyedFollower(
                self._store,
                reactor,
                random,
                CONFIGURATION_TOPIC,
                pace=CONFIGURATION_PACE,
                changed=self._configuration_changed,
            ),
            KeyedFollower(
                self._store,
                reactor,
                random,
                ENGINES_TOPIC,
                pace=ENGINES_PACE,
                changed=self._engines_changed,
            ),
        )

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        is_equipped = self._ingress.router is not None and self._has_engines
        return is_equipped and self._stop_at is None

    def start(self) -> None:
        """Listen and follow the store."""
        settings = self._settings
        self._listen(settings.front.host, settings.front.port, self._factory)
        readiness = ServerFactory(Readiness(self), self._reactor)
        self._listen(settings.readiness.host, settings.readiness.port, readiness)
        self._network.listen(settings.host, settings.peer_ports[0])
        self._accounts.start()
        for follower in self._followers:
            follower.start()

    def _listen(self, host: str, port: int, factory: ServerFactory) -> None:
        endpoint = TCP4ServerEndpoint(self._reactor, port, 512, host)
        listening = endpoint.listen(factory)
        listening.addErrback(self._cannot_listen)

    def _cannot_listen(self, failure: Any) -> None:
        sys.stderr.write(f"cannot listen: {failure.getErrorMessage()}\n")
        self._reactor.stop()

    def _configuration_changed(self, values: dict[str, bytes]) -> None:
        value = values.get(CONFIGURATION_KEY)
        if value is None:
            return
        table = table_of(value)
        current = self._ingress.router
        if current is None or table.version > current.table.version:
            self._ingress.router = Router(table)

    def _engines_changed(self, values: dict[str, bytes]) -> None:
        engines = [engine_of(id, value) for id, value in values.items()]
        for gone in self._pool.replace(engines):
            self._sender.forget(gone)
        self._has_engines = True

    def stop_signalled(self) -> None:
        """Drain: take no new connections soon, finish what is under way, end."""
        if self._stop_at is not None:
            return
        now = self._reactor.seconds()
        self._stop_at = now + self._settings.grace_seconds - STOP_MARGIN_SECONDS
        self._ingress.is_draining = True
        self._accounts.leave()
        self._reactor.callLater(KEEP_LISTENING_SECONDS, self._try_stop)

    def _try_stop(self) -> None:
        assert self._stop_at is not None
        self._factory.close_idle()
        is_late = self._reactor.seconds() >= self._stop_at
        if self._ingress.in_flight == 0 or is_late:
            self._reactor.stop()
            return
        self._reactor.callLater(STOP_CHECK_SECONDS, self._try_stop)


def main() -> int:
    """Run a daemon until it is told to stop."""
    loaded = load_settings()
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            sys.stderr.write(f"{finding}\n")
        return UNREADABLE_SETTINGS
    reactor: Any = default_reactor
    # Twisted's own clock is the time of day, which may jump.
    reactor.seconds = time.monotonic
    process = Process(loaded.ok_value, reactor)

    def on_stop(*_: Any) -> None:
        reactor.callFromThread(process.stop_signalled)

    def running() -> None:
        signal.signal(signal.SIGTERM, on_stop)
        signal.signal(signal.SIGHUP, lambda *_: None)

    reactor.callWhenRunning(process.start)
    reactor.callWhenRunning(running)
    reactor.run(installSignalHandlers=True)
    return 0
