"""HTTP server of the daemon, with limits on headers, bodies and idle connections.

Bodies are buffered in memory (daemons have no disk) and counted while they are read.
Refusals are problem documents, too; the connection is closed after a delay in which
the caller can read them.
"""

from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IReactorTime
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.resource import IResource
from twisted.web.server import Request, Site

from notcharch.errors import Finding, Problem, ProblemCode
from notcharch.events.event import emit
from notcharch.events.gateway import BadRequestRefused
from notcharch.settings.schema import GatewaySection
from notcharch.wire.http_problem import problem_body, problem_headers

LINGER_SECONDS = 2.0
"""Lingering close: a refused caller may send for this time, data is discarded."""

MAX_HEADERS = 100


class LimitedRequest(Request):
    """A request whose body size is limited while it is read."""

    channel: "LimitedChannel"
    content: BytesIO

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose Content-Length is too large."""
        self.content = BytesIO()
        limit = self.channel.section.body_bytes
        if length is not None and length > limit:
            self.channel.refuse(_body_too_large(limit))

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a part of the body, up to the limit."""
        if self.channel.is_refused:
            return
        limit = self.channel.section.body_bytes
        if self.content.tell() + len(data) > limit:
            self.channel.refuse(_body_too_large(limit))
            return
        self.content.write(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handle the request, unless it was refused while it was read."""
        if not self.channel.is_refused:
            super().requestReceived(  # type: ignore[no-untyped-call]
                command, path, version
            )


class LimitedChannel(HTTPChannel):
    """Connection of one caller."""

    transport: Any
    maxHeaders = MAX_HEADERS  # noqa: N815
    section: GatewaySection
    site: "LimitedSite"
    is_refused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Add the connection to the open ones of its site."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        self.site.open_channels.add(self)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Remove the connection from the open ones of its site."""
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
        self.site.channel_closed(self)

    def refuse(self, problem: Problem) -> None:
        """Respond with a problem, discard further data and close the connection."""
        if self.is_refused:
            return
        self.is_refused = True
        emit(BadRequestRefused(str(self.transport.getPeer()), problem.message))
        self.dataReceived = _discard_data  # type: ignore[method-assign]
        self.clearLineBuffer()  # type: ignore[no-untyped-call]
        self.transport.write(_raw_response(problem))
        self.transport.unregisterProducer()
        lose_write = getattr(self.transport, "loseWriteConnection", None)
        if lose_write is None:
            self.transport.loseConnection()
            return
        lose_write()
        self.setTimeout(None)  # type: ignore[no-untyped-call]
        self._abortingCall = self.callLater(  # type: ignore[no-untyped-call]
            LINGER_SECONDS, self.forceAbortClient
        )

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that exceeds the limit of the whole header."""
        self._receivedHeaderSize += len(line)
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        is_too_large = self._receivedHeaderSize > self.totalHeadersSize
        message = (
            f"is larger than {self.totalHeadersSize} bytes"
            if is_too_large
            else f"is not valid HTTP/1.1, or has more than {MAX_HEADERS} fields"
        )
        self.refuse(
            Problem.of(
                ProblemCode.BAD_REQUEST,
                "the request header is invalid",
                findings=(Finding("header", message),),
            )
        )


class LimitedSite(Site):
    """Serves a tree of resources within the limits of the settings."""

    def __init__(
        self, root: IResource, section: GatewaySection, clock: IReactorTime
    ) -> None:
        """Close idle connections by `clock`."""
        super().__init__(  # type: ignore[no-untyped-call]
            root,
            requestFactory=LimitedRequest,
            timeout=section.idle_seconds,
            reactor=clock,
        )
        self._section = section
        self.open_channels: set[LimitedChannel] = set()
        self._closed: Deferred[None] | None = None
        self.displayTracebacks = False

    def buildProtocol(  # type: ignore[override]  # noqa: N802
        self, addr: IAddress | None
    ) -> HTTPChannel:
        """Build the channel of a connection."""
        channel = LimitedChannel()  # type: ignore[no-untyped-call]
        self._configure(channel)
        return channel

    def close_connections(self) -> "Deferred[None]":
        """Close the connections without a request; the Deferred fires when none is open.

        A connection is open until its last byte has left the process.
        """
        closed = self._closed = self._closed or Deferred()
        for channel in tuple(self.open_channels):
            if not channel.requests:
                channel.loseConnection()  # type: ignore[no-untyped-call]
        self._fire_if_closed()
        return closed

    def channel_closed(self, channel: LimitedChannel) -> None:
        """Remove a connection that is closed."""
        self.open_channels.discard(channel)
        self._fire_if_closed()

    def _fire_if_closed(self) -> None:
        closed = self._closed
        if closed is not None and not self.open_channels and not closed.called:
            closed.callback(None)

    def _configure(self, channel: Any) -> None:
        channel.section = self._section
        channel.totalHeadersSize = self._section.header_bytes
        channel.MAX_LENGTH = self._section.header_bytes
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater

    def log(self, request: Any) -> None:
        """Write no access log; events and metrics replace it."""


def _discard_data(data: bytes) -> None:
    """Discard data of a refused request."""


def _body_too_large(limit: int) -> Problem:
    return Problem.of(
        ProblemCode.BODY_TOO_LARGE,
        "the body is too large",
        findings=(Finding("body", f"is larger than {limit} bytes"),),
    )


def _raw_response(problem: Problem) -> bytes:
    body = problem_body(problem)
    headers = (
        *problem_headers(problem),
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    )
    lines = [b"HTTP/1.1 %d Refused" % problem.http_status]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
