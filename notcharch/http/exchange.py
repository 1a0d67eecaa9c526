"""One request of an HTTP server and its response, and what serves it."""

import math
from collections.abc import Callable
from enum import Enum
from typing import Protocol as Interface

import h11
import msgspec

from notcharch.http.messages import Headers, RequestHead
from notcharch.http.request_room import RequestRoom
from notcharch.values.memory_pool import HeldPart

JSON_TYPE = (b"content-type", b"application/json")


class ResponseWriter(Interface):
    """The connection of a request, as its response is written."""

    @property
    def is_client_behind(self) -> bool:
        """Whether the client reads more slowly than it is sent to."""

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response."""

    def send(self, event: h11.Event) -> None:
        """Send one protocol event."""

    def end_exchange(self) -> None:
        """Complete the response."""

    def abort(self) -> None:
        """Abort the connection."""


class ErrorResponse(msgspec.Struct, frozen=True):
    """A response to a request that is read no further."""

    status: int
    headers: Headers
    body: bytes


class ServerLimits(msgspec.Struct, frozen=True):
    """Size limits of requests, and timeouts of connections."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class UnreadCause(Enum):
    """Why a request is refused before it is read."""

    NO_ROOM = "no memory"
    TOO_LATE = "its time is over"
    TOO_LARGE = "too large"


class UploadPolicy(Interface):
    """Tells how long requests are waited for, and what their callers are told."""

    def body_seconds(self, exchange: "Exchange") -> float:
        """Return the time within which a request has to be read, from its head on."""

    def unread_refusal(
        self, exchange: "Exchange", cause: UnreadCause, waited_seconds: float
    ) -> ErrorResponse:
        """Return the response to a request that is read no further."""


STATUSES = {
    UnreadCause.NO_ROOM: 503,
    UnreadCause.TOO_LATE: 503,
    UnreadCause.TOO_LARGE: 413,
}


class UsualUploads:
    """Waits for any request."""

    def body_seconds(self, exchange: "Exchange") -> float:
        """Wait for as long as it takes."""
        return math.inf

    def unread_refusal(
        self, exchange: "Exchange", cause: UnreadCause, waited_seconds: float
    ) -> ErrorResponse:
        """Return a status without a body."""
        return ErrorResponse(STATUSES[cause], [], b"")


class Uploads(msgspec.Struct, frozen=True):
    """What requests need to be read."""

    room: RequestRoom = msgspec.field(default_factory=RequestRoom)
    policy: UploadPolicy = UsualUploads()


class RequestHandler(Interface):
    """Serves requests."""

    def limits(self) -> ServerLimits:
        """Return the current limits."""

    def is_closing(self) -> bool:
        """Return whether responses should close their connections."""

    def handle(self, exchange: "Exchange") -> None:
        """Process a complete request."""

    def count(self, change: int) -> None:
        """Count a request that starts (1) or has ended (-1)."""


class Exchange:
    """One request and its response."""

    def __init__(self, connection: ResponseWriter, head: RequestHead) -> None:
        """Start with the head; the body follows."""
        self._connection = connection
        self.head = head
        self.body = b""
        self.arrived = 0.0
        """Clock seconds at which the head was read."""
        self.on_disconnect: Callable[[], None] | None = None
        """Called once if the client disconnects before the response is complete."""
        self.on_sent: Callable[[], None] | None = None
        """Called once if the last byte of the response has left the process."""
        self._on_backlog: Callable[[bool], None] | None = None
        self.id = ""
        """The request's id in log lines; empty if it has none or is not read yet."""
        self.is_started = False
        self.is_over = False
        self._memory: HeldPart | None = None

    def hold_memory(self, memory: HeldPart) -> None:
        """Hold what the request takes, until its call takes it over or it ends."""
        self._memory = memory

    def take_memory(self) -> HeldPart | None:
        """Return what the request holds, for its call to hold it from now on."""
        memory, self._memory = self._memory, None
        return memory

    def release_memory(self) -> None:
        """Hold nothing, unless the call holds it."""
        memory = self.take_memory()
        if memory is not None:
            memory.close()

    def watch_backlog(self, callback: Callable[[bool], None]) -> None:
        """Call `callback` when the client falls behind (True) or has caught up (False)."""
        self._on_backlog = callback
        if self._connection.is_client_behind:
            callback(True)

    def backlog_changed(self, is_client_behind: bool) -> None:
        """Notify the request that its client has fallen behind or caught up."""
        if self._on_backlog is not None and not self.is_over:
            self._on_backlog(is_client_behind)

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response."""
        if self.is_over:
            return
        length = (b"content-length", str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self.write(body)
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head; without a content length the body is sent chunked."""
        if self.is_over:
            return
        self.is_started = True
        self._connection.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self.is_over:
            self._connection.send(h11.Data(data=data))

    def finish(self) -> None:
        """End the body; the connection can then be reused."""
        if not self.is_over:
            self._connection.end_exchange()

    def abort(self) -> None:
        """Abort the connection, so that the response is recognisably incomplete."""
        if not self.is_over:
            self.end()
            self._connection.abort()

    def end(self) -> None:
        """Let go of the call: both are freed at once, with the body."""
        self.is_over = True
        self.on_disconnect = self._on_backlog = None
