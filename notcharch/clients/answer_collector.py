"""Collects a stream's events and decodes the complete response in batches.

Tokens are relayed as bytes. The content, usage and finish reason for the history are
decoded in batches, which is cheaper than decoding each token and bounds the
undecoded buffer.
"""

import re

import msgspec
from result import Err, Ok, Result

from notcharch.clients.failures import ErrorBody
from notcharch.clients.ports import StreamEnd
from notcharch.clients.server_sent_events import LAST_EVENT, last_event_number
from notcharch.clients.tool_calls import ToolCallDelta, ToolCallMerger
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.values.chat import FinishReason, TokenUsage
from notcharch.values.decoding import DECODING_ERRORS

BATCH_BYTES = 16 * 1024
"""Size at which a stream's undecoded events are decoded."""

_DATA = re.compile(rb"^data: (\{.*)$", re.MULTILINE)


class PromptDetails(msgspec.Struct, frozen=True, gc=False):
    """The part of the prompt that came from the cache."""

    cached_tokens: int = 0


class ChunkUsage(msgspec.Struct, frozen=True, gc=False):
    """The usage of the last chunk, in OpenAI's format."""

    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: PromptDetails | None = None


class ChunkDelta(msgspec.Struct, frozen=True, gc=False):
    """The content that one chunk adds to the response."""

    content: str | None = None
    tool_calls: tuple[ToolCallDelta, ...] = ()


class ChunkChoice(msgspec.Struct, frozen=True, gc=False):
    """The only choice of a chunk."""

    delta: ChunkDelta = ChunkDelta()
    finish_reason: FinishReason | None = None


class Chunk(msgspec.Struct, frozen=True, gc=False):
    """One chunk of the stream; unused fields are left out."""

    choices: tuple[ChunkChoice, ...] = ()
    usage: ChunkUsage | None = None
    error: ErrorBody | None = None


_CHUNK_DECODER = msgspec.json.Decoder(Chunk)


class AnswerCollector:
    """Buffers the events of one stream in order and builds the response at its end."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._decoded_number = -1
        self._contents: list[str] = []
        self._tool_calls = ToolCallMerger()
        self._finish_reason: FinishReason | None = None
        self._usage: ChunkUsage | None = None
        self._error: str | None = None
        self.is_done = False

    def add(self, events: bytes) -> None:
        """Add complete events in the order received."""
        self._pending.append(events)
        self._pending_bytes += len(events)
        if self._pending_bytes >= BATCH_BYTES:
            self._decode()

    def next_number(self) -> int:
        """Return the number of the first event not yet received."""
        self._decode()
        return self._decoded_number + 1

    def is_over(self) -> bool:
        """Return whether the stream has an error, its last event or a complete response."""
        self._decode()
        is_complete = self._finish_reason is not None and self._usage is not None
        return self.is_done or is_complete or self._error is not None

    def result(self) -> Result[StreamEnd, Problem]:
        """Return the complete response, or the problem with it."""
        self._decode()
        if self._error is not None:
            return Err(_engine_problem(self._error))
        if self._finish_reason is None or self._usage is None:
            return Err(_engine_problem("the stream ended without usage"))
        return Ok(
            StreamEnd(
                "".join(self._contents),
                self._tool_calls.merged(),
                self._finish_reason,
                _token_usage(self._usage),
            )
        )

    def _decode(self) -> None:
        if not self._pending:
            return
        events = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        number = last_event_number(events)
        if number is not None:
            self._decoded_number = number
        self.is_done = self.is_done or events.endswith(LAST_EVENT)
        try:
            chunks = _CHUNK_DECODER.decode_lines(b"\n".join(_DATA.findall(events)))
        except DECODING_ERRORS as error:
            self._error = self._error or f"unreadable chunk: {error}"
            return
        for chunk in chunks:
            self._add_chunk(chunk)

    def _add_chunk(self, chunk: Chunk) -> None:
        for choice in chunk.choices:
            if choice.delta.content:
                self._contents.append(choice.delta.content)
            if choice.delta.tool_calls:
                self._tool_calls.add(choice.delta.tool_calls)
            if choice.finish_reason is not None:
                self._finish_reason = choice.finish_reason
        if chunk.usage is not None:
            self._usage = chunk.usage
        if chunk.error is not None:
            self._error = f"{chunk.error.code}: {chunk.error.message}"


def _token_usage(usage: ChunkUsage) -> TokenUsage:
    details = usage.prompt_tokens_details or PromptDetails()
    return TokenUsage(
        usage.prompt_tokens, usage.completion_tokens, details.cached_tokens
    )


def _engine_problem(message: str) -> Problem:
    return Problem.of(ProblemCode.ENGINE_FAILED, message, ran=Ran.YES)
