"""The daemon on the platform: wires the product's parts and runs them."""

import os
import sys
import time
from random import Random
from typing import Any

import eliot
from result import Err
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import LoopingCall

from notcharch.accounts.service import (
    AccountSettings,
    AccountsService,
    account_network,
)
from notcharch.calls.caller_check import CallerCheck
from notcharch.calls.eligibility import EngineEligibility
from notcharch.calls.engine_run import CallServices
from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.policies import cold_policy, pool_policy, wait_policy
from notcharch.events.calls import CallerNotIdentified, CallServed
from notcharch.events.event import emit
from notcharch.events.output import LogOutput
from notcharch.events.pause_watch import PauseWatch
from notcharch.events.process import (
    LinesDropped,
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
    ReadinessChanged,
    SettingsRead,
)
from notcharch.events.tenants import LimitReached
from notcharch.http.drain import Drain, DrainTimes
from notcharch.http.requester import Requester
from notcharch.http.server import ServerFactory
from notcharch.journal.known_daemons import KnownDaemons
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.platform.headers import PlatformEngines
from notcharch.platform.ingress import Ingress
from notcharch.platform.probes import MetricsHandler, ReadinessHandler
from notcharch.platform.settings import ProcessSettings, load_settings
from notcharch.platform.store import PlatformStore
from notcharch.platform.tables import PlatformTables
from notcharch.scheduling.answer_waits import RouteWaits
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.settings.mechanisms import (
    Mechanism,
)
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.interface import Tenant
from notcharch.tenants.vouching import TableVouching
from notcharch.values.identifiers import DaemonName, Incarnation, Member

KEEP_LISTENING_SECONDS = 2.6
"""After SIGTERM new connections come until the platform has seen that we leave."""
KEEP_LISTENING_SHARE = 0.45
"""... but for no more than so much of the time that a stop may take."""
STOP_MARGIN_SECONDS = 0.7
"""Kept free at the end of the time that a stop may take, for the last lines and the exit.
Chosen, not measured."""
BACKLOG = 512
"""New connections that may wait to be accepted: a burst of a second at a daemon that
serves one in some hundred callers is far below it."""
MILLISECONDS = 1000
READY_SECONDS = 0.6
"""A daemon whose proof for its keys ends sooner takes no new connections: the platform
asks each second, and peers had three tries to renew the proof before."""
STANDARD_OUTPUT = 1
TICK_SECONDS = 1.0
"""Between two looks at pauses and readiness; the platform asks as often."""


def new_incarnation() -> Incarnation:
    """Give a number that is higher for each later process of a machine."""
    return Incarnation(int(time.time() * MILLISECONDS))


class Process:
    """One daemon on the platform."""

    def __init__(
        self,
        settings: ProcessSettings,
        reactor: Any,
        metrics_port: int | None,
        mechanisms: frozenset[Mechanism],
    ) -> None:
        """Wire the parts; figures are shown at `metrics_port`, if any."""
        self._settings = settings
        self._mechanisms = mechanisms
        self._metrics_port = metrics_port
        self._reactor = reactor
        random = Random()
        store = settings.store.address
        self._requester = Requester(reactor, store.host, store.port, settings.host)
        platform_store = PlatformStore(self._requester, reactor)
        own = Member(DaemonName(settings.machine), new_incarnation())
        self._network = account_network(reactor, own, random)
        suspicions = SharedSuspicions(
            is_shared=Mechanism.SHARED_SUSPICIONS in mechanisms
        )
        recovery = RecoverySignal(reactor)
        self._accounts = AccountsService(
            AccountSettings(
                address=f"{settings.host}:{settings.peer_ports[0]}",
                partitions=settings.store.partitions,
                min_lease_seconds=settings.store.least_lease_seconds,
                retention_seconds=settings.store.retention_seconds,
                mechanisms=mechanisms,
                tolerance=settings.tolerance,
                region=settings.regions.get(settings.zone, ""),
                regions=tuple(sorted(set(settings.regions.values()))),
            ),
            platform_store,
            reactor,
            self._network,
            random,
            suspicions=suspicions,
            recovery=recovery,
            tenant=self._tenant,
        )
        pool = EnginePool(
            reactor,
            Nearness(settings.zone, settings.regions),
            random,
            pool_policy(mechanisms, settings.drain_seconds, settings.entry_seconds),
            suspicions,
            eligibility=EngineEligibility(
                settings.regions,
                cold_policy(mechanisms, settings.cold_tolerance),
                KnownDaemons(settings.machine, self._accounts.directory),
            ),
        )
        sender = EngineSender(reactor, settings.host)
        self._freshness = TableFreshness(settings.revoke_seconds)
        self._check = CallerCheck(reactor, self._freshness)
        self._ingress = Ingress(
            CallServices(
                clock=reactor,
                pool=pool,
                sender=sender,
                dialect=PlatformEngines(),
                admission=self._accounts.admission,
                waits=RouteWaits(wait_policy(mechanisms)),
            ),
            self._check,
        )
        self._factory = ServerFactory(self._ingress, reactor)
        self._tables = PlatformTables(
            platform_store,
            reactor,
            random,
            self._ingress,
            pool,
            sender=sender,
            contact_seconds=settings.contact_seconds,
            recovery=recovery,
            freshness=self._freshness,
            revoke_seconds=settings.revoke_seconds,
            daemons=lambda: len(self._accounts.directory.peers()),
            use_regions=self._accounts.use_regions,
        )
        self._vouching = TableVouching(
            reactor,
            random,
            self._network,
            self._freshness,
            peers=self._accounts.directory.peers,
            ask_at_age=self._tables.own_proof_seconds,
            table=lambda: self._tables.table_text,
            take=self._tables.take_table,
            drained=lambda: self._tables.drained,
            take_drained=self._tables.peer_told_drained,
        )
        routine = (CallServed, CallerNotIdentified, LimitReached)
        self._output = LogOutput(
            STANDARD_OUTPUT,
            reactor,
            frozenset(event.number for event in routine),
        )
        self._ticks = LoopingCall(self._tick)
        self._pauses = PauseWatch(reactor, settings.machine, TICK_SECONDS)
        self._was_ready = False
        self._is_stopping = False
        self._front_port: IListeningPort | None = None

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        is_able = self._tables.are_known and self._ingress.judges_keys(READY_SECONDS)
        return is_able and not self._is_stopping

    def start(self) -> None:
        """Listen and follow the store."""
        settings = self._settings
        os.set_blocking(STANDARD_OUTPUT, False)
        eliot.add_destinations(self._output)
        front = settings.front
        self._listen(front.host, front.port, self._factory).addCallback(self._listens)
        readiness = ServerFactory(ReadinessHandler(self), self._reactor)
        self._listen(settings.readiness.host, settings.readiness.port, readiness)
        if self._metrics_port is not None:
            metrics = ServerFactory(MetricsHandler(), self._reactor)
            self._listen(settings.host, self._metrics_port, metrics)
        self._network.listen(settings.host, settings.peer_ports[0])
        self._accounts.start()
        self._tables.start()
        if Mechanism.TABLE_VOUCHING in self._mechanisms:
            self._vouching.start()
        self._ticks.start(TICK_SECONDS, now=False)
        emit(
            ProcessStarted(
                settings.machine,
                settings.zone,
                settings.front.text(),
                f"{settings.host}:{settings.peer_ports[0]}",
                settings.store.address.text(),
            )
        )

    def _tenant(self, name: str) -> Tenant | None:
        return self._ingress.tenant(name)

    def _listens(self, port: IListeningPort | None) -> None:
        self._front_port = port

    def _listen(self, host: str, port: int, factory: ServerFactory) -> Any:
        endpoint = TCP4ServerEndpoint(self._reactor, port, BACKLOG, host)
        listening = endpoint.listen(factory)
        return listening.addErrback(self._cannot_listen)

    def _cannot_listen(self, failure: Any) -> None:
        sys.stderr.write(f"cannot listen: {failure.getErrorMessage()}\n")
        self._reactor.stop()

    def _tick(self) -> None:
        """Tell of pauses, of our readiness, and which lines were left out."""
        self._pauses.tick()
        if self.is_ready != self._was_ready:
            self._was_ready = self.is_ready
            emit(ReadinessChanged(self._settings.machine, self.is_ready, self._cause()))
        self._check.report_change(self._ingress.judges_keys())
        routine, others = self._output.take_dropped()
        if routine or others:
            emit(LinesDropped(routine, others))

    def _cause(self) -> str:
        """Say why this daemon is ready, or is not."""
        if self.is_ready:
            return "the tables are known"
        return "stopping" if self._is_stopping else "the newest keys are not known"

    def settings_signalled(self) -> None:
        """Read the settings again; the store's address may be another one."""
        loaded = load_settings()
        if isinstance(loaded, Err):
            findings = loaded.err_value
            emit(SettingsRead(self._settings.machine, findings, is_changed=False))
            return
        settings = loaded.ok_value
        is_changed = settings != self._settings
        emit(SettingsRead(settings.machine, [], is_changed))
        self._settings = settings
        address = settings.store.address
        self._requester.set_address(address.host, address.port)

    def stop_signalled(self) -> None:
        """Drain: take no new connections soon, finish what is under way, end."""
        if self._is_stopping:
            return
        self._is_stopping = True
        emit(ProcessStopping(self._settings.machine, self._ingress.in_flight))
        self._ingress.is_draining = True
        self._accounts.leave()
        grace = self._settings.grace_seconds
        times = DrainTimes(
            accept_seconds=min(KEEP_LISTENING_SECONDS, grace * KEEP_LISTENING_SHARE),
            max_seconds=grace - STOP_MARGIN_SECONDS,
        )
        Drain(self._reactor, self, times).begin()

    # What the drain asks for

    def requests_in_flight(self) -> int:
        """Give how many requests are being read or answered."""
        return self._ingress.in_flight

    def stop_accepting(self) -> None:
        """Close the callers' port."""
        if self._front_port is not None:
            self._front_port.stopListening()

    def close_idle(self) -> None:
        """Close callers' connections on which nothing is under way."""
        self._factory.close_idle()

    def stopped(self, requests_in_flight: int, seconds: float) -> None:
        """End the process."""
        emit(
            ProcessStopped(
                self._settings.machine, requests_in_flight, round(seconds, 3)
            )
        )
        self._output.flush()
        self._reactor.stop()
