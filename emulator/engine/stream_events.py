"""Server-sent events of a run, written as text without a JSON encoder per token.

Event N is the chunk of token N; the event after the last token carries the finish
reason and the usage, and `data: [DONE]` follows it. Answers are plain ASCII without
quotes or backslashes, so they need no escaping.
"""

import msgspec

from emulator.engine.answers import BYTES_PER_TOKEN, ToolFunction
from emulator.engine.runs import EngineRun, RunState
from notcharch.values.identifiers import PoolName, RequestId

DONE_EVENT = b"data: [DONE]\n\n"


class _ChunkHead(msgspec.Struct, frozen=True):
    """The fields that all chunks of a stream share."""

    id: RequestId
    object: str
    created: int
    model: PoolName


class _PromptDetails(msgspec.Struct, frozen=True):
    cached_tokens: int


class _Usage(msgspec.Struct, frozen=True):
    """Usage as OpenAI shapes it."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: _PromptDetails


class _ToolCallDelta(msgspec.Struct, frozen=True):
    index: int
    id: str
    type: str
    function: ToolFunction


class _ToolDelta(msgspec.Struct, frozen=True):
    """The last chunk's addition to an answer that calls a tool."""

    tool_calls: tuple[_ToolCallDelta, ...]


def render_events(run: EngineRun, start: int, stop: int) -> bytes:
    """Give events `start` … `stop` - 1, with the closing line after the last one."""
    if not run.event_head:
        run.event_head = _head(run)
    head = run.event_head
    tokens = min(stop, run.answer.tokens)
    content = run.answer.content
    parts = [
        f"id: {number}\ndata: {head}"
        f'{{"index":0,"delta":{{{_role(number)}"content":"'
        f"{content[number * BYTES_PER_TOKEN : (number + 1) * BYTES_PER_TOKEN]}"
        '"},"finish_reason":null}]}\n\n'
        for number in range(start, tokens)
    ]
    rendered = "".join(parts).encode("ascii")
    if run.state is RunState.FINISHED and start < stop and stop == run.events:
        rendered += _last_event(run, head)
    return rendered


def _head(run: EngineRun) -> str:
    head = _ChunkHead(
        run.request.request_id,
        "chat.completion.chunk",
        int(run.accepted_at),
        run.request.pool,
    )
    return msgspec.json.encode(head).decode()[:-1] + ',"choices":['


def _role(number: int) -> str:
    return "" if number else '"role":"assistant",'


def _last_event(run: EngineRun, head: str) -> bytes:
    usage = run.usage
    details = _PromptDetails(usage.cached_tokens)
    usage_json = msgspec.json.encode(
        _Usage(
            usage.prompt_tokens, usage.completion_tokens, usage.total_tokens, details
        )
    ).decode()
    text = (
        f"id: {run.answer.tokens}\ndata: {head}"
        f'{{"index":0,"delta":{_last_delta(run)},"finish_reason":"{run.answer.finish_reason.value}"}}],'
        f'"usage":{usage_json}}}\n\n'
    )
    return text.encode() + DONE_EVENT


def _last_delta(run: EngineRun) -> str:
    call = run.answer.tool_call
    if call is None:
        return "{}"
    delta = _ToolDelta((_ToolCallDelta(0, call.id, call.type, call.function),))
    return msgspec.json.encode(delta).decode()
