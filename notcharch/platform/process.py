"""The daemon process on the platform: its ports, its components and its life."""

import gc
import sys
import time
from functools import partial
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ReactorNotRunning
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.output import LogOutput
from notcharch.events.pause_watch import PauseWatch
from notcharch.events.process import (
    LinesDropped,
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
    ReadinessChanged,
    RetentionTooShort,
    SettingsNeedRestart,
    SettingsRead,
    StartFailed,
)
from notcharch.events.steady_loop import steady_loop
from notcharch.events.stop_steps import isolated
from notcharch.http.requester import Requester
from notcharch.http.server import ServerFactory
from notcharch.journal.planned_leave import LeaveTerms
from notcharch.platform.awaited_settings import AwaitedSettings
from notcharch.platform.components import Components, Surroundings
from notcharch.platform.life import BEFORE_PORTS, ENDED, LifeState
from notcharch.platform.listeners import ProcessListeners
from notcharch.platform.log_output import standard_output
from notcharch.platform.planned_stop import MAX_LEAVE_SECONDS
from notcharch.platform.probes import MetricsHandler, Readiness, ReadinessHandler
from notcharch.platform.process_memory import ProcessMemory
from notcharch.platform.reload import applied, needing_restart
from notcharch.platform.reported_life import ReportedLife
from notcharch.platform.settings import (
    ProcessSettings,
    read_settings_file,
    retention_warnings,
)
from notcharch.platform.store import PlatformStore
from notcharch.settings.mechanisms import (
    Mechanism,
)
from notcharch.values.identifiers import Incarnation

FAILED_STATUS = 1
"""Exit status after a defect."""
MILLISECONDS_PER_SECOND = 1000
TICK_INTERVAL_SECONDS = 1.0
"""Interval of the checks for pauses and readiness; readiness probes are as frequent."""


def new_incarnation() -> Incarnation:
    """Return a number that is higher for each later process of a machine."""
    return Incarnation(int(time.time() * MILLISECONDS_PER_SECOND))


class Process:
    """One daemon on the platform."""

    def __init__(
        self,
        settings: ProcessSettings,
        reactor: Any,
        metrics_port: int | None,
        mechanisms: frozenset[Mechanism],
        output: LogOutput | None = None,
    ) -> None:
        """Prepare a daemon with metrics on `metrics_port`, if any; `start` runs it.

        `output` is where log lines go, as far as it is known: its dropped lines are
        counted, and it is flushed at the end.
        """
        self._settings = self._start_settings = settings
        self._mechanisms = mechanisms
        self._metrics_port = metrics_port
        self._reactor = reactor
        self._random = Random()
        self._reload = AwaitedSettings(
            reactor, read_settings_file, self._settings_invalid, self._settings_settled
        )
        store = settings.store.address
        self._memory = ProcessMemory(settings)
        self._requester = Requester(
            reactor,
            store.host,
            store.port,
            settings.host,
            self._memory.store_answers,
        )
        self._store = PlatformStore(self._requester, reactor, settings.store.log_limits)
        self._output = output or standard_output(reactor)
        self._life = ReportedLife(reactor, settings.machine)
        self._listeners = ProcessListeners(
            reactor,
            self._random,
            settings,
            incarnation=new_incarnation(),
            on_error=self._fail,
            peer_memory=self._memory.peers,
        )
        self._ticks = steady_loop(reactor, "process", self._tick)
        self._pause_watch = PauseWatch(reactor, settings.machine, TICK_INTERVAL_SECONDS)
        self._was_ready = False
        self._is_stopping = False
        self._components: Components | None = None
        self.exit_status = 0
        """The status with which the process ends when the reactor has stopped."""

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts new connections."""
        return self._observe() is LifeState.SERVING

    def readiness(self) -> Readiness:
        """Return the state, and what is missing until callers are served."""
        return Readiness(self._observe().value, self._waiting_for())

    def start(self) -> None:
        """Open the ports; the components start when the peers' port is open."""
        if self._life.state is not LifeState.WAITING_FOR_SETTINGS:
            return  # a stop signal came first
        try:
            self._begin()
        except Exception:
            self._fail(Failure())

    def _begin(self) -> None:
        self._life.settings_read(self._listeners.missing())
        self._ticks.start(TICK_INTERVAL_SECONDS, now=False)
        readiness = ServerFactory(ReadinessHandler(self), self._reactor)
        self._listeners.open_readiness(readiness, self._on_port_open)
        if self._metrics_port is not None:
            metrics = ServerFactory(MetricsHandler(), self._reactor)
            self._listeners.open_metrics(metrics, self._metrics_port)
        self._listeners.open_peers(self._on_peers_port_open)

    def _on_peers_port_open(self) -> None:
        """Create and start the components, which peers reach at the port's address."""
        peers = self._listeners.peers_port
        assert peers.network is not None
        components = Components(
            Surroundings(
                settings=self._start_settings,
                mechanisms=self._mechanisms,
                reactor=self._reactor,
                random=self._random,
                store=self._store,
                network=peers.network,
                peers_address=peers.address,
                memory=self._memory,
            )
        )
        self._components = components
        components.start()
        self._listeners.open_front(components.factory, self._on_port_open)
        self._on_port_open()

    def _on_port_open(self) -> None:
        if not self._listeners.missing() and self._life.state in BEFORE_PORTS:
            self._report_start()
        self._observe()

    def _report_start(self) -> None:
        settings = self._start_settings
        emit(
            ProcessStarted(
                settings.machine,
                settings.zone,
                settings.front.text(),
                self._listeners.peers_port.address,
                settings.store.address.text(),
            )
        )
        warnings = retention_warnings(settings)
        if warnings:
            emit(RetentionTooShort(settings.machine, warnings))

    def _observe(self) -> LifeState:
        """Update the state from what is missing, and return it."""
        components = self._components
        has_tables = components is not None and components.can_serve
        self._life.observe(self._listeners.missing(), has_tables=has_tables)
        return self._life.state

    def _waiting_for(self) -> list[str]:
        if self._life.state is LifeState.OPENING_PORTS:
            return self._listeners.missing()
        return ["tables"] if self._life.state is LifeState.LOADING else []

    def _fail(self, failure: Failure) -> None:
        """End the process with a status that tells a defect."""
        if self._life.state in ENDED:
            return
        self.exit_status = FAILED_STATUS
        machine, error = self._settings.machine, failure.getErrorMessage()
        try:
            emit(StartFailed(machine, error, failure.getTraceback()))
            self._life.fail()
            sys.stderr.write(f"{machine}: the start failed: {error}\n")
            self._close()
        finally:
            self._reactor.stop()

    def _close(self) -> None:
        """Close all ports and write the last log lines."""
        self._listeners.stop()
        if self._ticks.running:
            self._ticks.stop()
        self._output.flush()

    def _tick(self) -> None:
        """Log pauses, changes of readiness and dropped log lines."""
        self._pause_watch.tick()
        self._memory.tick(self._reactor.seconds())
        if self.is_ready != self._was_ready:
            self._was_ready = self.is_ready
            emit(
                ReadinessChanged(
                    self._settings.machine, self.is_ready, self._readiness_cause()
                )
            )
        if self._components is not None:
            self._components.report_changes()
        routine, others = self._output.take_dropped()
        if routine or others:
            emit(LinesDropped(routine, others))

    def _readiness_cause(self) -> str:
        """Return the reason why this daemon is ready or not."""
        if self.is_ready:
            return "tables are loaded and fresh"
        if self._life.state is LifeState.OPENING_PORTS:
            return "ports are not open"
        return "stopping" if self._is_stopping else "tables are not loaded or not fresh"

    def _begin_stop(self) -> bool:
        """Record the stop; return whether there are callers to be served before it.

        Before its ports were open, the platform sent no callers to this process.
        """
        former = self._life.state
        self._life.begin_drain()
        self._listeners.stop_waiting()
        components = self._components
        in_flight = 0 if components is None else components.ingress.in_flight
        if former not in BEFORE_PORTS or in_flight:
            return former not in ENDED
        emit(ProcessStopping(self._settings.machine, 0))
        self._listeners.close_front()
        left = self._leave_group()
        left.addBoth(lambda _: self._end_early())
        self._reactor.callLater(MAX_LEAVE_SECONDS, self._end_early)
        return False

    def _end_early(self) -> None:
        if self._life.state in ENDED:
            return
        self._life.finish()
        emit(ProcessStopped(self._settings.machine, 0, 0.0))
        self._close()
        self._stop_reactor()

    def _stop_reactor(self) -> None:
        """Stop the reactor, or have it stop at its start."""
        try:
            self._reactor.stop()
        except ReactorNotRunning:
            self._reactor.callWhenRunning(self._reactor.stop)

    def on_reload_signal(self) -> None:
        """Reload the settings, once their file is valid and no longer being written."""
        if not self._is_stopping:
            self._reload.start()

    def _settings_invalid(self, findings: list[str], _attempts: int) -> None:
        emit(SettingsRead(self._settings.machine, findings, is_changed=False))

    def _settings_settled(self, settings: ProcessSettings) -> None:
        """Apply a changed address of the store, and its limits for the next owners."""
        if self._is_stopping:
            return
        emit(SettingsRead(settings.machine, [], settings != self._settings))
        kept = needing_restart(self._settings, settings)
        if kept:
            emit(SettingsNeedRestart(self._settings.machine, kept))
        self._settings = applied(self._settings, settings)
        store = self._settings.store
        self._requester.set_address(store.address.host, store.address.port)
        self._store.limits = store.log_limits

    def on_stop_signal(self) -> None:
        """Start the drain: stop accepting, finish requests in flight, exit."""
        if self._is_stopping:
            return
        self._is_stopping = True
        if not self._begin_stop():
            return
        components = self._components
        assert components is not None
        emit(ProcessStopping(self._settings.machine, components.ingress.in_flight))
        components.stop.begin(
            self._settings.grace_seconds,
            self._listeners.front_port,
            self._stopped,
            self._leave_group,
        )

    def _leave_group(self, terms: LeaveTerms | None = None) -> "Deferred[Any]":
        """Release all partitions, at once unless `terms` tell that calls need them.

        A defect there must not keep the process.
        """
        components = self._components
        if components is None:
            return succeed(None)
        left: Deferred[Any] = Deferred()
        if not isolated(
            "leave the group",
            lambda: components.accounts.leave(terms).chainDeferred(left),
        ):
            left.callback(None)
        return left

    def _stopped(self, requests_in_flight: int, seconds: float) -> None:
        """Log the end of the drain and exit."""
        isolated("log the end", partial(self._log_stopped, requests_in_flight, seconds))
        isolated("write the last lines", self._output.flush)
        # The collections at the exit of the interpreter take most of its time.
        self._reactor.addSystemEventTrigger("after", "shutdown", gc.freeze)
        self._stop_reactor()

    def _log_stopped(self, requests_in_flight: int, seconds: float) -> None:
        self._life.finish()
        emit(
            ProcessStopped(
                self._settings.machine, requests_in_flight, round(seconds, 3)
            )
        )
