"""One play: steps for a while, calm, the final fault, the recovery, the verdict."""

from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from deploy.soak.daemons import MEMORY_MEGABYTES, SoakDaemon
from deploy.soak.ends import EndKind
from deploy.soak.engine_server import SoakEngine
from deploy.soak.large_turns import LargeTurns
from deploy.soak.link_proxy import LinkProxy
from deploy.soak.losses.operator import PlayOperator
from deploy.soak.losses.programs import MOST_EVENTS, ProgramCallers, SoundTenants
from deploy.soak.losses.records import (
    LAST_SECONDS,
    RECOVERY_SECONDS,
    SLOTS,
    Evidence,
    RouteProbe,
)
from deploy.soak.losses.report import PlayReport, judge
from deploy.soak.losses.schedule import PlaySize, draw_schedule
from deploy.soak.observations import Asked, Violation
from deploy.soak.oracle import Oracle
from deploy.soak.readiness import Readiness
from deploy.soak.settings import (
    HOST,
    MODELS,
    PARTITIONS,
    TOKENS_PER_EVENT,
    TOOLS,
)
from deploy.soak.store_server import StoreServer
from notcharch.http.server import ServerFactory

START_SECONDS = 6.0
CALM_SECONDS = 9.0
"""Before the final fault: the time out of contact, and five tries."""
PROBE_SECONDS = 0.5
"""Between two rounds of probes of the newest route."""
LAST_ANSWERS_SECONDS = 4.0
WATCH_SECONDS = 0.1
MODEL_ENGINES = 8
TOOL_ENGINES = 2
EVENT_SECONDS = 0.05
"""Between two events, so that calls are in flight at each loss."""
RETURNING_LINES = 24
CONTRACTS = "base,tenants"


class Play:
    """One play in a folder of its own."""

    def __init__(self, reactor: Any, size: PlaySize, seed: int, folder: Path) -> None:
        """Build everything; nothing is asked before `start`."""
        self._reactor = reactor
        self._size = size
        self._seed = seed
        self._random = Random(seed)
        self._steps = draw_schedule(Random(seed + 1), size)
        self._tenants = SoundTenants(Random(seed + 2))
        most = MOST_EVENTS * TOKENS_PER_EVENT
        budget = round(size.budget_calls * most)
        self._oracle = Oracle(self._tenants, allowed_tokens=budget + most)
        self.evidence = Evidence(
            budget,
            most,
            MODEL_ENGINES * SLOTS,
            self._oracle.asked,
            self._oracle.runs,
        )
        self._store = StoreServer(
            reactor, Random(seed), PARTITIONS, size.history_seconds
        )
        self._daemons = self._build_daemons(folder)
        self._operator = PlayOperator(
            reactor,
            self._random,
            self._daemons,
            self._store,
            tenants=self._tenants,
            evidence=self.evidence,
        )
        services = [MODELS] * MODEL_ENGINES + [TOOLS] * TOOL_ENGINES
        for number, service in enumerate(services):
            SoakEngine(
                reactor,
                self._random,
                self._oracle,
                self._store,
                service,
                number=number,
                slots=SLOTS,
                event_seconds=EVENT_SECONDS,
            )
        self._readiness = Readiness(reactor, self._daemons)
        self._callers = ProgramCallers(
            reactor,
            Random(seed + 3),
            self._oracle,
            self._readiness.ready,
            tenants=self._tenants,
            large=LargeTurns(Random(seed + 4)),
            evidence=self.evidence,
            random=Random(seed + 5),
        )
        self._probe_rounds = 0
        self._is_over = False

    def _build_daemons(self, folder: Path) -> list[SoakDaemon]:
        port = self._reactor.listenTCP(
            0, ServerFactory(self._store, self._reactor), interface=HOST
        )
        return [
            SoakDaemon(
                f"d{number}",
                folder,
                LinkProxy(self._reactor, port.getHost().port),
                log_retention=self._size.history_seconds,
                contracts=CONTRACTS,
            )
            for number in range(self._size.daemons)
        ]

    def start(self) -> None:
        """Start the daemons, then programs and steps."""
        for daemon in self._daemons:
            daemon.start()
        self._readiness.start()
        self._watch()
        self._reactor.callLater(START_SECONDS, self._begin)

    def _watch(self) -> None:
        for daemon in self._daemons:
            daemon.look()
            daemon.collect_ends()
        if not self._is_over:
            self._reactor.callLater(WATCH_SECONDS, self._watch)

    def _begin(self) -> None:
        later = self._reactor.callLater
        self._callers.start(self._size.programs)
        for step in self._steps:
            later(step.at, self._operator.carry_out, step)
        final = self._size.seconds + CALM_SECONDS
        later(final, self._strike_finally)

    def _strike_finally(self) -> None:
        self._operator.publish()
        self._operator.final_fault()
        self._await_return()

    def _await_return(self) -> None:
        """Let programs return once all daemons are started again."""
        if self.evidence.back_at > self._reactor.seconds():
            self._reactor.callLater(WATCH_SECONDS, self._await_return)
            return
        until = self.evidence.back_at + RECOVERY_SECONDS
        self._callers.return_after_fault(RETURNING_LINES, until)
        self._reactor.callLater(RECOVERY_SECONDS, self._probe_routes)
        self._reactor.callLater(RECOVERY_SECONDS + LAST_SECONDS, self._finish)

    def _probe_routes(self) -> None:
        """Ask each daemon for the newest route, again and again."""
        if not self._callers.is_running:
            return
        self._probe_rounds += 1
        for daemon in self._daemons:
            asked = Asked(
                id=f"probe{self._probe_rounds}-{daemon.name}",
                path=f"{self._operator.newest_path}x",
                expected_body=b"probe",
                may_repeat=True,
                is_stream=False,
                tenant=self._tenants.choose().name,
            )
            done = self._callers.send_alone(asked, b"probe", daemon)
            done.addCallback(partial(self._note_probe, asked))
        self._reactor.callLater(PROBE_SECONDS, self._probe_routes)

    def _note_probe(self, asked: Asked, _: None) -> None:
        status = asked.status if asked.is_whole else 0
        self.evidence.probes.append(RouteProbe(asked.daemon, asked.at, status))

    def _finish(self) -> None:
        self._callers.is_running = False
        self._reactor.callLater(LAST_ANSWERS_SECONDS, self._end)

    def _end(self) -> None:
        self._is_over = True
        self._reactor.stop()

    def stop(self) -> None:
        """End the daemons that were started here."""
        for daemon in self._daemons:
            daemon.kill_all()

    def report(self) -> PlayReport:
        """Judge everything that was seen."""
        others = self._oracle.violations() + self._faults_of_daemons()
        return judge(self.evidence, self._size, self._seed, others)

    def _faults_of_daemons(self) -> list[Violation]:
        found: list[Violation] = []
        for daemon in self._daemons:
            own = [end for end in daemon.ends if end.kind is EndKind.OWN]
            found += [
                Violation("END", end.daemon, f"status {end.status}") for end in own
            ]
            if daemon.peak_megabytes > MEMORY_MEGABYTES:
                found.append(
                    Violation("MEMORY", daemon.name, f"{daemon.peak_megabytes}")
                )
            exceptions = daemon.logged_exceptions()
            if exceptions:
                what = f"{exceptions} logged"
                found.append(Violation("EXCEPTION", daemon.name, what))
        return found
