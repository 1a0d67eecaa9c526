"""The platform's headers: callers' requests into typed calls, calls to engines."""

from notcharch.calls.interface import Engine, OpaqueCall
from notcharch.http.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    end_to_end,
)

REQUEST_ID = b"x-notcharch-request-id"
DEADLINE = b"x-notcharch-deadline-ms"
EXPECT_ENGINE = b"x-notcharch-expect-instance"
NOT_RUN = b"x-notcharch-not-executed"
SEAL = b"x-notcharch-response-seal"
PROGRAM = b"x-notcharch-program-id"
SESSION = b"x-notcharch-session-id"
FINISH = b"x-notcharch-finish-ms"
BUDGET = b"x-notcharch-token-budget"
USAGE = b"x-notcharch-token-usage"
PREVIOUS_TURN = b"x-notcharch-previous-turn"
URGENCY = b"x-notcharch-request-urgency"
LAST_EVENT_ID = b"last-event-id"
AFFINITY_COOKIE = "X-Notcharch-Affinity-Key"

KEY = b"x-api-key"
TENANT = b"x-notcharch-tenant"

MISDIRECTED = 421
SET_HERE = (
    DEADLINE,
    EXPECT_ENGINE,
    LAST_EVENT_ID,
    URGENCY,
    KEY,
    TENANT,
    b"x-notcharch-expect-version",
    b"x-notcharch-pin-ms",
    b"x-notcharch-hold",
    b"x-notcharch-kv-backup",
    b"kv-from",
    b"kv-fetch",
)
"""Headers of a caller that no engine gets: they are written anew, or not at all.

They would steer an engine (its memory, order and weights) or claim a tenant, so they are
the system's to set. An engine refuses calls whose hold or memory copy doesn't exist.
"""
SINGLE = (
    REQUEST_ID,
    DEADLINE,
    PROGRAM,
    SESSION,
    FINISH,
    BUDGET,
    USAGE,
    PREVIOUS_TURN,
    LAST_EVENT_ID,
)
"""Headers that decide about a call, so one that comes twice can't be read."""


def read_call(head: RequestHead, body: bytes, arrived: float) -> OpaqueCall | None:
    """Give the typed call of a request; None if a header can't be read."""
    values = _single_values(head)
    if values is None:
        return None
    try:
        return OpaqueCall(
            id=_name(values.get(REQUEST_ID, b"")),
            head=head,
            body=body,
            arrived=arrived,
            wait_seconds=_seconds(values.get(DEADLINE)),
            program=_name(values.get(PROGRAM, b"")),
            session=_name(values.get(SESSION, b"")),
            affinity=_affinity(values.get(b"cookie", b"").decode("latin-1")),
            max_tokens=_most_tokens(values.get(USAGE)),
            budget_tokens=_integer(values.get(BUDGET)),
            previous_turn=_name(values.get(PREVIOUS_TURN, b"")),
            last_event_id=values.get(LAST_EVENT_ID),
            program_remaining_seconds=_seconds(values.get(FINISH)),
        )
    except ValueError:
        return None


def presented_keys(head: RequestHead) -> tuple[bytes, ...]:
    """Give the values of all headers of a request that hold a key."""
    return tuple(value for key, value in head.headers if key.lower() == KEY)


def _single_values(head: RequestHead) -> dict[bytes, bytes] | None:
    """Give the headers by lower-case name; None if one that decides comes twice."""
    values: dict[bytes, bytes] = {}
    for key, value in head.headers:
        name = key.lower()
        if name in values and name in SINGLE:
            return None
        values[name] = value
    return values


def _name(value: bytes) -> str:
    """Read a name; `ValueError` if it isn't printable ASCII."""
    name = value.decode("ascii")
    if not name.isprintable():
        message = "a control character in a name"
        raise ValueError(message)
    return name


def _integer(value: bytes | None) -> int | None:
    return None if value is None else int(value)


def _seconds(milliseconds: bytes | None) -> float | None:
    return None if milliseconds is None else float(milliseconds) / 1000


def _most_tokens(usage: bytes | None) -> int:
    return int(usage.split(b",")[1]) if usage else 0


def _affinity(cookies: str) -> str:
    for cookie in cookies.split(";"):
        name, _, value = cookie.strip().partition("=")
        if name == AFFINITY_COOKIE:
            return value
    return ""


class PlatformEngines:
    """How the platform's engines are spoken to."""

    def request(
        self, call: OpaqueCall, engine: Engine, remaining_ms: int
    ) -> RequestHead:
        """Give the head that an engine gets."""
        headers = end_to_end(call.head.headers, SET_HERE)
        headers.append((b"X-Notcharch-Deadline-Ms", str(remaining_ms).encode()))
        headers.append((b"X-Notcharch-Expect-Instance", engine.id.encode()))
        if call.last_event_id is not None:
            headers.append((b"Last-Event-Id", call.last_event_id))
        if call.tenant is not None:
            headers.append((b"X-Notcharch-Tenant", call.tenant.name.encode()))
        return RequestHead(call.head.method, call.head.target, headers)

    def is_response_to(self, call: OpaqueCall, head: ResponseHead) -> bool:
        """Tell whether an answer carries the call's id, or none."""
        id = head.get(REQUEST_ID)
        return id is None or id == call.id.encode()

    def was_not_run(self, head: ResponseHead) -> bool:
        """Tell whether an engine says that it did not run the call."""
        return head.status == MISDIRECTED or head.get(NOT_RUN) is not None

    def is_genuine(self, head: ResponseHead) -> bool:
        """Tell whether an answer is an engine's own and names its request."""
        is_plain = head.get(b"content-encoding") is None
        has_id = head.get(REQUEST_ID) is not None
        return is_plain and has_id and head.get(SEAL) is not None


def answer_headers(head: ResponseHead) -> Headers:
    """Give the headers of an engine's answer that a caller gets."""
    return end_to_end(head.headers)
