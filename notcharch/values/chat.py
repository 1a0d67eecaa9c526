"""Chat messages, answers and token usage, in the shape of OpenAI's interface."""

import enum

import msgspec

from notcharch.values.identifiers import EngineName


class ChatMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One message of a program's history.

    `tool_calls` is kept as raw JSON: the system stores it and never reads it. It is
    UNSET when there are none (msgspec cannot read a union of raw JSON and null).
    """

    role: str
    content: str | None = None
    name: str | None = None
    tool_call_id: str | None = None
    tool_calls: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class TokenUsage(msgspec.Struct, frozen=True):
    """Tokens that one run of a call used, as the engine reported them."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int = 0

    @property
    def total_tokens(self) -> int:
        """Prompt and completion together, which is what a budget pays for."""
        return self.prompt_tokens + self.completion_tokens


class FinishReason(enum.Enum):
    """Why an engine stopped generating."""

    STOP = "stop"
    LENGTH = "length"
    TOOL_CALLS = "tool_calls"


class Answer(msgspec.Struct, frozen=True):
    """The whole answer to one call, as it is stored and given to the caller."""

    message: ChatMessage
    usage: TokenUsage
    finish_reason: FinishReason


class PrefixLocation(msgspec.Struct, frozen=True):
    """The engine that probably holds a program's prefix in its cache."""

    engine: EngineName
    tokens: int
