"""Answers in the format of OpenAI chat completions."""

import msgspec

from notcharch.errors import Problem
from notcharch.values.chat import Answer, ChatMessage, TokenUsage
from notcharch.values.identifiers import CallSequence, ProgramId, ServiceName
from notcharch.wire.http_problem import HttpProblem, http_problem

DONE_EVENT = b"data: [DONE]\n\n"


class PromptTokensDetails(msgspec.Struct, frozen=True):
    """Prompt tokens that were in the engine's cache."""

    cached_tokens: int


class CompletionUsage(msgspec.Struct, frozen=True):
    """Token usage of one answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptTokensDetails


class CompletionMessage(msgspec.Struct, frozen=True):
    """The message of an answer; `content` is null beside tool calls."""

    role: str
    content: str | None
    tool_calls: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class CompletionChoice(msgspec.Struct, frozen=True):
    """The only choice of an answer."""

    index: int
    message: CompletionMessage
    finish_reason: str


class ChatCompletion(msgspec.Struct, frozen=True):
    """A complete answer; `program` and `sequence` are not part of the OpenAI format."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[CompletionChoice, ...]
    usage: CompletionUsage
    program: ProgramId
    sequence: CallSequence


class ChunkChoice(msgspec.Struct, frozen=True):
    """The only choice of a chunk."""

    index: int
    delta: msgspec.Raw
    finish_reason: str | None


class ChatCompletionChunk(msgspec.Struct, frozen=True):
    """One event of a streamed answer."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: CompletionUsage | None = None


class ErrorChunk(msgspec.Struct, frozen=True):
    """An error inside a stream, in the format that OpenAI clients expect."""

    error: HttpProblem


class AnswerSource(msgspec.Struct, frozen=True):
    """Identifies the call of an answer; `created` is in seconds since 1970."""

    program: ProgramId
    sequence: CallSequence
    service: ServiceName
    created: int

    @property
    def completion_id(self) -> str:
        """Return the id of the completion, which is the same at every daemon."""
        return f"chatcmpl-{self.program}-{self.sequence}"


def completion_body(source: AnswerSource, answer: Answer) -> bytes:
    """Return a complete answer as the JSON of a chat completion."""
    message = CompletionMessage(
        answer.message.role,
        answer.message.content,
        answer.message.tool_calls,
    )
    choice = CompletionChoice(0, message, answer.finish_reason.value)
    return msgspec.json.encode(
        ChatCompletion(
            id=source.completion_id,
            object="chat.completion",
            created=source.created,
            model=source.service,
            choices=(choice,),
            usage=usage_of(answer.usage),
            program=source.program,
            sequence=source.sequence,
        )
    )


def completion_events(source: AnswerSource, answer: Answer) -> bytes:
    """Return a complete answer as stream events: content, end, `[DONE]`."""
    delta = msgspec.json.encode(_delta_of(answer.message))
    content = ChunkChoice(0, msgspec.Raw(delta), None)
    end = ChunkChoice(0, msgspec.Raw(b"{}"), answer.finish_reason.value)
    chunks = (
        _chunk(source, content, None),
        _chunk(source, end, usage_of(answer.usage)),
    )
    return b"".join(_event(msgspec.json.encode(c)) for c in chunks) + DONE_EVENT


def error_event(problem: Problem) -> bytes:
    """Return a problem as a stream event."""
    return _event(msgspec.json.encode(ErrorChunk(http_problem(problem))))


def usage_of(usage: TokenUsage) -> CompletionUsage:
    """Return token usage in the OpenAI format."""
    return CompletionUsage(
        usage.prompt_tokens,
        usage.completion_tokens,
        usage.total_tokens,
        PromptTokensDetails(usage.cached_tokens),
    )


def _delta_of(message: ChatMessage) -> CompletionMessage:
    calls = message.tool_calls
    if calls is not msgspec.UNSET:
        calls = _with_indexes(calls)
    return CompletionMessage(message.role, message.content, calls)


def _with_indexes(tool_calls: msgspec.Raw) -> msgspec.Raw:
    """Add the index that chunks, unlike complete answers, have for each tool call."""
    calls = msgspec.json.decode(tool_calls, type=list[dict[str, msgspec.Raw]])
    numbered = [{"index": index, **call} for index, call in enumerate(calls)]
    return msgspec.Raw(msgspec.json.encode(numbered))


def _chunk(
    source: AnswerSource, choice: ChunkChoice, usage: CompletionUsage | None
) -> ChatCompletionChunk:
    return ChatCompletionChunk(
        id=source.completion_id,
        object="chat.completion.chunk",
        created=source.created,
        model=source.service,
        choices=(choice,),
        usage=usage,
    )


def _event(payload: bytes) -> bytes:
    return b"data: " + payload + EVENT_END


EVENT_END = b"\n\n"
