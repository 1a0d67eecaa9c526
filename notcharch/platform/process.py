"""The daemon process on the platform: creates its components and runs them."""

import gc
import os
import sys
import time
from random import Random
from typing import Any

import eliot
from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.error import ReactorNotRunning
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import LoopingCall

from notcharch.accounts.admission import max_body_bytes
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
from notcharch.calls.interface import LoadExchange, NoLoadExchange
from notcharch.calls.planned_stop import PlannedStop
from notcharch.calls.policies import call_urgency, cold_policy, pool_policy, wait_policy
from notcharch.engine_load.exchange import EngineLoadExchange
from notcharch.engine_load.messages import ENGINE_LOAD_MESSAGES
from notcharch.events.calls import CallerNotIdentified, CallServed, EngineChosen
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
from notcharch.http.buffered_bytes import BufferedBytes, total_limit
from notcharch.http.metrics import BUFFERED_BYTES
from notcharch.http.requester import Requester
from notcharch.http.server import ServerFactory
from notcharch.journal.known_daemons import KnownDaemons
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.store_outage import StoreOutage
from notcharch.platform.headers import PlatformDialect
from notcharch.platform.ingress import Ingress
from notcharch.platform.planned_stop import ProcessStop
from notcharch.platform.probes import MetricsHandler, ReadinessHandler
from notcharch.platform.settings import (
    ProcessSettings,
    read_settings,
    read_settings_file,
)
from notcharch.platform.store import PlatformStore
from notcharch.platform.tables import PlatformTables, long_poll_seconds
from notcharch.quarantine.examination import EngineExamination
from notcharch.quarantine.messages import QUARANTINE_MESSAGES
from notcharch.quarantine.service import QuarantineService
from notcharch.scheduling.first_response_times import RouteResponseTimes
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.scheduling.software_versions import SoftwareVersions
from notcharch.settings.mechanisms import (
    Mechanism,
)
from notcharch.settings.settled_file import SettledFile
from notcharch.stream_origins.exchange import StreamOriginExchange
from notcharch.stream_origins.messages import STREAM_ORIGIN_MESSAGES
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.freshness_exchange import TableFreshnessExchange
from notcharch.tenants.interface import Tenant
from notcharch.values.identifiers import DaemonName, Incarnation, Member

LISTEN_BACKLOG = 512
"""Maximum number of pending connections; well above a burst of one second."""
MILLISECONDS_PER_SECOND = 1000
MIN_FRESHNESS_SECONDS = 0.6
"""A daemon whose freshness confirmation expires sooner than this is not ready.

Peers have failed to renew it several times by then. The platform probes readiness
once a second.
"""
STANDARD_OUTPUT = 1
TICK_INTERVAL_SECONDS = 1.0
"""Interval of the checks for pauses and readiness; readiness probes are as frequent."""


def new_incarnation() -> Incarnation:
    """Return a number that is higher for each later process of a machine."""
    return Incarnation(int(time.time() * MILLISECONDS_PER_SECOND))


def _outage(
    settings: ProcessSettings, mechanisms: frozenset[Mechanism]
) -> StoreOutage | None:
    """Return the state of the store's outages, where calls are refused in them.

    Retries that wait in an outage need the recovery signal.
    """
    needed = {Mechanism.OUTAGE_REFUSALS, Mechanism.RECOVERY_SIGNAL}
    if not settings.has_competing_callers or not needed <= mechanisms:
        return None
    return StoreOutage()


class Process:
    """One daemon on the platform."""

    def __init__(
        self,
        settings: ProcessSettings,
        reactor: Any,
        metrics_port: int | None,
        mechanisms: frozenset[Mechanism],
    ) -> None:
        """Create the components; metrics are served on `metrics_port`, if any."""
        self._settings = settings
        self._mechanisms = mechanisms
        self._metrics_port = metrics_port
        self._reactor = reactor
        self._reload = SettledFile(reactor, read_settings_file, self._settings_settled)
        random = Random()
        store = settings.store.address
        self._requester = Requester(reactor, store.host, store.port, settings.host)
        platform_store = self._store = PlatformStore(
            self._requester, reactor, settings.store.log_limits
        )
        local_member = Member(DaemonName(settings.machine), new_incarnation())
        self._network = account_network(
            reactor,
            local_member,
            random,
            other_messages=(
                *ENGINE_LOAD_MESSAGES,
                *STREAM_ORIGIN_MESSAGES,
                *QUARANTINE_MESSAGES,
            ),
        )
        suspicions = SharedSuspicions(
            is_shared=Mechanism.SHARED_SUSPICIONS in mechanisms
        )
        recovery = RecoverySignal(reactor, _outage(settings, mechanisms))
        self._accounts = AccountsService(
            AccountSettings(
                address=f"{settings.host}:{settings.peer_ports[0]}",
                partitions=settings.store.partitions,
                min_lease_seconds=settings.store.min_lease_seconds,
                retention_seconds=settings.store.retention_seconds,
                mechanisms=mechanisms,
                tolerance=settings.tolerance,
                max_body_bytes=max_body_bytes(
                    total_limit(settings.memory_bytes), settings.store.partition_bytes
                ),
                region=settings.regions.get(settings.zone, ""),
                regions=tuple(sorted(set(settings.regions.values()))),
                has_competing_callers=settings.has_competing_callers,
            ),
            platform_store,
            reactor,
            self._network,
            random,
            suspicions=suspicions,
            recovery=recovery,
            tenant=self._tenant,
        )
        known_daemons = KnownDaemons(settings.machine, self._accounts.directory)
        versions = SoftwareVersions(long_poll_seconds(settings.contact_seconds))
        self._origins = StreamOriginExchange(
            reactor,
            self._network,
            versions,
            members=known_daemons.members,
            route_age=lambda route: self._ingress.route_age(route, reactor.seconds()),
            confirm_list=self._confirm_engines,
        )
        pool = EnginePool(
            reactor,
            Nearness(settings.zone, settings.regions),
            random,
            pool_policy(mechanisms, settings.drain_seconds, settings.heartbeat_seconds),
            suspicions,
            eligibility=EngineEligibility(
                settings.regions,
                cold_policy(mechanisms, settings.cold_tolerance),
                known_daemons,
            ),
            versions=versions,
        )
        pool.on_restart = self._origins.engine_restarted
        self._loads = self._load_exchange(pool, known_daemons, random)
        pool.use_exchange(self._loads)
        buffers = BufferedBytes(total_limit(settings.memory_bytes))
        BUFFERED_BYTES.set_function(lambda: buffers.total)
        sender = EngineSender(reactor, settings.host, buffers)
        sender.on_idle_close = pool.may_have_restarted
        self._freshness = TableFreshness(settings.revoke_seconds)
        self._check = CallerCheck(reactor, self._freshness)
        dialect = PlatformDialect()
        self._quarantine = QuarantineService(
            reactor,
            self._network,
            pool,
            EngineExamination(
                reactor,
                sender,
                dialect,
                health_path=self._health_path,
            ),
            random,
            members=known_daemons.members,
        )
        planned_stop = PlannedStop(reactor)
        self._ingress = Ingress(
            CallServices(
                clock=reactor,
                pool=pool,
                sender=sender,
                dialect=dialect,
                admission=self._accounts.admission,
                waits=RouteResponseTimes(wait_policy(mechanisms)),
                urgency=call_urgency(mechanisms),
                answers=BufferedBytes(total_limit(settings.memory_bytes)),
                origins=self._origins,
                quarantine=self._quarantine,
                stop=planned_stop,
            ),
            self._check,
        )
        self._factory = ServerFactory(self._ingress, reactor, buffers)
        self._stop = ProcessStop(
            reactor, settings.machine, planned_stop, self._ingress, self._factory
        )
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
        self._freshness_exchange = TableFreshnessExchange(
            reactor,
            random,
            self._network,
            self._freshness,
            peers=self._accounts.directory.peers,
            request_at_age=self._tables.confirmation_age_seconds,
            table=lambda: self._tables.raw_table,
            activate_table=self._tables.apply_table,
            drained=lambda: self._tables.drained_zones,
            apply_drained=self._tables.apply_peer_drained_zones,
        )
        routine = (CallServed, CallerNotIdentified, EngineChosen, LimitReached)
        self._output = LogOutput(
            STANDARD_OUTPUT,
            reactor,
            frozenset(event.number for event in routine),
        )
        self._ticks = LoopingCall(self._tick)
        self._pause_watch = PauseWatch(reactor, settings.machine, TICK_INTERVAL_SECONDS)
        self._was_ready = False
        self._is_stopping = False
        self._front_port: IListeningPort | None = None

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts new connections."""
        can_serve = self._tables.are_loaded and self._ingress.can_verify_keys(
            MIN_FRESHNESS_SECONDS
        )
        return can_serve and not self._is_stopping

    def start(self) -> None:
        """Start listening and following the store."""
        settings = self._settings
        os.set_blocking(STANDARD_OUTPUT, False)
        eliot.add_destinations(self._output)
        front = settings.front
        self._listen(front.host, front.port, self._factory).addCallback(
            self._set_front_port
        )
        readiness = ServerFactory(ReadinessHandler(self), self._reactor)
        self._listen(settings.readiness.host, settings.readiness.port, readiness)
        if self._metrics_port is not None:
            metrics = ServerFactory(MetricsHandler(), self._reactor)
            self._listen(settings.host, self._metrics_port, metrics)
        self._network.listen(settings.host, settings.peer_ports[0])
        self._accounts.start()
        self._tables.start()
        self._origins.start()
        self._quarantine.start()
        if isinstance(self._loads, EngineLoadExchange):
            self._loads.start()
        if Mechanism.TABLE_VOUCHING in self._mechanisms:
            self._freshness_exchange.start()
        self._ticks.start(TICK_INTERVAL_SECONDS, now=False)
        emit(
            ProcessStarted(
                settings.machine,
                settings.zone,
                settings.front.text(),
                f"{settings.host}:{settings.peer_ports[0]}",
                settings.store.address.text(),
            )
        )

    def _load_exchange(
        self, pool: EnginePool, known_daemons: KnownDaemons, random: Random
    ) -> LoadExchange:
        if Mechanism.SHARED_LOAD not in self._mechanisms:
            return NoLoadExchange()
        return EngineLoadExchange(
            self._reactor,
            random,
            self._network,
            pool,
            members=known_daemons.members,
            engines=lambda: self._tables.engine_services,
        )

    def _confirm_engines(self) -> "Deferred[None]":
        return self._tables.confirm_engines()

    def _health_path(self, service: str) -> str:
        return self._ingress.health_path(service)

    def _tenant(self, name: str) -> Tenant | None:
        return self._ingress.tenant(name)

    def _set_front_port(self, port: IListeningPort | None) -> None:
        self._front_port = port

    def _listen(self, host: str, port: int, factory: ServerFactory) -> Any:
        endpoint = TCP4ServerEndpoint(self._reactor, port, LISTEN_BACKLOG, host)
        listening = endpoint.listen(factory)
        return listening.addErrback(self._on_listen_failed)

    def _on_listen_failed(self, failure: Any) -> None:
        sys.stderr.write(f"cannot listen: {failure.getErrorMessage()}\n")
        self._reactor.stop()

    def _tick(self) -> None:
        """Log pauses, changes of readiness and dropped log lines."""
        self._pause_watch.tick()
        if self.is_ready != self._was_ready:
            self._was_ready = self.is_ready
            emit(
                ReadinessChanged(
                    self._settings.machine, self.is_ready, self._readiness_cause()
                )
            )
        self._check.report_change(self._ingress.can_verify_keys())
        routine, others = self._output.take_dropped()
        if routine or others:
            emit(LinesDropped(routine, others))

    def _readiness_cause(self) -> str:
        """Return the reason why this daemon is ready or not."""
        if self.is_ready:
            return "tables are loaded and fresh"
        return "stopping" if self._is_stopping else "tables are not loaded or not fresh"

    def on_reload_signal(self) -> None:
        """Reload the settings, once their file is no longer being written."""
        self._reload.start()

    def _settings_settled(self, text: Result[str, list[str]]) -> None:
        """Apply a changed address of the store, and its limits for the next owners."""
        loaded = text.and_then(read_settings)
        if isinstance(loaded, Err):
            errors = loaded.err_value
            emit(SettingsRead(self._settings.machine, errors, is_changed=False))
            return
        settings = loaded.ok_value
        is_changed = settings != self._settings
        emit(SettingsRead(settings.machine, [], is_changed))
        self._settings = settings
        address = settings.store.address
        self._requester.set_address(address.host, address.port)
        self._store.limits = settings.store.log_limits

    def on_stop_signal(self) -> None:
        """Start the drain: stop accepting, finish requests in flight, exit."""
        if self._is_stopping:
            return
        self._is_stopping = True
        emit(ProcessStopping(self._settings.machine, self._ingress.in_flight))
        self._accounts.leave()
        self._stop.begin(self._settings.grace_seconds, self._front_port, self._stopped)

    def _stopped(self, requests_in_flight: int, seconds: float) -> None:
        """Log the end of the drain and exit."""
        emit(
            ProcessStopped(
                self._settings.machine, requests_in_flight, round(seconds, 3)
            )
        )
        self._output.flush()
        # The collections at the exit of the interpreter take most of its time.
        self._reactor.addSystemEventTrigger("after", "shutdown", gc.freeze)
        try:
            self._reactor.stop()
        except ReactorNotRunning:
            self._reactor.callWhenRunning(self._reactor.stop)
