"""Fault control, the counters, and the truth of the machine list."""

import msgspec
from klein import Klein
from result import Err
from twisted.internet.defer import succeed
from twisted.web.server import Request

from emulator.engine.counters import EngineCounters
from emulator.engine.host import EngineHost
from emulator.engine.refusals import EngineRefusal, RefusalCode
from emulator.faults import Fault
from emulator.http.exchange import Reply, json_reply, read_body, refusal_reply
from emulator.models import RegionModels
from notcharch.clients.ports import Machine
from notcharch.values.identifiers import EngineName, PoolName, ProgramId, RequestId


class Done(msgspec.Struct, frozen=True):
    """The reply to a control request that was carried out."""

    done: bool = True


class EngineSnapshot(msgspec.Struct, frozen=True):
    """One engine: what it holds, does and has counted."""

    name: EngineName
    address: str
    kind: str
    state: str
    drained: bool
    role: str
    pools: tuple[PoolName, ...]
    adapters: tuple[str, ...]
    running: int
    waiting: int
    free_blocks: int
    total_blocks: int
    blocks_by_program: dict[ProgramId, int]
    counters: EngineCounters
    side_effects: dict[RequestId, ProgramId]


class EmulatorSnapshot(msgspec.Struct, frozen=True):
    """Everything that the stand-ins count."""

    engines: tuple[EngineSnapshot, ...]
    machines: tuple[Machine, ...]
    log_appends: int
    log_records: dict[str, int]
    weight_pulls: int
    tool_uses: dict[str, int]


class ControlServer:
    """The routes under `/control`; notcharch never calls them."""

    app = Klein()

    def __init__(self, models: RegionModels) -> None:
        """Control the models of a region."""
        self._models = models

    @app.route("/control/faults", methods=["POST"])
    def order_fault(self, request: Request) -> Reply:
        """Begin a fault."""
        ordered = read_body(request, Fault).and_then(
            lambda fault: self._models.faults.order(fault).map_err(_bad_request)
        )
        if isinstance(ordered, Err):
            return succeed(refusal_reply(request, ordered.err_value))
        return succeed(json_reply(request, Done()))

    @app.route("/control/faults", methods=["DELETE"])
    def clear_faults(self, request: Request) -> Reply:
        """End all active faults."""
        self._models.faults.clear()
        return succeed(json_reply(request, Done()))

    @app.route("/control/machines", methods=["POST"])
    def put_machine(self, request: Request) -> Reply:
        """Add or change a machine of the list, a daemon for example."""
        body = read_body(request, Machine)
        if isinstance(body, Err):
            return succeed(refusal_reply(request, body.err_value))
        self._models.machines.put(body.ok_value)
        return succeed(json_reply(request, Done()))

    @app.route("/control/state", methods=["GET"])
    def state(self, request: Request) -> Reply:
        """Give all counters."""
        return succeed(json_reply(request, snapshot_of(self._models)))


def snapshot_of(models: RegionModels) -> EmulatorSnapshot:
    """Take all counters at once."""
    return EmulatorSnapshot(
        tuple(_engine_snapshot(at, host) for at, host in models.engines.items()),
        models.machines.truth(),
        models.log.append_count,
        models.log.stream_lengths(),
        models.weights.pull_count,
        dict(models.tools.uses),
    )


def _engine_snapshot(address: str, host: EngineHost) -> EngineSnapshot:
    model = host.model
    return EngineSnapshot(
        model.name,
        address,
        model.kind.value,
        model.state.value,
        model.orders.drained,
        model.orders.role,
        model.orders.pools,
        model.orders.adapters,
        model.batch.running,
        len(model.batch.waiting),
        model.cache.free_blocks,
        model.cache.total_blocks,
        model.cache.blocks_by_program(),
        model.counters,
        model.side_effects,
    )


def _bad_request(message: str) -> EngineRefusal:
    return EngineRefusal(RefusalCode.BAD_REQUEST, message)
