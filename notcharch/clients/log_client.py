"""The client of the append-only log service."""

from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IAgent

from notcharch.clients.json_http import GET, POST, JsonHttp
from notcharch.clients.ports import LogPage, LogRecord
from notcharch.errors import Problem, ProblemCode
from notcharch.settings.schema import PlatformSection
from notcharch.values.identifiers import LogOffset


class AppendBody(msgspec.Struct, frozen=True):
    """The body of an append."""

    records: tuple[LogRecord, ...]


class AppendReply(msgspec.Struct, frozen=True):
    """The offsets of the appended records."""

    first_offset: LogOffset
    next_offset: LogOffset


class LogClient:
    """Implements `LogPort` over HTTP."""

    def __init__(
        self, agent: IAgent, clock: IReactorTime, settings: PlatformSection
    ) -> None:
        """Take the address and the time-out from the settings."""
        self._base = f"http://{settings.log}/v1/streams"
        self._http = JsonHttp(
            agent,
            clock,
            settings.request_seconds,
            "log service",
            ProblemCode.UNAVAILABLE,
        )

    def append(
        self, stream: str, records: tuple[LogRecord, ...]
    ) -> "Deferred[Result[LogOffset, Problem]]":
        """Append in order; return the first offset. `ran: unknown` without a response."""
        return Deferred.fromCoroutine(self._append(stream, records))

    def read(
        self, stream: str, offset: LogOffset, limit: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[LogPage, Problem]]":
        """Read up to `limit` records from `offset`, waiting for the first if requested."""
        query = urlencode({"offset": offset, "limit": limit, "wait": wait_seconds})
        url = f"{self._url(stream)}?{query}"
        return Deferred.fromCoroutine(
            self._http.call(GET, url, LogPage, extra_seconds=wait_seconds)
        )

    async def _append(
        self, stream: str, records: tuple[LogRecord, ...]
    ) -> Result[LogOffset, Problem]:
        reply = await self._http.call(
            POST, self._url(stream), AppendReply, AppendBody(records)
        )
        if isinstance(reply, Err):
            return reply
        return Ok(reply.ok_value.first_offset)

    def _url(self, stream: str) -> str:
        return f"{self._base}/{quote(stream, safe='')}/records"
