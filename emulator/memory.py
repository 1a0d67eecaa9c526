"""In-process ports over the models, with the same faults as the HTTP stand-ins.

A reply comes after `latency_seconds` each way, or at once (without a clock call)
when that is 0 and no fault slows it. A lost answer shows as a lost
connection.
"""

from collections.abc import Callable
from typing import TypeVar

from result import Ok, Result
from twisted.internet.defer import Deferred

from emulator.engine.host import EngineHost, EnginesByAddress
from emulator.engine.refusals import EngineRefusal
from emulator.faults import FaultKind, ServiceFaults, TransportFaults
from emulator.memory_exchange import MemoryExchange, MemoryWay, Outcome
from emulator.memory_stream import MemoryEngineStream
from emulator.services.log_store import LogStore
from emulator.services.machine_registry import MachineRegistry
from emulator.services.weight_store import WeightStore
from notcharch.clients.ports import (
    CachedProgram,
    CacheEvents,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineStream,
    ExportedCache,
    LogPage,
    LogRecord,
    MachineChanges,
)
from notcharch.errors import Problem, ProblemCode
from notcharch.values.identifiers import (
    EngineName,
    Epoch,
    LogOffset,
    ProgramId,
    RegionName,
    RequestId,
)

Value = TypeVar("Value")


class MemoryEnginePort:
    """`EnginePort` over models; an unknown address refuses the connection."""

    def __init__(self, way: MemoryWay, engines: EnginesByAddress) -> None:
        """Reach the engines of a dict that may change later."""
        self._way = way
        self._engines = engines
        self._nowhere = TransportFaults(way.clock)
        self._nowhere.order(FaultKind.DOWN, None)

    def open_stream(
        self, address: str, request: EngineRequest, on_bytes: Callable[[bytes], None]
    ) -> EngineStream:
        """Open a stream on a model."""
        return MemoryEngineStream(
            self._way,
            lambda: self._engines.get(address),
            request,
            on_bytes,
        )

    def load(self, address: str) -> "Deferred[Result[EngineLoad, Problem]]":
        """Read the lagging load report."""
        return self._call(address, lambda host: Ok(host.model.load()))

    def cache_events(
        self, address: str, after: int, limit: int
    ) -> "Deferred[Result[CacheEvents, Problem]]":
        """Read the cache events that have come out."""
        return self._call(
            address, lambda host: Ok(host.model.cache_events(after, limit))
        )

    def cached_programs(
        self, address: str
    ) -> "Deferred[Result[tuple[CachedProgram, ...], Problem]]":
        """Read the truth of what is held."""
        return self._call(address, lambda host: Ok(host.model.cached_programs()))

    def release(
        self, address: str, program: ProgramId, epoch: Epoch
    ) -> "Deferred[Result[int, Problem]]":
        """Free a program's memory."""
        return self._call(address, lambda host: host.model.release(program, epoch))

    def export_cache(
        self, address: str, program: ProgramId
    ) -> "Deferred[Result[ExportedCache, Problem]]":
        """Export a program's cache."""
        return self._call(address, lambda host: host.model.transfers.export(program))

    def import_cache(
        self, address: str, program: ProgramId, source: str, handle: str
    ) -> "Deferred[Result[int, Problem]]":
        """Import a program's cache from another engine."""
        source_host = self._engines.get(source)
        exports = source_host.model.transfers if source_host else None
        return self._call(
            address,
            lambda host: host.model.transfers.import_from(program, exports, handle),
        )

    def order(
        self, address: str, order: EngineOrder
    ) -> "Deferred[Result[None, Problem]]":
        """Give a fenced order."""
        return self._call(address, lambda host: host.model.orders.apply(order))

    def _call(
        self,
        address: str,
        effect: Callable[[EngineHost], Outcome[Value]],
    ) -> "Deferred[Result[Value, Problem]]":
        host = self._engines.get(address)
        faults = host.transport if host else self._nowhere
        exchange = MemoryExchange(
            self._way, faults, ProblemCode.ENGINE_FAILED, f"engine at {address}"
        )
        return exchange.call(lambda: effect(_existing(host)))


def _existing(host: EngineHost | None) -> EngineHost:
    if host is None:
        raise LookupError("an unknown address is down, so this is never reached")
    return host


class MemoryLogPort:
    """`LogPort` over a `LogStore`; `faults` orders its faults."""

    def __init__(
        self, way: MemoryWay, store: LogStore, faults: ServiceFaults | None = None
    ) -> None:
        """Share `faults` between the ports of one service."""
        self.store = store
        self.faults = faults or ServiceFaults(way.clock)
        self._exchange = MemoryExchange(
            way, self.faults.transport, ProblemCode.UNAVAILABLE, "log service"
        )

    def append(
        self, stream: str, records: tuple[LogRecord, ...]
    ) -> "Deferred[Result[LogOffset, Problem]]":
        """Append in order; a lost answer has appended."""
        return self._exchange.call(lambda: Ok(self.store.append(stream, records)))

    def read(
        self, stream: str, offset: LogOffset, limit: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[LogPage, Problem]]":
        """Read records, waiting for the first if asked."""

        def effect() -> "Deferred[Result[LogPage, EngineRefusal]]":
            page = self.store.read_waiting(stream, offset, limit, wait_seconds)
            return page.addCallback(Ok)

        return self._exchange.call(effect, wait_seconds)


class MemoryMachineListPort:
    """`MachineListPort` over a `MachineRegistry`; `faults` orders its faults."""

    def __init__(
        self,
        way: MemoryWay,
        registry: MachineRegistry,
        faults: ServiceFaults | None = None,
    ) -> None:
        """Share `faults` between the ports of one service."""
        self.registry = registry
        self.faults = faults or ServiceFaults(way.clock)
        self._exchange = MemoryExchange(
            way, self.faults.transport, ProblemCode.UNAVAILABLE, "machine list"
        )

    def changes(
        self, region: RegionName, after: int | None
    ) -> "Deferred[Result[MachineChanges, Problem]]":
        """Give what is shown of a region."""
        return self._exchange.call(lambda: Ok(self.registry.changes(region, after)))


class MemoryWeightStorePort:
    """`WeightStorePort` over a `WeightStore`; `faults` orders its faults."""

    def __init__(
        self, way: MemoryWay, store: WeightStore, faults: ServiceFaults | None = None
    ) -> None:
        """Share `faults` between the ports of one service."""
        self.store = store
        self.faults = faults or ServiceFaults(way.clock)
        self._exchange = MemoryExchange(
            way, self.faults.transport, ProblemCode.UNAVAILABLE, "weight store"
        )

    def start_pull(
        self, weights: str, engine: EngineName
    ) -> "Deferred[Result[RequestId, Problem]]":
        """Begin a pull."""
        return self._exchange.call(lambda: self.store.start(weights, engine))

    def pull_fraction(self, pull: RequestId) -> "Deferred[Result[float, Problem]]":
        """Give the part that is done."""
        return self._exchange.call(lambda: self.store.fraction(pull))
