"""All models of one region together, on one clock and without sockets."""

from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from emulator.engine.counters import FillHistory
from emulator.engine.host import EngineHost, EnginesByAddress
from emulator.engine.model import EngineModel
from emulator.faults import FaultBoard, FaultKind, ServiceFaults
from emulator.memory import (
    MemoryEnginePort,
    MemoryLogPort,
    MemoryMachineListPort,
    MemoryWeightStorePort,
)
from emulator.memory_exchange import MemoryWay
from emulator.memory_journal import MemoryJournal
from emulator.services.log_store import LogStore
from emulator.services.machine_registry import MachineRegistry
from emulator.services.partitioned_log import PartitionedLog
from emulator.services.tools import ToolService
from emulator.services.weight_store import WeightStore
from emulator.settings import EmulatorSettings, EngineSection
from notcharch.clients.ports import Machine
from notcharch.values.identifiers import EngineName, PoolName, RegionName, ZoneName

LOG = "log"
MACHINE_LIST = "machine_list"
WEIGHT_STORE = "weight_store"
TOOLS = "tools"
PARTITIONS_OF_A_TOPIC = 16


class MachineListFaults(ServiceFaults):
    """The machine list's faults: those of a service, and its lag."""

    def __init__(self, clock: IReactorTime, registry: MachineRegistry) -> None:
        """Begin without faults."""
        super().__init__(clock)
        self._registry = registry

    def order_fault(self, fault: FaultKind, argument: float | None) -> bool:
        """Begin a fault."""
        if fault is FaultKind.LAG:
            self._registry.lag_seconds = argument or 0.0
            return True
        return super().order_fault(fault, argument)

    def clear_faults(self) -> None:
        """End all faults."""
        super().clear_faults()
        self._registry.lag_seconds = self._registry.usual_lag_seconds


class RegionModels:
    """The outside systems of a region; engines are placed at addresses."""

    def __init__(
        self,
        clock: IReactorTime,
        settings: EmulatorSettings,
        steps_per_report: int | None = None,
    ) -> None:
        """Build everything but the engines; see `place_engine`.

        `steps_per_report` is that of `EngineModel`; None is fast to simulate.
        """
        general = settings.emulator
        self.clock = clock
        self.settings = settings
        self.engines: EnginesByAddress = {}
        self.fills = FillHistory()
        self.faults = FaultBoard()
        self.log = LogStore(clock)
        self.journal = PartitionedLog(
            clock, Random(general.seed), PARTITIONS_OF_A_TOPIC
        )
        self.machines = MachineRegistry(clock, general.machine_list_lag_seconds)
        self.weights = WeightStore(
            clock, general.seconds_between_pulls, general.pull_seconds
        )
        self.tools = ToolService(clock, general.tool_seconds)
        self.log_faults = ServiceFaults(clock)
        self.machine_list_faults = MachineListFaults(clock, self.machines)
        self.weight_store_faults = ServiceFaults(clock)
        self.tool_faults = ServiceFaults(clock)
        self._steps_per_report = steps_per_report
        self._random = Random(general.seed)
        self.faults.add(LOG, self.log_faults)
        self.faults.add(MACHINE_LIST, self.machine_list_faults)
        self.faults.add(WEIGHT_STORE, self.weight_store_faults)
        self.faults.add(TOOLS, self.tool_faults)

    def build_engine(self, section: EngineSection) -> EngineHost:
        """Build an engine that is not yet at any address."""
        model = EngineModel(
            self.clock,
            EngineName(section.name),
            self.settings.rates_of(section.kind),
            Random(self._random.random()),
            kind=section.kind,
            pools=tuple(PoolName(pool) for pool in section.pools),
            fills=self.fills,
            steps_per_report=self._steps_per_report,
        )
        return EngineHost(model)

    def place_engine(
        self, host: EngineHost, section: EngineSection, address: str
    ) -> None:
        """Put an engine at an address, into the machine list and up for faults."""
        self.engines[address] = host
        self.faults.add(section.name, host)
        host.model.on_change = lambda: self._list_engine(host, section, address)
        host.model.on_change()

    def place_all_engines(self) -> None:
        """Place the engines of the settings without sockets.

        One without a port gets its place in the list, from 1, as its port.
        """
        for number, section in enumerate(self.settings.engines, start=1):
            address = f"{self.settings.emulator.host}:{section.port or number}"
            self.place_engine(self.build_engine(section), section, address)

    def engine_named(self, name: str) -> EngineHost:
        """Give a placed engine; raises LookupError."""
        for host in self.engines.values():
            if host.model.name == name:
                return host
        raise LookupError(name)

    def engine_port(self, way: MemoryWay) -> MemoryEnginePort:
        """Give a port to the engines."""
        return MemoryEnginePort(way, self.engines)

    def log_port(self, way: MemoryWay) -> MemoryLogPort:
        """Give a port to the log service."""
        return MemoryLogPort(way, self.log, self.log_faults)

    def journal_port(self, way: MemoryWay) -> MemoryJournal:
        """Give a port to the log service's partitions and groups."""
        return MemoryJournal(way, self.journal, self.log_faults)

    def machine_list_port(self, way: MemoryWay) -> MemoryMachineListPort:
        """Give a port to the machine list."""
        return MemoryMachineListPort(way, self.machines, self.machine_list_faults)

    def weight_store_port(self, way: MemoryWay) -> MemoryWeightStorePort:
        """Give a port to the weight store."""
        return MemoryWeightStorePort(way, self.weights, self.weight_store_faults)

    def _list_engine(
        self, host: EngineHost, section: EngineSection, address: str
    ) -> None:
        model = host.model
        self.machines.put(
            Machine(
                section.name,
                section.kind,
                RegionName(self.settings.emulator.region),
                ZoneName(section.zone),
                address,
                model.state,
                model.orders.pools,
                model.rates.slots,
            )
        )


def with_engines(
    settings: EmulatorSettings, engines: tuple[EngineSection, ...]
) -> EmulatorSettings:
    """Give settings with other engines."""
    return msgspec.structs.replace(settings, engines=engines)
