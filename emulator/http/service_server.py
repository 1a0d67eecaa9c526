"""The HTTP interfaces of the log, the machine list, the weight store and the tools."""

import msgspec
from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from emulator.engine.refusals import EngineRefusal
from emulator.http.exchange import (
    HttpExchange,
    Outcome,
    Reply,
    number_argument,
    read_body,
    text_argument,
)
from emulator.models import RegionModels
from notcharch.clients.ports import LogPage, LogRecord, MachineChanges
from notcharch.values.identifiers import (
    EngineName,
    LogOffset,
    RegionName,
    RequestId,
)

DEFAULT_RECORD_LIMIT = 1000
FINISHED = "finished"
RUNNING = "running"


class AppendBody(msgspec.Struct, frozen=True):
    """Records to append."""

    records: tuple[LogRecord, ...]


class AppendReply(msgspec.Struct, frozen=True):
    """Where the records went."""

    first_offset: LogOffset
    next_offset: LogOffset


class PullBody(msgspec.Struct, frozen=True):
    """Begins a pull."""

    weights: str
    engine: EngineName


class PullReply(msgspec.Struct, frozen=True):
    """A pull that has begun."""

    pull: RequestId


class PullState(msgspec.Struct, frozen=True):
    """How far a pull is."""

    state: str
    fraction: float


class ToolBody(msgspec.Struct, frozen=True):
    """A tool's argument."""

    argument: str


class ToolReply(msgspec.Struct, frozen=True):
    """A tool's result."""

    result: str


class ServiceServer:
    """The routes of all services but the engines, on one address."""

    app = Klein()

    def __init__(self, models: RegionModels) -> None:
        """Serve the models under their faults."""
        clock = models.clock
        self._models = models
        self._log = HttpExchange(clock, models.log_faults.transport)
        self._list = HttpExchange(clock, models.machine_list_faults.transport)
        self._weights = HttpExchange(clock, models.weight_store_faults.transport)
        self._tools = HttpExchange(clock, models.tool_faults.transport)

    @app.route("/v1/streams/<path:stream>/records", methods=["POST"])
    def append(self, request: Request, stream: str) -> Reply:
        """Append records."""
        body = read_body(request, AppendBody)

        def effect() -> Result[AppendReply, EngineRefusal]:
            return body.map(lambda asked: self._append(stream, asked.records))

        return self._log.answer(request, effect, _unchanged)

    @app.route("/v1/streams/<path:stream>/records", methods=["GET"])
    def read(self, request: Request, stream: str) -> Reply:
        """Read records, waiting for the first if asked."""

        def effect() -> Outcome[LogPage]:
            offset = number_argument(request, "offset", 0)
            limit = number_argument(request, "limit", DEFAULT_RECORD_LIMIT)
            wait = number_argument(request, "wait", 0.0)
            if isinstance(offset, Err):
                return offset
            if isinstance(limit, Err):
                return limit
            if isinstance(wait, Err):
                return wait
            page: Deferred[LogPage] = self._models.log.read_waiting(
                stream,
                LogOffset(int(offset.ok_value)),
                int(limit.ok_value),
                wait.ok_value,
            )
            return page.addCallback(Ok)

        return self._log.answer(request, effect, _unchanged)

    @app.route("/v1/machines", methods=["GET"])
    def machines(self, request: Request) -> Reply:
        """Give the lagging list, or what changed in it."""

        def effect() -> Result[MachineChanges, EngineRefusal]:
            region = RegionName(text_argument(request, "region") or "")
            if text_argument(request, "after") is None:
                return Ok(self._models.machines.changes(region, None))
            after = number_argument(request, "after", 0)
            return after.map(
                lambda version: self._models.machines.changes(region, int(version))
            )

        return self._list.answer(request, effect, _unchanged)

    @app.route("/v1/pulls", methods=["POST"])
    def start_pull(self, request: Request) -> Reply:
        """Begin a pull."""
        body = read_body(request, PullBody)
        return self._weights.answer(
            request,
            lambda: body.and_then(
                lambda asked: self._models.weights.start(asked.weights, asked.engine)
            ),
            PullReply,
        )

    @app.route("/v1/pulls/<path:pull>", methods=["GET"])
    def pull(self, request: Request, pull: str) -> Reply:
        """Give the state of a pull."""
        return self._weights.answer(
            request,
            lambda: self._models.weights.fraction(RequestId(pull)),
            lambda part: PullState(FINISHED if part >= 1.0 else RUNNING, part),
        )

    @app.route("/v1/tools/<path:tool>", methods=["POST"])
    def use_tool(self, request: Request, tool: str) -> Reply:
        """Use a tool."""

        def effect() -> Outcome[str]:
            body = read_body(request, ToolBody)
            if isinstance(body, Err):
                return body
            result = self._models.tools.use(tool, body.ok_value.argument)
            return result.addCallback(Ok)

        return self._tools.answer(request, effect, ToolReply)

    def _append(self, stream: str, records: tuple[LogRecord, ...]) -> AppendReply:
        first = self._models.log.append(stream, records)
        return AppendReply(first, LogOffset(first + len(records)))


def _unchanged(value: AppendReply | LogPage | MachineChanges) -> object:
    return value
