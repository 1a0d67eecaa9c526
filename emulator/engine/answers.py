"""Deterministic answers: a digest of the whole prompt, then filler.

A test that knows the prompt knows the answer, so a lost or mixed history shows in
the answer's first characters.
"""

import hashlib
import re
from collections.abc import Sequence

import msgspec

from notcharch.values.chat import ChatMessage, FinishReason

BYTES_PER_TOKEN = 4
MESSAGE_OVERHEAD_TOKENS = 4
DIGEST_CHARACTERS = 16
MINIMUM_HASHED_TOKENS = 14
HASHED_TOKENS_RANGE = 401
"""14 to 414 tokens, 214 on average: letter-scale 7.5 M tokens over 35,000 requests."""

ANSWER_TOKENS_MARKER = re.compile(r"\[answer-tokens:(\d+)\]")
TOOL_CALL_MARKER = re.compile(r"\[tool-call:([A-Za-z0-9_-]+)\]")
TOOL_CALL_TYPE = "function"
NO_ARGUMENTS = "{}"


class ToolFunction(msgspec.Struct, frozen=True):
    """The function that a tool call names, its arguments as JSON text."""

    name: str
    arguments: str


class ToolCall(msgspec.Struct, frozen=True):
    """A tool call, in OpenAI's shape."""

    id: str
    type: str
    function: ToolFunction


class PlannedAnswer(msgspec.Struct, frozen=True):
    """What an engine will answer; `tokens` are of 4 ASCII characters each."""

    content: str
    tokens: int
    finish_reason: FinishReason
    tool_call: ToolCall | None = None


def message_tokens(message: ChatMessage) -> int:
    """Count a message as the engines do: 4 plus one for each 4 bytes begun."""
    content = message.content
    if not content:
        return MESSAGE_OVERHEAD_TOKENS
    size = len(content) if content.isascii() else len(content.encode())
    return MESSAGE_OVERHEAD_TOKENS - (-size // BYTES_PER_TOKEN)


def prompt_tokens(messages: Sequence[ChatMessage]) -> int:
    """Count the tokens of a whole prompt."""
    return sum(map(message_tokens, messages))


def prompt_digest(messages: Sequence[ChatMessage]) -> str:
    """Digest all messages in order, as 16 hex characters.

    It covers roles, contents, tool calls (whatever their spacing) and their ids.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_CHARACTERS // 2)
    for message in messages:
        content = (message.content or "").encode()
        digest.update(f"{message.role}:{len(content)}:".encode())
        digest.update(content)
        digest.update(_tool_part(message))
    return digest.hexdigest()


def plan_answer(messages: Sequence[ChatMessage], max_tokens: int) -> PlannedAnswer:
    """Plan the answer to a prompt; never more than `max_tokens` (at least 1)."""
    digest = prompt_digest(messages)
    question = _last_question(messages)
    wanted = _marked_tokens(question) or _hashed_tokens(digest)
    tokens = min(wanted, max(1, max_tokens))
    content = _content(digest, tokens)
    if tokens < wanted:
        return PlannedAnswer(content, tokens, FinishReason.LENGTH)
    tool_call = _marked_tool_call(question, digest)
    reason = FinishReason.TOOL_CALLS if tool_call else FinishReason.STOP
    return PlannedAnswer(content, tokens, reason, tool_call)


def expected_answer(messages: Sequence[ChatMessage], max_tokens: int) -> str:
    """Give the text that every engine answers to these messages.

    It starts with `prompt_digest(messages)` (cut off below 4 tokens). Its length in
    tokens is that of a marker `[answer-tokens:37]` in the last user message, else
    drawn from the digest; never more than `max_tokens`. A marker `[tool-call:search]`
    there adds a call of the tool `search` to the answer, unless it is cut short.
    """
    return plan_answer(messages, max_tokens).content


def _last_question(messages: Sequence[ChatMessage]) -> str:
    for message in reversed(messages):
        if message.role == "user":
            return message.content or ""
    return ""


def _marked_tokens(question: str) -> int | None:
    found = ANSWER_TOKENS_MARKER.search(question)
    return max(1, int(found.group(1))) if found else None


def _marked_tool_call(question: str, digest: str) -> ToolCall | None:
    found = TOOL_CALL_MARKER.search(question)
    if found is None:
        return None
    function = ToolFunction(found.group(1), NO_ARGUMENTS)
    return ToolCall(f"call-{digest}", TOOL_CALL_TYPE, function)


def _tool_part(message: ChatMessage) -> bytes:
    calls = msgspec.json.decode(message.tool_calls) if message.tool_calls else None
    if calls is None and message.tool_call_id is None:
        return b""
    return msgspec.json.encode((message.tool_call_id, calls), order="sorted")


def _hashed_tokens(digest: str) -> int:
    return MINIMUM_HASHED_TOKENS + int(digest, 16) % HASHED_TOKENS_RANGE


def _content(digest: str, tokens: int) -> str:
    size = tokens * BYTES_PER_TOKEN
    repeats = size // (DIGEST_CHARACTERS + 1) + 1
    return (f"{digest} " * repeats)[:size]
