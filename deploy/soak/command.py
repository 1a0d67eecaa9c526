"""Runs one soak: faults for a while, calm, then the verdict."""

import argparse
import os
import sys
import tempfile
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

import msgspec
from twisted.internet import reactor as default_reactor

from deploy.soak.bursts import Bursts
from deploy.soak.callers import Callers
from deploy.soak.configuration import Operator
from deploy.soak.daemons import MEMORY_MEGABYTES, SoakDaemon
from deploy.soak.ends import EndKind, ProcessEnd
from deploy.soak.engine_server import SoakEngine
from deploy.soak.fault_targets import FaultTargets
from deploy.soak.faults import Faults
from deploy.soak.large_turns import LargeTurns
from deploy.soak.link_proxy import LinkProxy
from deploy.soak.observations import Violation
from deploy.soak.oracle import Oracle
from deploy.soak.persistent_callers import PersistentCallers
from deploy.soak.ports import LOW_PORTS, USUAL_PORTS, free_ports
from deploy.soak.processor_waits import ProcessorWaits, read_waited
from deploy.soak.readiness import Readiness
from deploy.soak.refusal_checks import false_budget_refusals, false_refusals
from deploy.soak.report import SoakReport
from deploy.soak.settings import (
    HOST,
    LOG_RETENTIONS,
    MODELS,
    PARTITIONS,
    SLOW,
    TOOLS,
    SoakSize,
)
from deploy.soak.store_server import StoreServer
from deploy.soak.tenants import Tenants
from notcharch.http.server import ServerFactory

START_SECONDS = 4.0
LEAST_PAUSE_SECONDS = 0.3
MOST_PAUSE_SECONDS = 2.5
WATCH_SECONDS = 0.1
LAST_ANSWERS_SECONDS = 5.0
USUAL_PORTS_SHARE = 0.5
"""Of the runs whose daemons get ports of the kernel's range of outgoing connections."""
SHARED_RANGE_SHARE = 0.5
"""Of the runs whose daemons have one range of ports for their peers, as on one machine."""
PROCESSES_OF_A_DAEMON = 2
"""One may drain while the next one starts."""
WAITS_FILE = "processor_waits.txt"
DONE, BROKEN = 0, 1


class Soak:
    """One soak in a folder of its own."""

    def __init__(self, reactor: Any, size: SoakSize, seed: int, folder: Path) -> None:
        """Build everything; nothing is asked before `start`."""
        self._reactor = reactor
        self._size = size
        self._folder = folder
        self._seed = seed
        self._random = Random(seed)
        self._tenants = Tenants(Random(seed + 2))
        self.oracle = Oracle(self._tenants)
        self._log_retention = draw_log_retention(seed)
        store = self._store = StoreServer(
            reactor, Random(seed), PARTITIONS, self._log_retention
        )
        port = reactor.listenTCP(0, ServerFactory(store, reactor), interface=HOST)
        self._operator = Operator(store, self._tenants)
        self._has_usual_ports = draw_usual_ports(seed)
        ports = USUAL_PORTS if self._has_usual_ports else LOW_PORTS
        peers: list[int] | None = None
        if draw_shared_range(seed):
            peers = free_ports(PROCESSES_OF_A_DAEMON * size.daemons, ports)
        self._daemons = [
            SoakDaemon(
                f"d{n}",
                folder,
                LinkProxy(reactor, port.getHost().port),
                ports,
                peers=peers,
                log_retention=self._log_retention,
            )
            for n in range(size.daemons)
        ]
        services = [MODELS] * size.engines + [TOOLS] * size.tools
        services += [SLOW] * size.slow
        engines = [
            SoakEngine(reactor, self._random, self.oracle, store, service, number=n)
            for n, service in enumerate(services)
        ]
        self._readiness = Readiness(reactor, self._daemons, self._common_causes)
        self._callers = Callers(
            reactor,
            Random(seed + 1),
            self.oracle,
            self._readiness.ready,
            tenants=self._tenants,
            large=LargeTurns(Random(seed + 3)),
        )
        self._persistent = PersistentCallers(
            reactor,
            Random(seed + 5),
            self.oracle,
            self._readiness.ready,
            self._tenants,
        )
        self._bursts = Bursts(
            reactor,
            Random(seed + 7),
            self._callers,
            self._readiness.ready,
            self._tenants,
        )
        self.faults = Faults(
            FaultTargets(
                reactor,
                self._random,
                self._daemons,
                engines[: size.engines + size.tools],
                store,
                self._operator.publish,
                self._exchange_key,
                self._operator,
                self.oracle.drains,
                self.oracle.deadly.outages,
                size.is_planned_only,
            )
        )
        self._is_over = False
        self._watched_at = self._longest_pause = 0.0
        self._waits = ProcessorWaits()
        self._ends_at = 0.0
        self._calm_at = 0.0

    def _common_causes(self) -> list[str]:
        return self.faults.store.causes()

    def _exchange_key(self) -> str:
        """Publish a change of keys; the store acknowledges it at once."""
        name = self._tenants.exchange(self._reactor.seconds())
        self._operator.publish()
        return name

    def start(self) -> None:
        """Start the daemons, then callers and faults."""
        for daemon in self._daemons:
            daemon.start()
        self._readiness.start()
        self._watch()
        self._reactor.callLater(START_SECONDS, self._begin)

    def _begin(self) -> None:
        self._ends_at = self._reactor.seconds() + self._size.seconds
        self._callers.start(self._size.programs)
        self._persistent.start(self._size.persistent)
        self._bursts.start()
        self._callers.sends_deadly = not self._size.is_planned_only
        self._next_fault()

    def _watch(self) -> None:
        """Start again what ended by itself, as the platform does."""
        now = self._reactor.seconds()
        late = now - self._watched_at - WATCH_SECONDS if self._watched_at else 0.0
        self._longest_pause = max(self._longest_pause, late)
        self._watched_at = now
        self._sample_processor_waits(now)
        for daemon in self._daemons:
            daemon.look()
            for end in daemon.take_new_ends():
                self._note_end(daemon, end)
        self._readiness.observe()
        if not self._is_over:
            self._reactor.callLater(WATCH_SECONDS, self._watch)

    def _sample_processor_waits(self, now: float) -> None:
        pids = {daemon.name: daemon.process_id for daemon in self._daemons}
        for name, pid in (pids | {"soak": os.getpid()}).items():
            if pid:
                self._waits.sample(name, pid, read_waited(pid), now)

    def _note_end(self, daemon: SoakDaemon, end: ProcessEnd) -> None:
        if end.kind is not EndKind.ASKED:
            self.faults.note(
                f"{end.daemon} ended, {end.kind.value}, status {end.status}, "
                f"{end.lived_ms} ms after its start"
            )
            daemon.start()

    def _next_fault(self) -> None:
        if self._reactor.seconds() >= self._ends_at:
            self.faults.end()
            self._bursts.stop()
            self._callers.sends_deadly = False
            self._reactor.callLater(self._size.calm_seconds / 2, self._recovered)
            return
        self.faults.strike()
        pause = self._random.uniform(LEAST_PAUSE_SECONDS, MOST_PAUSE_SECONDS)
        self._reactor.callLater(pause, self._next_fault)

    def _recovered(self) -> None:
        # Their last calls take up to 7 s.
        self._persistent.is_running = False
        self._calm_at = self._reactor.seconds()
        self._reactor.callLater(self._size.calm_seconds / 2, self._finish)

    def _finish(self) -> None:
        if not self._readiness.is_settled:
            self._reactor.callLater(WATCH_SECONDS, self._finish)
            return
        self._callers.is_running = False
        self._reactor.callLater(LAST_ANSWERS_SECONDS, self._end)

    def _end(self) -> None:
        if self._persistent.are_waiting:
            self._reactor.callLater(WATCH_SECONDS, self._end)
            return
        self._is_over = True
        self._reactor.stop()

    def stop(self) -> None:
        """End the daemons that were started here."""
        for daemon in self._daemons:
            daemon.kill_all()
        (self._folder / WAITS_FILE).write_text(self._waits.text())

    def _in_contact(self) -> list[Violation]:
        """Check what daemons promise only while nothing but planned work goes on."""
        if not self._size.is_planned_only:
            return []
        oracle = self.oracle
        return (
            oracle.cut(self._reactor.seconds())
            + oracle.in_drained_zones()
            + oracle.at_leaving_engines()
            + false_budget_refusals(oracle.asked.values(), oracle.runs, oracle.lengths)
        )

    def _false_refusals(self) -> list[Violation]:
        return false_refusals(
            self.oracle.asked.values(),
            self._tenants,
            in_contact=self._size.is_planned_only,
        )

    def report(self) -> SoakReport:
        """Check all observations."""
        served, asked = self.oracle.served_since(self._calm_at)
        all_served, _ = self.oracle.served_since(0.0)
        went_on, resumed = self.oracle.resumed()
        ends = [end for daemon in self._daemons for end in daemon.ends]
        return SoakReport(
            seed=self._seed,
            requests=len(self.oracle.asked),
            served=all_served,
            runs=sum(len(runs) for runs in self.oracle.runs.values()),
            faults=len(self.faults.steps),
            calm_served=served,
            calm_requests=asked,
            calm_doubted=self.oracle.doubted_since(self._calm_at),
            calm_unserved=self.oracle.unserved_since(self._calm_at),
            own_ends=[end for end in ends if end.kind is EndKind.OWN],
            ended_before_program_ms=[
                end.reloaded_before_program_ms or 0
                for end in ends
                if end.kind is EndKind.BEFORE_PROGRAM
            ],
            has_usual_ports=self._has_usual_ports,
            has_shared_range=draw_shared_range(self._seed),
            log_retention_seconds=self._log_retention,
            slowest_ready_seconds=round(self._readiness.slowest, 2),
            processor_waits=self._waits.totals(),
            longest_pause_seconds=round(self._longest_pause, 2),
            peak_megabytes={d.name: d.peak_megabytes for d in self._daemons},
            resumed=resumed,
            went_on=went_on,
            ended_under=self.oracle.deadly.counts,
            burst_answers=dict(self._bursts.answers),
            violations=(
                self.oracle.violations()
                + self._in_contact()
                + self._readiness.violations()
                + self._false_refusals()
                + self._refused_appends()
                + self._bursts.violations()
                + self._faults_of_daemons()
            ),
        )

    def _faults_of_daemons(self) -> list[Violation]:
        """Give what the daemons' logs and memory show to be wrong."""
        found: list[Violation] = []
        for daemon in self._daemons:
            if daemon.peak_megabytes > MEMORY_MEGABYTES:
                found.append(Violation("MEMORY", "", f"{daemon.peak_megabytes} MB"))
            found += [Violation("STOP", daemon.name, what) for what in daemon.overruns]
            exceptions = daemon.logged_exceptions()
            if exceptions:
                found.append(
                    Violation("EXCEPTION", daemon.name, f"{exceptions} logged")
                )
        return found

    def _refused_appends(self) -> list[Violation]:
        """Give the appends that were larger than what the settings say."""
        return [
            Violation("STORE", "", f"an append of {size} bytes")
            for size in self._store.log.refused_bytes
        ]


def draw_usual_ports(seed: int) -> bool:
    """Draw whether the daemons of a run get ports that outgoing connections may have."""
    return Random(seed + 4).random() < USUAL_PORTS_SHARE


def draw_shared_range(seed: int) -> bool:
    """Draw whether the daemons of a run listen for each other in one range."""
    return Random(seed + 6).random() < SHARED_RANGE_SHARE


def draw_log_retention(seed: int) -> float:
    """Draw for how many seconds the store keeps records."""
    return Random(seed + 8).choice(LOG_RETENTIONS)


def read_arguments(arguments: list[str] | None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="deploy.soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="of faults")
    parser.add_argument("--seed", type=int, help="drawn when absent")
    parser.add_argument(
        "--planned", action="store_true", help="only planned work, which cuts nothing"
    )
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--keep", type=Path, help="folder for the logs")
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Run one soak; 0 if every promise held."""
    options = read_arguments(arguments)
    seed = SystemRandom().randrange(10**6) if options.seed is None else options.seed
    size = SoakSize(
        daemons=options.daemons,
        seconds=options.seconds,
        is_planned_only=options.planned,
    )
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        reactor: Any = default_reactor
        soak = Soak(reactor, size, seed, folder)
        reactor.callWhenRunning(soak.start)
        try:
            reactor.run()
        finally:
            soak.stop()
        report = soak.report()
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(report)).decode() + "\n")
    if report.verdict != "clean":
        sys.stdout.write("\n".join(soak.faults.steps) + "\n")
    sys.stdout.write(f"seed {seed}: {report.verdict}\n")
    return DONE if report.keeps_promises else BROKEN
