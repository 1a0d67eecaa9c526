"""Merges the tool calls of a streamed response.

OpenAI streams a tool call in parts: the first part of an index has its id and name,
later parts extend its arguments.
"""

import msgspec


class FunctionDelta(msgspec.Struct, frozen=True):
    """A part of a tool call's function."""

    name: str | None = None
    arguments: str | None = None


class ToolCallDelta(msgspec.Struct, frozen=True):
    """A part of the tool call at `index`."""

    index: int = 0
    id: str | None = None
    type: str | None = None
    function: FunctionDelta = FunctionDelta()


class ToolFunction(msgspec.Struct, frozen=True):
    """The function that a tool call names, its arguments as JSON text."""

    name: str
    arguments: str


class ToolCall(msgspec.Struct, frozen=True):
    """A complete tool call, in the format of the message history."""

    id: str
    type: str
    function: ToolFunction


class _Parts(msgspec.Struct):
    id: str = ""
    type: str = "function"
    name: str = ""
    arguments: list[str] = []


class ToolCallMerger:
    """Merges tool call parts in stream order."""

    def __init__(self) -> None:
        """Start without any tool call."""
        self._calls: dict[int, _Parts] = {}

    def add(self, deltas: tuple[ToolCallDelta, ...]) -> None:
        """Add the parts of one chunk."""
        for delta in deltas:
            parts = self._calls.setdefault(delta.index, _Parts())
            parts.id = delta.id or parts.id
            parts.type = delta.type or parts.type
            parts.name = delta.function.name or parts.name
            if delta.function.arguments:
                parts.arguments.append(delta.function.arguments)

    def merged(self) -> msgspec.Raw | None:
        """Return the tool calls as raw JSON, or None if there are none."""
        if not self._calls:
            return None
        calls = [_build_tool_call(self._calls[index]) for index in sorted(self._calls)]
        return msgspec.Raw(msgspec.json.encode(calls))


def _build_tool_call(parts: _Parts) -> ToolCall:
    function = ToolFunction(parts.name, "".join(parts.arguments))
    return ToolCall(parts.id, parts.type, function)
