"""Typed interfaces of the external systems; see docs/platform-protocols.md.

A client returns `Err(Problem)` for every external failure. `ran` in the problem is
`no` only if the request certainly had no effect.
"""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem
from notcharch.values.chat import ChatMessage, FinishReason, TokenUsage
from notcharch.values.identifiers import (
    EngineName,
    Epoch,
    LogOffset,
    PoolName,
    ProgramId,
    RecordId,
    RegionName,
    RequestId,
    ZoneName,
)


class MachineKind(enum.Enum):
    """What a machine of the list runs."""

    DAEMON = "daemon"
    MODEL_ENGINE = "model_engine"
    APPLICATION_ENGINE = "application_engine"


class MachineState(enum.Enum):
    """A machine's state in the list, which lags by seconds."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Machine(msgspec.Struct, frozen=True):
    """One entry of the machine list; `address` is `host:port`."""

    name: str
    kind: MachineKind
    region: RegionName
    zone: ZoneName
    address: str
    state: MachineState
    pools: tuple[PoolName, ...] = ()
    slots: int = 0


class MachineChanges(msgspec.Struct, frozen=True):
    """The list after `version`; complete when `full`, else changes only."""

    version: int
    full: bool
    machines: tuple[Machine, ...]


class MachineListPort(Protocol):
    """The platform's lagging list of live and leaving machines."""

    def changes(
        self, region: RegionName, after: int | None
    ) -> "Deferred[Result[MachineChanges, Problem]]":
        """Return the changes since version `after`, or the full list for None."""


class LogRecord(msgspec.Struct, frozen=True):
    """A record to append, or one read; `data` is text (JSON by convention)."""

    id: RecordId
    data: str


class StoredRecord(msgspec.Struct, frozen=True):
    """A record with its offset in the stream."""

    offset: LogOffset
    id: RecordId
    data: str


class LogPage(msgspec.Struct, frozen=True):
    """Records from the requested offset; `end_offset` is the end of the stream."""

    records: tuple[StoredRecord, ...]
    next_offset: LogOffset
    end_offset: LogOffset


class LogPort(Protocol):
    """The append-only log service."""

    def append(
        self, stream: str, records: tuple[LogRecord, ...]
    ) -> "Deferred[Result[LogOffset, Problem]]":
        """Append in order; return the first offset. `ran: unknown` without a response."""

    def read(
        self, stream: str, offset: LogOffset, limit: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[LogPage, Problem]]":
        """Read up to `limit` records from `offset`, waiting for the first if requested."""


class EngineRequest(msgspec.Struct, frozen=True):
    """One run of a call on an engine; see docs/platform-protocols.md.

    `parameters` is a JSON object of other OpenAI parameters (temperature,
    tools, …), which are passed on unchanged.
    """

    request_id: RequestId
    pool: PoolName
    program: ProgramId
    epoch: Epoch
    priority: int
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    parameters: bytes = b"{}"


class StreamEnd(msgspec.Struct, frozen=True):
    """The end of a complete stream, with the full content for the history."""

    content: str
    tool_calls: msgspec.Raw | None
    finish_reason: FinishReason
    usage: TokenUsage


class EngineStream(Protocol):
    """A running stream. Pause and resume apply back-pressure to the engine."""

    finished: "Deferred[Result[StreamEnd, Problem]]"
    """Fires once; `ran` of an Err states whether the request was executed."""

    def pause(self) -> None:
        """Stop reading from the engine."""

    def resume(self) -> None:
        """Resume reading."""

    def cancel(self) -> None:
        """Cancel the run on the engine; `finished` fires with an Err."""


class EngineLoad(msgspec.Struct, frozen=True):
    """An engine's load, from its latest report."""

    sequence: int
    measured_at: float
    running: int
    waiting: int
    slots: int
    free_blocks: int
    total_blocks: int
    block_tokens: int
    prefill_tokens_per_second: float
    decode_seconds_per_token: float
    state: MachineState


class CacheEventKind(enum.Enum):
    """A change of a program's cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """`tokens` is the program's cached tokens on the engine after the event."""

    sequence: int
    kind: CacheEventKind
    program: ProgramId
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Events after the requested sequence; gaps in `sequence` mean missed events."""

    events: tuple[CacheEvent, ...]
    next: int


class CachedProgram(msgspec.Struct, frozen=True):
    """The number of tokens of one program in an engine's cache."""

    program: ProgramId
    tokens: int


class ExportedCache(msgspec.Struct, frozen=True):
    """A program's exported KV cache, to be imported elsewhere."""

    handle: str
    tokens: int


class OrderKind(enum.Enum):
    """Fenced orders that an engine accepts."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"
    DRAIN = "drain"
    UNDRAIN = "undrain"


class EngineOrder(msgspec.Struct, frozen=True):
    """An order; `order_id` makes it idempotent, `epoch` fences stewards."""

    order_id: RequestId
    epoch: Epoch
    order: OrderKind
    argument: str


class EnginePort(Protocol):
    """An engine, by address (`host:port`)."""

    def open_stream(
        self, address: str, request: EngineRequest, on_bytes: Callable[[bytes], None]
    ) -> EngineStream:
        """Open a stream; `on_bytes` receives the engine's server-sent events.

        A stream that breaks after it began is resumed by offset before it
        fails, and `on_bytes` never receives an event twice.
        """

    def load(self, address: str) -> "Deferred[Result[EngineLoad, Problem]]":
        """Read the load report of the engine, which may lag."""

    def cache_events(
        self, address: str, after: int, limit: int
    ) -> "Deferred[Result[CacheEvents, Problem]]":
        """Read cache events after a sequence number."""

    def cached_programs(
        self, address: str
    ) -> "Deferred[Result[tuple[CachedProgram, ...], Problem]]":
        """Read the programs now in the cache; used for reconciliation."""

    def release(
        self, address: str, program: ProgramId, epoch: Epoch
    ) -> "Deferred[Result[int, Problem]]":
        """Free a program's memory; return the number of blocks freed."""

    def export_cache(
        self, address: str, program: ProgramId
    ) -> "Deferred[Result[ExportedCache, Problem]]":
        """Export a program's KV cache."""

    def import_cache(
        self, address: str, program: ProgramId, source: str, handle: str
    ) -> "Deferred[Result[int, Problem]]":
        """Import an exported KV cache; return its number of tokens."""

    def order(
        self, address: str, order: EngineOrder
    ) -> "Deferred[Result[None, Problem]]":
        """Send a fenced order."""


class WeightStorePort(Protocol):
    """The rate-limited weight store."""

    def start_pull(
        self, weights: str, engine: EngineName
    ) -> "Deferred[Result[RequestId, Problem]]":
        """Start a pull; a rejection carries `retry_after`."""

    def pull_fraction(self, pull: RequestId) -> "Deferred[Result[float, Problem]]":
        """Return the completed fraction, 0.0 to 1.0."""
