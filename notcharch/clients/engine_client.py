"""The client of model engines and application engines."""

from collections.abc import Callable
from random import Random

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IAgent

from notcharch.clients.backoff import Backoff, BackoffPolicy
from notcharch.clients.engine_requests import EngineRequests
from notcharch.clients.engine_stream import ResumingEngineStream, StreamTools
from notcharch.clients.json_http import GET, POST, JsonHttp
from notcharch.clients.ports import (
    CachedProgram,
    CacheEvents,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineStream,
    ExportedCache,
)
from notcharch.errors import Problem, ProblemCode
from notcharch.settings.schema import PlatformSection
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import Epoch, PoolName, ProgramId, RequestId

RESUME_POLICY = BackoffPolicy(first_seconds=0.05, longest_seconds=2.0, tries=8)
"""Retries without progress, within an engine's default `resume_seconds` of 10."""

CANCEL_POLICY = BackoffPolicy(first_seconds=0.1, longest_seconds=2.0, tries=4)


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of a completion: OpenAI's, with fields for fencing and resumption."""

    model: PoolName
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    request_id: RequestId
    program: ProgramId
    priority: int
    epoch: Epoch
    stream: bool = True
    resumable: bool = True


class CachedPrograms(msgspec.Struct, frozen=True):
    """The response to a reconciliation request."""

    programs: tuple[CachedProgram, ...]


class ReleaseBody(msgspec.Struct, frozen=True):
    """Frees a program's memory, unless the engine has seen a higher epoch."""

    program: ProgramId
    epoch: Epoch


class ReleaseReply(msgspec.Struct, frozen=True):
    """The number of blocks freed."""

    released_blocks: int


class ExportBody(msgspec.Struct, frozen=True):
    """Names the program whose cache is exported."""

    program: ProgramId


class ImportBody(msgspec.Struct, frozen=True):
    """Names an exported cache and the engine that has it."""

    program: ProgramId
    source: str
    handle: str


class ImportReply(msgspec.Struct, frozen=True):
    """The number of tokens imported."""

    tokens: int


class OrderReply(msgspec.Struct, frozen=True):
    """An accepted order."""

    applied: bool


class EngineClient:
    """Implements `EnginePort` over HTTP."""

    def __init__(
        self,
        agent: IAgent,
        clock: IReactorTime,
        random: Random,
        settings: PlatformSection,
    ) -> None:
        """Take the time-out from the settings; `random` adds jitter to retries."""
        self._random = random
        self._http = JsonHttp(
            agent,
            clock,
            settings.request_seconds,
            "engine",
            ProblemCode.ENGINE_FAILED,
        )
        requests = EngineRequests(
            self._http, clock, lambda: Backoff(CANCEL_POLICY, random)
        )
        self._tools = StreamTools(agent, clock, requests, settings.request_seconds)

    def open_stream(
        self, address: str, request: EngineRequest, on_bytes: Callable[[bytes], None]
    ) -> EngineStream:
        """Open a stream; `on_bytes` receives the engine's server-sent events."""
        body = CompletionBody(
            request.pool,
            request.messages,
            request.max_tokens,
            request.request_id,
            request.program,
            request.priority,
            request.epoch,
        )
        backoff = Backoff(RESUME_POLICY, self._random)
        stream = ResumingEngineStream(self._tools, backoff, address, request, on_bytes)
        url = f"http://{address}/v1/chat/completions".encode("ascii")
        stream.start(url, _with_parameters(body, request.parameters))
        return stream

    def load(self, address: str) -> "Deferred[Result[EngineLoad, Problem]]":
        """Read the load report of the engine, which may lag."""
        return Deferred.fromCoroutine(
            self._http.call(GET, f"http://{address}/v1/load", EngineLoad)
        )

    def cache_events(
        self, address: str, after: int, limit: int
    ) -> "Deferred[Result[CacheEvents, Problem]]":
        """Read cache events after a sequence number."""
        url = f"http://{address}/v1/cache/events?after={after}&limit={limit}"
        return Deferred.fromCoroutine(self._http.call(GET, url, CacheEvents))

    def cached_programs(
        self, address: str
    ) -> "Deferred[Result[tuple[CachedProgram, ...], Problem]]":
        """Read the programs now in the cache; used for reconciliation."""
        return Deferred.fromCoroutine(self._cached_programs(address))

    def release(
        self, address: str, program: ProgramId, epoch: Epoch
    ) -> "Deferred[Result[int, Problem]]":
        """Free a program's memory; return the number of blocks freed."""
        return Deferred.fromCoroutine(self._release(address, program, epoch))

    def export_cache(
        self, address: str, program: ProgramId
    ) -> "Deferred[Result[ExportedCache, Problem]]":
        """Export a program's KV cache."""
        url = f"http://{address}/v1/cache/export"
        return Deferred.fromCoroutine(
            self._http.call(POST, url, ExportedCache, ExportBody(program))
        )

    def import_cache(
        self, address: str, program: ProgramId, source: str, handle: str
    ) -> "Deferred[Result[int, Problem]]":
        """Import an exported KV cache; return its number of tokens."""
        return Deferred.fromCoroutine(
            self._import_cache(address, ImportBody(program, source, handle))
        )

    def order(
        self, address: str, order: EngineOrder
    ) -> "Deferred[Result[None, Problem]]":
        """Send a fenced order."""
        return Deferred.fromCoroutine(self._order(address, order))

    async def _cached_programs(
        self, address: str
    ) -> Result[tuple[CachedProgram, ...], Problem]:
        url = f"http://{address}/v1/cache/programs"
        reply = await self._http.call(GET, url, CachedPrograms)
        if isinstance(reply, Err):
            return reply
        return Ok(reply.ok_value.programs)

    async def _release(
        self, address: str, program: ProgramId, epoch: Epoch
    ) -> Result[int, Problem]:
        url = f"http://{address}/v1/cache/release"
        body = ReleaseBody(program, epoch)
        reply = await self._http.call(POST, url, ReleaseReply, body)
        if isinstance(reply, Err):
            return reply
        return Ok(reply.ok_value.released_blocks)

    async def _import_cache(
        self, address: str, body: ImportBody
    ) -> Result[int, Problem]:
        url = f"http://{address}/v1/cache/import"
        reply = await self._http.call(POST, url, ImportReply, body)
        if isinstance(reply, Err):
            return reply
        return Ok(reply.ok_value.tokens)

    async def _order(self, address: str, order: EngineOrder) -> Result[None, Problem]:
        url = f"http://{address}/v1/orders"
        reply = await self._http.call(POST, url, OrderReply, order)
        if isinstance(reply, Err):
            return reply
        return Ok(None)


def _with_parameters(body: CompletionBody, parameters: bytes) -> bytes:
    """Return a body's JSON with the fields of another JSON object appended."""
    encoded = msgspec.json.encode(body)
    further = parameters[1:-1]
    return encoded[:-1] + b"," + further + b"}" if further else encoded
