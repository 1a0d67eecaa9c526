"""Parses request bodies into typed requests, or a problem with all findings."""

import hashlib
from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from notcharch.errors import Finding, Problem, ProblemCode
from notcharch.gateway.call_parameters import PARAMETERS, read_parameters
from notcharch.gateway.message_reading import read_messages
from notcharch.values.chat import ChatMessage
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.identifiers import CallSequence, ProgramId, ServiceName

MAX_ANSWER_TOKENS = 2**31 - 1
MAX_SEQUENCE = 2**53 - 1
MAX_NAME_LENGTH = 200

PROGRAM_FIELDS = frozenset({"service", "parent"})
CALL_FIELDS = frozenset(
    {
        "messages",
        "max_tokens",
        "max_completion_tokens",
        "stream",
        "stream_options",
        "sequence",
        "repeatable",
        "model",
        "n",
    }
)
IGNORED_FIELDS = frozenset({"user", "metadata", "store", "service_tier"})
"""OpenAI fields that have no effect on the answer."""


class NewProgram(msgspec.Struct, frozen=True):
    """A validated body of `POST /v1/programs`."""

    service: ServiceName
    parent: ProgramId | None


class CallBody(msgspec.Struct, frozen=True):
    """A validated chat-completions body.

    `sequence` is None if the body has none; `max_tokens` is None if the limit of the
    row applies. `digest` identifies repeats of the same call.
    """

    messages: tuple[ChatMessage, ...]
    max_tokens: int | None
    parameters: bytes
    stream: bool
    sequence: CallSequence | None
    repeatable: bool
    model: str | None

    @property
    def digest(self) -> str:
        """Return the hex SHA-256 of all fields that affect the answer."""
        return body_digest(
            self.messages, self.max_tokens, self.repeatable, self.parameters
        )


def body_digest(
    messages: tuple[ChatMessage, ...],
    max_tokens: int | None,
    repeatable: bool,
    parameters: bytes,
) -> str:
    """Return the digest by which the leader recognises a repeated call."""
    encoded = msgspec.json.encode((messages, max_tokens, repeatable, parameters))
    return hashlib.sha256(encoded).hexdigest()


def read_new_program(body: bytes) -> Result[NewProgram, Problem]:
    """Parse the body of `POST /v1/programs`."""
    findings: list[Finding] = []
    fields = _read_object(body, findings)
    reader = FieldReader(fields, findings)
    reader.refuse_unknown(PROGRAM_FIELDS)
    service = reader.text("service")
    parent = reader.text("parent")
    if service is None and fields is not None and "service" not in fields:
        findings.append(Finding("service", "is missing"))
    if findings:
        return Err(bad_request(findings))
    return Ok(
        NewProgram(
            service=ServiceName(service or ""),
            parent=None if parent is None else ProgramId(parent),
        )
    )


def read_call(body: bytes, max_messages: int) -> Result[CallBody, Problem]:
    """Parse a chat-completions body, including the fields added by notcharch."""
    findings: list[Finding] = []
    fields = _read_object(body, findings)
    if fields is None:
        return Err(bad_request(findings))
    reader = FieldReader(fields, findings)
    reader.refuse_unknown(CALL_FIELDS | IGNORED_FIELDS | PARAMETERS.keys())
    messages = read_messages(fields.get("messages"), max_messages, findings)
    sequence = reader.integer("sequence", 1, MAX_SEQUENCE)
    max_tokens = _read_max_tokens(reader, findings)
    reader.integer("n", 1, 1)
    call = CallBody(
        messages=messages,
        max_tokens=max_tokens,
        parameters=read_parameters(fields, findings),
        stream=reader.boolean("stream", default=False),
        sequence=None if sequence is None else CallSequence(sequence),
        repeatable=reader.boolean("repeatable", default=True),
        model=reader.text("model"),
    )
    if findings:
        return Err(bad_request(findings))
    return Ok(call)


def findings_of_numbered_call(body: CallBody) -> list[Finding]:
    """Return the findings that apply only to calls with a sequence number.

    Assistant messages come from engines; a caller may send them only in the first
    call, as examples.
    """
    if body.sequence is None:
        return [Finding("sequence", "is missing")]
    if body.sequence == 1:
        return []
    return [
        Finding(f"messages[{index}].role", "may be assistant in the first call only")
        for index, message in enumerate(body.messages)
        if message.role == "assistant"
    ]


def read_sequence(text: str, place: str) -> Result[CallSequence, Problem]:
    """Parse a sequence number from a path or header."""
    is_number = text.isascii() and text.isdigit() and len(text) <= 16
    if not is_number or not 1 <= int(text) <= MAX_SEQUENCE:
        finding = Finding(place, f"must be an integer from 1, not {text[:40]!r}")
        return Err(bad_request([finding]))
    return Ok(CallSequence(int(text)))


def read_query_integer(
    args: Mapping[bytes, list[bytes]],
    name: str,
    bounds: tuple[int, int],
    default: int,
    findings: list[Finding],
) -> int:
    """Parse an integer of the query, within its bounds."""
    values = args.get(name.encode())
    if not values:
        return default
    text = values[-1].decode("ascii", "replace")
    low, high = bounds
    is_number = text.isascii() and text.isdigit() and len(text) <= 16
    if not is_number or not low <= int(text) <= high:
        message = f"must be an integer from {low} to {high}"
        findings.append(Finding(f"query.{name}", message))
        return default
    return int(text)


def bad_request(findings: list[Finding]) -> Problem:
    """Return the problem that reports all findings."""
    return Problem.of(
        ProblemCode.BAD_REQUEST,
        f"the request has {len(findings)} finding(s)",
        findings=tuple(findings),
    )


Value = TypeVar("Value")


class FieldReader:
    """Reads fields of a JSON object; adds a finding for each invalid one."""

    def __init__(
        self, fields: Mapping[str, object] | None, findings: list[Finding]
    ) -> None:
        """Read from `fields`; an absent or null field has its default value."""
        self._fields = fields or {}
        self._findings = findings

    def refuse_unknown(self, known: frozenset[str]) -> None:
        """Add a finding for each field that is neither known nor null."""
        for name, value in self._fields.items():
            if name not in known and value is not None:
                self._findings.append(Finding(name[:80], "is not supported"))

    def integer(self, name: str, low: int, high: int) -> int | None:
        """Read an integer from `low` to `high`; None if absent."""

        def check(value: object) -> int | None:
            if isinstance(value, bool) or not isinstance(value, int):
                return None
            return value if low <= value <= high else None

        return self._read(name, check, f"must be an integer from {low} to {high}")

    def boolean(self, name: str, *, default: bool) -> bool:
        """Read true or false."""

        def check(value: object) -> bool | None:
            return value if isinstance(value, bool) else None

        value = self._read(name, check, "must be true or false")
        return default if value is None else value

    def text(self, name: str) -> str | None:
        """Read a string of 1 to `MAX_NAME_LENGTH` characters; None if absent."""

        def check(value: object) -> str | None:
            is_name = isinstance(value, str) and 1 <= len(value) <= MAX_NAME_LENGTH
            return value if is_name and isinstance(value, str) else None

        return self._read(
            name, check, f"must be a string of 1 to {MAX_NAME_LENGTH} characters"
        )

    def _read(
        self, name: str, check: Callable[[object], Value | None], message: str
    ) -> Value | None:
        raw = self._fields.get(name)
        if raw is None:
            return None
        value = check(raw)
        if value is None:
            self._findings.append(Finding(name, message))
        return value


def _read_object(body: bytes, findings: list[Finding]) -> dict[str, object] | None:
    try:
        value = msgspec.json.decode(body)
    except DECODING_ERRORS as error:
        findings.append(Finding("body", f"is not valid UTF-8 JSON: {error}"))
        return None
    if not isinstance(value, dict):
        findings.append(Finding("body", "must be a JSON object"))
        return None
    return value


def _read_max_tokens(reader: FieldReader, findings: list[Finding]) -> int | None:
    old = reader.integer("max_tokens", 1, MAX_ANSWER_TOKENS)
    new = reader.integer("max_completion_tokens", 1, MAX_ANSWER_TOKENS)
    if old is not None and new is not None and old != new:
        message = "differs from max_completion_tokens"
        findings.append(Finding("max_tokens", message))
    return old if new is None else new
