"""The platform's headers: parses callers' requests and builds requests to engines."""

import msgspec

from notcharch.calls.interface import Engine, OpaqueCall
from notcharch.http.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    end_to_end,
)
from notcharch.values.decoding import DECODING_ERRORS

REQUEST_ID = b"x-notcharch-request-id"
DEADLINE = b"x-notcharch-deadline-ms"
EXPECT_INSTANCE = b"x-notcharch-expect-instance"
INSTANCE = b"x-notcharch-instance-id"
NOT_EXECUTED = b"x-notcharch-not-executed"
RESPONSE_SEAL = b"x-notcharch-response-seal"
PROGRAM = b"x-notcharch-program-id"
SESSION = b"x-notcharch-session-id"
FINISH_MS = b"x-notcharch-finish-ms"
TOKEN_BUDGET = b"x-notcharch-token-budget"
USAGE = b"x-notcharch-token-usage"
PREVIOUS_TURN = b"x-notcharch-previous-turn"
URGENCY = b"x-notcharch-request-urgency"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
AFFINITY_COOKIE = "X-Notcharch-Affinity-Key"

API_KEY = b"x-api-key"
TENANT = b"x-notcharch-tenant"

OK = 200
MISDIRECTED = 421
MAX_PROMPT_DIGITS = 9
"""A stated number of prompt tokens with more digits is ignored."""
RESERVED_HEADERS = (
    DEADLINE,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    URGENCY,
    API_KEY,
    TENANT,
    b"x-notcharch-expect-version",
    b"x-notcharch-pin-ms",
    b"x-notcharch-hold",
    b"x-notcharch-kv-backup",
    b"kv-from",
    b"kv-fetch",
)
"""Callers' headers that are not forwarded to engines; the daemon sets its own, if any.

They control an engine (its memory, order and weights) or name a tenant, so callers must
not set them. An engine refuses calls whose hold or memory copy doesn't exist.
"""
SINGLETON_HEADERS = (
    REQUEST_ID,
    DEADLINE,
    PROGRAM,
    SESSION,
    FINISH_MS,
    TOKEN_BUDGET,
    USAGE,
    PREVIOUS_TURN,
    LAST_EVENT_ID,
    RESUMES,
)
"""Headers that must not be repeated, as they determine how a call is handled."""


def parse_call(head: RequestHead, body: bytes, arrived: float) -> OpaqueCall | None:
    """Parse a request into a typed call; None if a header is malformed."""
    values = _header_values(head)
    if values is None:
        return None
    try:
        return OpaqueCall(
            id=_parse_name(values.get(REQUEST_ID, b"")),
            head=head,
            body=body,
            arrived=arrived,
            wait_seconds=_parse_seconds(values.get(DEADLINE)),
            program=_parse_name(values.get(PROGRAM, b"")),
            session=_parse_name(values.get(SESSION, b"")),
            affinity=_affinity_key(values.get(b"cookie", b"").decode("latin-1")),
            max_tokens=_max_tokens(values.get(USAGE)),
            prompt_tokens=_prompt_tokens(values.get(USAGE)),
            budget_tokens=_parse_integer(values.get(TOKEN_BUDGET)),
            previous_turn=_parse_name(values.get(PREVIOUS_TURN, b"")),
            last_event_id=values.get(LAST_EVENT_ID),
            first_attempt=_parse_name(values.get(RESUMES, b"")),
            program_remaining_seconds=_parse_seconds(values.get(FINISH_MS)),
        )
    except ValueError:
        return None


def presented_api_keys(head: RequestHead) -> tuple[bytes, ...]:
    """Return the values of all API key headers of a request."""
    return tuple(value for key, value in head.headers if key.lower() == API_KEY)


def _header_values(head: RequestHead) -> dict[bytes, bytes] | None:
    """Return the headers by lower-case name; None if a singleton header is repeated."""
    values: dict[bytes, bytes] = {}
    for key, value in head.headers:
        name = key.lower()
        if name in values and name in SINGLETON_HEADERS:
            return None
        values[name] = value
    return values


def _parse_name(value: bytes) -> str:
    """Parse a name; raises `ValueError` if it isn't printable ASCII."""
    name = value.decode("ascii")
    if not name.isprintable():
        message = "header value contains a control character"
        raise ValueError(message)
    return name


def _parse_integer(value: bytes | None) -> int | None:
    return None if value is None else int(value)


def _parse_seconds(milliseconds: bytes | None) -> float | None:
    return None if milliseconds is None else float(milliseconds) / 1000


def _max_tokens(usage: bytes | None) -> int:
    return int(usage.split(b",")[1]) if usage else 0


def _prompt_tokens(usage: bytes | None) -> int:
    """Return the stated prompt tokens; 0 if they are missing or unreadable.

    They only help to choose an engine, so a call isn't refused for them.
    """
    digits = usage.split(b",")[0].strip() if usage else b""
    is_number = digits.isdigit() and len(digits) <= MAX_PROMPT_DIGITS
    return int(digits) if is_number else 0


def _affinity_key(cookies: str) -> str:
    for cookie in cookies.split(";"):
        name, _, value = cookie.strip().partition("=")
        if name == AFFINITY_COOKIE:
            return value
    return ""


class EngineReport(msgspec.Struct):
    """The part of an engine's report that is used."""

    born: int | None = None
    """Unix milliseconds of its start."""


REPORT_DECODER = msgspec.json.Decoder(EngineReport)


class PlatformDialect:
    """Builds requests to the platform's engines and interprets their responses."""

    def request(
        self, call: OpaqueCall, engine: Engine, remaining_ms: int
    ) -> RequestHead:
        """Return the head of the request to an engine."""
        headers = end_to_end(call.head.headers, RESERVED_HEADERS)
        headers.append((b"X-Notcharch-Deadline-Ms", str(remaining_ms).encode()))
        headers.append((b"X-Notcharch-Expect-Instance", engine.id.encode()))
        if call.last_event_id is not None:
            headers.append((b"Last-Event-Id", call.last_event_id))
        if call.urgency is not None:
            headers.append((b"X-Notcharch-Request-Urgency", b"%d" % call.urgency))
        if call.tenant is not None:
            headers.append((b"X-Notcharch-Tenant", call.tenant.name.encode()))
        return RequestHead(call.head.method, call.head.target, headers)

    def is_response_to(self, call: OpaqueCall, head: ResponseHead) -> bool:
        """Return whether a response carries the call's id or no id."""
        id = head.get(REQUEST_ID)
        return id is None or id == call.id.encode()

    def incarnation_request(self) -> RequestHead:
        """Return the head of a request for the engine's report."""
        return RequestHead(b"GET", b"/report", [(b"Host", b"engine")])

    def is_incarnation_response(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to no call."""
        return head.get(REQUEST_ID) is None

    def started_ms(self, head: ResponseHead, body: bytes) -> int | None:
        """Return the start that a report tells, if it does."""
        if head.status != OK:
            return None
        try:
            return REPORT_DECODER.decode(body).born
        except DECODING_ERRORS:
            return None

    def instance_request(self, health_path: str) -> RequestHead:
        """Return the head of a request for the engine's health, which tells its id."""
        return RequestHead(b"GET", health_path.encode(), [(b"Host", b"engine")])

    def instance_id(self, head: ResponseHead) -> str:
        """Return the id of the engine that responded, if it is told."""
        return (head.get(INSTANCE) or b"").decode("latin-1")

    def was_not_run(self, head: ResponseHead) -> bool:
        """Return whether the response says that the engine did not run the call."""
        return self.is_misdirected(head) or head.get(NOT_EXECUTED) is not None

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Return whether the response is of another engine than the request names."""
        return head.status == MISDIRECTED

    def is_genuine(self, head: ResponseHead) -> bool:
        """Return whether a response is sealed by an engine and carries a request id."""
        is_plain = head.get(b"content-encoding") is None
        has_id = head.get(REQUEST_ID) is not None
        return is_plain and has_id and head.get(RESPONSE_SEAL) is not None


def response_headers(head: ResponseHead) -> Headers:
    """Return the headers of an engine's response to forward to the caller."""
    return end_to_end(head.headers)
