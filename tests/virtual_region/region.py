"""Daemon cores, the memory transport and the models of the platform in one process.

Nothing here touches a socket or the wall clock: the same seed gives the same run.
Faults of links and daemons are ordered at `fabric`, those of the platform at
`models.faults`. Used by the stateful tests, the scheduling experiments and hollow
daemons of scale runs.
"""

from collections.abc import Callable
from random import Random
from typing import TypeVar

import attrs
import msgspec
from prometheus_client import CollectorRegistry
from result import Err
from twisted.internet.defer import Deferred

from emulator.memory_exchange import MemoryWay
from emulator.models import RegionModels
from emulator.peers.fabric import MemoryFabric
from emulator.peers.network import MemoryDaemon
from emulator.settings import EmulatorSettings
from emulator.virtual_clock import VirtualClock
from notcharch.clients.ports import Machine, MachineKind, MachineState
from notcharch.daemon.core import DaemonCore
from notcharch.daemon.ports import DaemonPorts
from notcharch.errors.problem import ProblemError
from notcharch.settings.schema import Settings
from notcharch.table.draft import TableDraft
from notcharch.table.publisher import PublishRequest
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    RegionName,
    TableVersion,
    ZoneName,
)

START_SECONDS = 1_000_000.0
"""Virtual time at the start; far from 0 so that ages stay positive."""

MILLISECONDS = 1000
NO_VERSION = TableVersion(0)
ValueT = TypeVar("ValueT")
PLATFORM_LATENCY_SECONDS = 0.0005
PUBLISH_SECONDS = 15.0
STEP_SECONDS = 0.05


@attrs.frozen(kw_only=True)
class RegionPlan:
    """How a virtual region is built; daemons are dealt to the zones in turn."""

    emulator: EmulatorSettings
    settings: Settings = Settings()
    daemons: int = 3
    zones: int = 3
    seed: int = 1
    encode: bool = False
    """Send messages through the real codec and count their bytes."""


class VirtualRegion:
    """A running region; time passes only in `advance` and `run_until`."""

    def __init__(self, plan: RegionPlan) -> None:
        """Build the platform; no daemon runs before `start_all`."""
        self.plan = plan
        self.clock = VirtualClock(START_SECONDS)
        self.random = Random(plan.seed)
        self.fabric = MemoryFabric(
            self.clock, Random(self.random.random()), encode=plan.encode
        )
        self.models = RegionModels(self.clock, plan.emulator)
        self.models.place_all_engines()
        self.cores: dict[DaemonName, DaemonCore] = {}

    @property
    def names(self) -> tuple[DaemonName, ...]:
        """The names of all daemons of the plan."""
        numbers = range(1, self.plan.daemons + 1)
        return tuple(DaemonName(f"daemon-{number}") for number in numbers)

    def zone_of(self, name: DaemonName) -> ZoneName:
        """Give a daemon's zone."""
        number = int(name.rsplit("-", 1)[1]) - 1
        return ZoneName(f"zone{number % self.plan.zones + 1}")

    def start_all(self) -> None:
        """Start every daemon."""
        for name in self.names:
            self.start(name)

    def start(self, name: DaemonName) -> DaemonCore:
        """Start a process of a daemon; one that still runs is crashed first."""
        incarnation = Incarnation(int(self.clock.seconds() * MILLISECONDS))
        zone = self.zone_of(name)
        place = self.fabric.join(Member(name, incarnation), zone)
        core = DaemonCore(
            self._settings(name, zone), self._ports(place), CollectorRegistry()
        )
        self.cores[name] = core
        self._list(name, place, MachineState.LIVE)
        core.start()
        return core

    def crash(self, name: DaemonName, *, silent: bool = False) -> None:
        """End a daemon's process; its memory is lost."""
        self.fabric.crash(name, silent=silent)

    def set_listed(self, name: DaemonName, state: MachineState) -> None:
        """Say in the machine list that a daemon is live, leaving or gone."""
        self._list(name, self.fabric.daemon(name), state)

    def running_cores(self) -> tuple[DaemonCore, ...]:
        """Give the cores whose processes run, paused ones included."""
        return tuple(
            self.cores[name] for name in self.cores if self.fabric.is_running(name)
        )

    def publish(self, draft: TableDraft, base: TableVersion = NO_VERSION) -> None:
        """Publish a table through the first running daemon and wait for it."""
        core = self.running_cores()[0]
        request = PublishRequest(draft, base, "virtual region")
        publishing = core.publisher.publish(request, PUBLISH_SECONDS)
        published = self.wait_for(Deferred.fromCoroutine(publishing), PUBLISH_SECONDS)
        if isinstance(published, Err):
            raise ProblemError(published.err_value)
        self.run_until(self._is_table_in_force, PUBLISH_SECONDS)

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.clock.advance(seconds)

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Let time pass until a condition holds; False when it did not in time."""
        give_up_at = self.clock.seconds() + seconds
        while not condition():
            if self.clock.seconds() >= give_up_at:
                return False
            self.clock.advance(STEP_SECONDS)
        return True

    def wait_for(self, awaited: "Deferred[ValueT]", seconds: float) -> ValueT:
        """Let time pass until a Deferred fires; gives its result or raises."""
        results: list[ValueT] = []
        failures: list[BaseException] = []
        awaited.addCallbacks(
            results.append, lambda failure: failures.append(failure.value)
        )
        if not self.run_until(lambda: bool(results or failures), seconds):
            raise TimeoutError(f"nothing came in {seconds} virtual seconds")
        if failures:
            raise failures[0]
        return results[0]

    def _is_table_in_force(self) -> bool:
        versions = {core.table.version for core in self.running_cores()}
        return len(versions) == 1 and versions != {TableVersion(0)}

    def _settings(self, name: DaemonName, zone: ZoneName) -> Settings:
        section = msgspec.structs.replace(
            self.plan.settings.daemon,
            name=name,
            zone=zone,
            region=self.plan.emulator.emulator.region,
        )
        return msgspec.structs.replace(self.plan.settings, daemon=section)

    def _ports(self, place: MemoryDaemon) -> DaemonPorts:
        way = MemoryWay(place.clock, PLATFORM_LATENCY_SECONDS)
        return DaemonPorts(
            clock=place.clock,
            chance=Random(self.random.random()),
            network=place.network,
            datagrams=place.datagrams,
            peer_address=place.address,
            engines=self.models.engine_port(way),
            log=self.models.log_port(way),
            journal=self.models.journal_port(way),
            machine_list=self.models.machine_list_port(way),
        )

    def _list(self, name: DaemonName, place: MemoryDaemon, state: MachineState) -> None:
        self.models.machines.put(
            Machine(
                name=name,
                kind=MachineKind.DAEMON,
                region=RegionName(self.plan.emulator.emulator.region),
                zone=place.zone,
                address=place.address,
                state=state,
            )
        )
