"""A region of hollow daemons for the scale run, and what is asked of it.

A hollow daemon is a whole `DaemonCore` on the memory fabric: real membership,
partitions, stewards, table and gateway, without sockets. Many share a process.
"""

from collections.abc import Callable

import attrs
import msgspec
from result import Ok
from twisted.internet.defer import Deferred, DeferredList

from emulator.faults import FaultKind, ServiceFaults
from emulator.memory import MemoryLogPort
from emulator.memory_exchange import MemoryWay
from emulator.memory_journal import MemoryJournal
from emulator.peers.network import MemoryDaemon
from emulator.settings import (
    EmulatorSettings,
    EngineSection,
    GeneralSection,
    default_rates,
)
from emulator.virtual_clock import VirtualClock
from experiments.virtual.region import (
    PLATFORM_LATENCY_SECONDS,
    RegionPlan,
    VirtualRegion,
)
from notcharch.clients.ports import MachineKind
from notcharch.daemon.core import DaemonCore
from notcharch.daemon.ports import DaemonPorts
from notcharch.settings.schema import PartitionsSection, Settings
from notcharch.values.identifiers import (
    DaemonName,
    Member,
    PartitionNumber,
    RegionName,
    ZoneName,
)
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import EngineListing, ListEngines

POOLS = 8
TENANTS = 320
ASK_SECONDS = 1.0
LONGEST_ANSWER_SECONDS = 2.0


class ScaleSize(msgspec.Struct, frozen=True):
    """The size of one region."""

    daemons: int
    engines: int
    zones: int = 3
    partitions: int = 64
    seed: int = 1
    cold: bool = False
    """Whether the engines are listed from the start, before daemons know each other."""


def tenant_rows(
    count: int = TENANTS, share: float = 1.0
) -> tuple[dict[str, object], ...]:
    """Give a table of one service for each tenant, over the pools in turn."""
    return tuple(
        {
            "service": f"service-{number}",
            "tenant": f"tenant-{number}",
            "pool": f"model-{number % POOLS}",
            "share": share + number % 4,
            "concurrency": 1000,
            "max_wait_seconds": 20.0,
        }
        for number in range(count)
    )


class ScaleRegion(VirtualRegion):
    """A region of a size, whose messages pass the real codec and are counted."""

    def __init__(self, size: ScaleSize) -> None:
        """Build it; nothing runs yet."""
        self.size = size
        self.others_log_faults = ServiceFaults(
            VirtualClock()
        )  # no fault ends by itself
        super().__init__(
            RegionPlan(
                emulator=_emulator(size, size.engines if size.cold else 0),
                settings=Settings(
                    partitions=PartitionsSection(partition_count=size.partitions)
                ),
                daemons=size.daemons,
                zones=size.zones,
                seed=size.seed,
                encode=True,
            )
        )

    def list_engines(self) -> None:
        """Put the engines into the machine list, unless they are in it already."""
        if not self.size.cold:
            self.models.settings = _emulator(self.size, self.size.engines)
            self.models.place_all_engines()

    def cut_log_of_others(self) -> None:
        """Let the log be down for every daemon but the first one."""
        self.others_log_faults.order_fault(FaultKind.DOWN, None)

    def cut_log(self) -> None:
        """Let the log be down for everybody."""
        self.cut_log_of_others()
        self.models.log_faults.order_fault(FaultKind.DOWN, None)

    def heal_log(self) -> None:
        """Let the log be up."""
        self.others_log_faults.clear_faults()
        self.models.log_faults.clear_faults()

    def _ports(self, place: MemoryDaemon) -> DaemonPorts:
        ports = super()._ports(place)
        if place.member.daemon == self.names[0]:
            return ports
        way = MemoryWay(place.clock, PLATFORM_LATENCY_SECONDS)
        log = MemoryLogPort(way, self.models.log, self.others_log_faults)
        journal = MemoryJournal(way, self.models.journal, self.others_log_faults)
        return attrs.evolve(ports, log=log, journal=journal)

    def running_members(self) -> set[Member]:
        """Give the processes that run."""
        return {core.own_member for core in self.running_cores()}

    def membership_agrees(self) -> bool:
        """Tell whether every daemon believes exactly the running ones alive."""
        running = self.running_members()
        return all(_live(core) == running for core in self.running_cores())

    def partitions_led(self) -> bool:
        """Tell whether each partition has one leader, and it runs."""
        return len(self.leaders()) == self.size.partitions

    def leaders(self) -> dict[PartitionNumber, DaemonName]:
        """Give the running leader of each partition that has one."""
        return {
            partition: core.own_member.daemon
            for core in self.running_cores()
            for partition in core.partitions.led_partitions()
        }

    def engines_claimed(self) -> bool:
        """Tell whether each engine has a steward with a recorded claim."""
        claimed = {
            engine.engine
            for listing in self.ask_all(ListEngines())
            if isinstance(listing, EngineListing)
            for engine in listing.engines
            if engine.steward_epoch > 0
        }
        return len(claimed) == self.size.engines

    def ask_all(self, question: Message) -> list[Message]:
        """Ask each running daemon itself; takes virtual time."""
        asked: list[Deferred[object]] = []
        for core in self.running_cores():
            network, own = core.ports.network, core.own_member.daemon
            asked.append(network.request(own, question, ASK_SECONDS))  # type: ignore[arg-type]
        gathered = DeferredList(asked)
        replies = self.wait_for(gathered, LONGEST_ANSWER_SECONDS)
        return [
            reply.ok_value
            for _, reply in replies
            if isinstance(reply, Ok) and isinstance(reply.ok_value, Message)
        ]

    def seconds_until(self, holds: Callable[[], bool], limit: float) -> float | None:
        """Let time pass until a condition holds; its seconds, None if it never did."""
        began = self.clock.seconds()
        if not self.run_until(holds, limit):
            return None
        return self.clock.seconds() - began

    def crash_silently(self, names: tuple[DaemonName, ...]) -> None:
        """End processes at once and without a word, as a switch or power does."""
        for name in names:
            self.crash(name, silent=True)

    def running_in(self, zone: ZoneName) -> tuple[DaemonName, ...]:
        """Give the running daemons of a zone."""
        return tuple(
            name for name in self.fabric.names_in(zone) if self.fabric.is_running(name)
        )


def _live(core: DaemonCore) -> set[Member]:
    return {live.member for live in core.membership.live_members()}


def _emulator(size: ScaleSize, engine_count: int) -> EmulatorSettings:
    engines = tuple(
        EngineSection(
            name=f"engine-{number}",
            zone=f"zone{number % size.zones + 1}",
            pools=(f"model-{number % POOLS}",),
        )
        for number in range(engine_count)
    )
    return EmulatorSettings(
        emulator=GeneralSection(region=RegionName("region1"), seed=size.seed),
        engines=engines,
        model_engine=default_rates(MachineKind.MODEL_ENGINE),
        application_engine=default_rates(MachineKind.APPLICATION_ENGINE),
    )
