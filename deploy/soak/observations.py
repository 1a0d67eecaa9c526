"""What callers and engines of a soak note of each request."""

import hashlib

import msgspec

from deploy.soak.deadly import RequestKey
from deploy.soak.settings import VERSIONS

OK = 200


class Asked(msgspec.Struct):
    """One request of a caller."""

    id: str
    path: str
    expected_body: bytes
    """What an engine is to get."""
    may_repeat: bool
    """Whether it may run more than once."""
    is_stream: bool
    program: str = ""
    previous: str = ""
    tenant: str = ""
    """Whose key it carries, or carried once."""
    key: str = ""
    at: float = 0.0
    begun_at: float = 0.0
    """When its first bytes were sent, if they were sent one after another."""
    sent_at: float = 0.0
    """When its bytes were sent."""
    daemon: str = ""
    is_connected: bool = False
    """Whether a daemon took the connection."""
    status: int = 0
    """0 without an answer."""
    events: list[bytes] = []
    body: bytes = b""
    is_whole: bool = False
    answered_id: str = ""
    ended_at: float = 0.0
    first_attempt: str = ""
    """The attempt that brought the first event of the stream that this one takes up."""
    after_event: int = -1
    """The last event that the caller had before."""
    is_on_kept_connection: bool = False
    """Whether it was sent on a connection that had served another request."""
    manner: str = "alone"
    """How it was sent or its answer read."""
    close_was_told: bool = False
    """Whether an answer before it said that its connection will be closed."""
    ends_inside_event: bool = False
    """Whether bytes of an unfinished event were its last."""
    lost_by_caller: bool = False
    """Whether its connection was lost at the caller's side, after the first events."""

    @property
    def stream(self) -> str:
        """The first attempt of its stream."""
        return self.first_attempt or self.id

    @property
    def request_key(self) -> RequestKey:
        """What all tries of the request have in common."""
        return RequestKey(self.tenant, self.path, self.expected_body)


class Run(msgspec.Struct, frozen=True):
    """One run of a request at an engine."""

    engine: str
    path: str
    body: bytes
    after_event: int
    """-1 if it began at the beginning."""
    tenant: str = ""
    """As sent to the engine."""
    has_key: bool = False
    """Whether a key reached the engine."""
    at: float = 0.0
    zone: str = ""
    """Where the engine is."""
    is_cold: bool = False
    """Whether the engine was cold."""


class Violation(msgspec.Struct, frozen=True):
    """A promise that was broken."""

    rule: str
    request: str
    what: str


def event_of(request: str, number: int, version: str = VERSIONS[0]) -> bytes:
    """Give the data of an event of an engine's stream."""
    return f"{request}:{number}:{version}".encode()


def version_of(event: bytes) -> str:
    """Give the software version of the engine that made an event."""
    return event.rpartition(b":")[2].decode()


def answer_of(request: str, body: bytes) -> bytes:
    """Give the body of an engine's answer to a request without a stream."""
    return hashlib.sha256(request.encode() + body).hexdigest().encode()
