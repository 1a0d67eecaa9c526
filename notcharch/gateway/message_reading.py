"""Parses the messages of a chat-completions body into `ChatMessage`s."""

import msgspec

from notcharch.errors import Finding
from notcharch.values.chat import ChatMessage

ROLES = ("system", "developer", "user", "assistant", "tool")
MESSAGE_FIELDS = frozenset({"role", "content", "name", "tool_call_id", "tool_calls"})
EMPTY_VALUES: tuple[object, ...] = (None, [], {}, "")
TEXT_PART_FIELDS = frozenset({"type", "text"})


def read_messages(
    value: object, max_messages: int, findings: list[Finding]
) -> tuple[ChatMessage, ...]:
    """Parse the `messages` field; adds a finding with its place for each error."""
    if not isinstance(value, list):
        findings.append(Finding("messages", "must be a list of messages"))
        return ()
    if not 1 <= len(value) <= max_messages:
        message = f"must contain 1 to {max_messages} messages, not {len(value)}"
        findings.append(Finding("messages", message))
        return ()
    read = [
        _read_message(item, f"messages[{index}]", findings)
        for index, item in enumerate(value)
    ]
    return tuple(message for message in read if message is not None)


def _read_message(
    value: object, place: str, findings: list[Finding]
) -> ChatMessage | None:
    if not isinstance(value, dict):
        findings.append(Finding(place, "must be an object"))
        return None
    found_before = len(findings)
    _refuse_unknown_fields(value, place, findings)
    role = _read_role(value.get("role"), place, findings)
    tool_calls = _read_tool_calls(value.get("tool_calls"), role, place, findings)
    content = _read_content(value.get("content"), place, findings)
    name = _read_text(value.get("name"), f"{place}.name", findings)
    tool_call_id = _read_text(
        value.get("tool_call_id"), f"{place}.tool_call_id", findings
    )
    if role == "tool" and value.get("tool_call_id") is None:
        findings.append(Finding(f"{place}.tool_call_id", "is missing"))
    if value.get("content") is None and tool_calls is msgspec.UNSET:
        findings.append(Finding(f"{place}.content", "is missing"))
    if len(findings) > found_before:
        return None
    return ChatMessage(role, content, name, tool_call_id, tool_calls)


def _refuse_unknown_fields(
    value: dict[str, object], place: str, findings: list[Finding]
) -> None:
    for field, field_value in value.items():
        if field not in MESSAGE_FIELDS and field_value not in EMPTY_VALUES:
            findings.append(Finding(f"{place}.{field[:80]}", "is not supported"))


def _read_role(value: object, place: str, findings: list[Finding]) -> str:
    if isinstance(value, str) and value in ROLES:
        return value
    findings.append(Finding(f"{place}.role", f"must be one of {', '.join(ROLES)}"))
    return ""


def _read_content(value: object, place: str, findings: list[Finding]) -> str | None:
    """Parse a string or a list of text parts, which are joined."""
    if value is None or isinstance(value, str):
        return value
    if not isinstance(value, list):
        message = "must be a string or a list of text parts"
        findings.append(Finding(f"{place}.content", message))
        return None
    texts: list[str] = []
    for index, part in enumerate(value):
        text = _text_of_part(part)
        if text is None:
            message = "must be a part of type text"
            findings.append(Finding(f"{place}.content[{index}]", message))
        else:
            texts.append(text)
    return "".join(texts)


def _text_of_part(part: object) -> str | None:
    if not isinstance(part, dict) or set(part) != TEXT_PART_FIELDS:
        return None
    text = part["text"]
    is_text = part["type"] == "text" and isinstance(text, str)
    return text if is_text and isinstance(text, str) else None


def _read_text(value: object, place: str, findings: list[Finding]) -> str | None:
    if value is None:
        return None
    if isinstance(value, str) and value:
        return value
    findings.append(Finding(place, "must be a non-empty string"))
    return None


def _read_tool_calls(
    value: object, role: str, place: str, findings: list[Finding]
) -> msgspec.Raw | msgspec.UnsetType:
    if value is None or value == []:
        return msgspec.UNSET
    is_list = isinstance(value, list) and all(isinstance(item, dict) for item in value)
    if not is_list:
        findings.append(Finding(f"{place}.tool_calls", "must be a list of objects"))
        return msgspec.UNSET
    if role not in ("assistant", ""):
        message = f"are not allowed in a message of role {role}"
        findings.append(Finding(f"{place}.tool_calls", message))
        return msgspec.UNSET
    return msgspec.Raw(msgspec.json.encode(value))
