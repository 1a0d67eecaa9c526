"""The HTTP interface of one engine."""

from typing import Any

import msgspec
from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Request

from emulator.engine.host import EngineHost, EnginesByAddress
from emulator.engine.refusals import EngineRefusal, RefusalCode
from emulator.engine.runs import EngineRun, RunStatus
from emulator.http.exchange import (
    HttpExchange,
    Reply,
    number_argument,
    read_body,
    refusal_reply,
)
from emulator.http.stream_writer import StreamWriter
from notcharch.clients.ports import (
    CachedProgram,
    CacheEvents,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    ExportedCache,
)
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import Epoch, PoolName, ProgramId, RequestId

DEFAULT_MAX_TOKENS = 1024
DEFAULT_EVENT_LIMIT = 1000


class CompletionBody(msgspec.Struct, frozen=True):
    """OpenAI's body, as far as it is read, and the fields that fence and resume it."""

    model: PoolName
    messages: tuple[ChatMessage, ...]
    request_id: RequestId
    program: ProgramId
    epoch: Epoch
    priority: int = 0
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = True
    resumable: bool = True


class CachedPrograms(msgspec.Struct, frozen=True):
    """What is truly held."""

    programs: tuple[CachedProgram, ...]


class ReleaseBody(msgspec.Struct, frozen=True):
    """Frees a program's memory."""

    program: ProgramId
    epoch: Epoch


class ReleaseReply(msgspec.Struct, frozen=True):
    """How many blocks were freed."""

    released_blocks: int


class ExportBody(msgspec.Struct, frozen=True):
    """Names the program to export."""

    program: ProgramId


class ImportBody(msgspec.Struct, frozen=True):
    """Names an export of another engine of this emulator."""

    program: ProgramId
    source: str
    handle: str


class ImportReply(msgspec.Struct, frozen=True):
    """How much was imported."""

    tokens: int


class OrderReply(msgspec.Struct, frozen=True):
    """An accepted order."""

    applied: bool = True


class EngineServer:
    """The routes of one engine; imports find their source in `engines`."""

    app = Klein()

    def __init__(self, host: EngineHost, engines: EnginesByAddress) -> None:
        """Serve a model under its faults."""
        self._host = host
        self._model = host.model
        self._engines = engines
        self._exchange = HttpExchange(host.model.clock, host.transport)

    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(self, request: Request) -> "Deferred[Any]":
        """Accept a request and stream its answer."""
        body = read_body(request, CompletionBody)
        blocked = self._exchange.blocked(request)
        if blocked is not None:
            return blocked
        accepted = body.and_then(self._submit)
        if isinstance(accepted, Err):
            return self._exchange.late(refusal_reply(request, accepted.err_value))
        run = accepted.ok_value
        writer = StreamWriter(self._model, run, request, 0)
        lost = self._exchange.lose(request)
        if lost is not None:
            self._model.detach(run, writer)
            return lost
        return writer.start()

    @app.route("/v1/requests/<path:request_id>/stream", methods=["GET"])
    def stream(self, request: Request, request_id: str) -> "Deferred[Any]":
        """Stream a known request from an event on."""
        blocked = self._exchange.blocked(request)
        if blocked is not None:
            return blocked
        run = self._model.find(RequestId(request_id))
        offset = number_argument(request, "offset", 0)
        if run is None:
            refusal = EngineRefusal(RefusalCode.UNKNOWN_REQUEST, request_id)
            return succeed(refusal_reply(request, refusal))
        if isinstance(offset, Err):
            return succeed(refusal_reply(request, offset.err_value))
        return StreamWriter(
            self._model, run, request, max(0, int(offset.ok_value))
        ).start()

    @app.route("/v1/requests/<path:request_id>", methods=["GET"])
    def status(self, request: Request, request_id: str) -> Reply:
        """Say how far a request is."""
        return self._exchange.answer(
            request, lambda: Ok(self._model.status(RequestId(request_id))), _unchanged
        )

    @app.route("/v1/requests/<path:request_id>", methods=["DELETE"])
    def cancel(self, request: Request, request_id: str) -> Reply:
        """Cancel a request."""
        return self._exchange.answer(
            request, lambda: Ok(self._model.cancel(RequestId(request_id))), _unchanged
        )

    @app.route("/v1/load", methods=["GET"])
    def load(self, request: Request) -> Reply:
        """Give the lagging load report."""
        return self._exchange.answer(
            request, lambda: Ok(self._model.load()), _unchanged
        )

    @app.route("/v1/cache/events", methods=["GET"])
    def cache_events(self, request: Request) -> Reply:
        """Give cache events after a sequence number."""

        def effect() -> Result[CacheEvents, EngineRefusal]:
            after = number_argument(request, "after", 0)
            limit = number_argument(request, "limit", DEFAULT_EVENT_LIMIT)
            if isinstance(after, Err):
                return after
            return limit.map(
                lambda most: self._model.cache_events(int(after.ok_value), int(most))
            )

        return self._exchange.answer(request, effect, _unchanged)

    @app.route("/v1/cache/programs", methods=["GET"])
    def cached_programs(self, request: Request) -> Reply:
        """Give the truth of what is held."""
        return self._exchange.answer(
            request, lambda: Ok(self._model.cached_programs()), CachedPrograms
        )

    @app.route("/v1/cache/release", methods=["POST"])
    def release(self, request: Request) -> Reply:
        """Free a program's memory."""
        body = read_body(request, ReleaseBody)
        return self._exchange.answer(
            request,
            lambda: body.and_then(
                lambda asked: self._model.release(asked.program, asked.epoch)
            ),
            ReleaseReply,
        )

    @app.route("/v1/cache/export", methods=["POST"])
    def export(self, request: Request) -> Reply:
        """Export a program's cache."""

        def effect() -> (
            "Result[ExportedCache, EngineRefusal] | Deferred[Result[ExportedCache, EngineRefusal]]"
        ):
            body = read_body(request, ExportBody)
            if isinstance(body, Err):
                return body
            return self._model.transfers.export(body.ok_value.program)

        return self._exchange.answer(request, effect, _unchanged)

    @app.route("/v1/cache/import", methods=["POST"])
    def import_cache(self, request: Request) -> Reply:
        """Import a program's cache from another engine of this emulator."""

        def effect() -> (
            "Result[int, EngineRefusal] | Deferred[Result[int, EngineRefusal]]"
        ):
            body = read_body(request, ImportBody)
            if isinstance(body, Err):
                return body
            asked = body.ok_value
            source = self._engines.get(asked.source)
            exports = source.model.transfers if source else None
            return self._model.transfers.import_from(
                asked.program, exports, asked.handle
            )

        return self._exchange.answer(request, effect, ImportReply)

    @app.route("/v1/orders", methods=["POST"])
    def order(self, request: Request) -> Reply:
        """Carry out a fenced order."""
        body = read_body(request, EngineOrder)
        return self._exchange.answer(
            request,
            lambda: body.and_then(self._model.orders.apply),
            lambda _: OrderReply(),
        )

    def _submit(self, body: CompletionBody) -> Result[EngineRun, EngineRefusal]:
        if not body.stream:
            return Err(EngineRefusal(RefusalCode.BAD_REQUEST, "stream must be true"))
        return self._model.submit(
            EngineRequest(
                body.request_id,
                body.model,
                body.program,
                body.epoch,
                body.priority,
                body.messages,
                body.max_tokens,
            )
        )


def _unchanged(
    value: RunStatus | EngineLoad | CacheEvents | ExportedCache,
) -> object:
    return value
