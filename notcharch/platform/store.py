"""Client of the platform's store, as the product's log service."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from notcharch.events.feed_faults import FeedFaults
from notcharch.http.adaptive_timeout import AdaptiveTimeout
from notcharch.http.requester import (
    MAX_RESPONSE_BYTES,
    CompleteResponse,
    NoResponse,
    Outcome,
    Requester,
)
from notcharch.journal.interface import (
    Appended,
    GroupName,
    LogFault,
    LogLimits,
    LogProblem,
    Membership,
    NewestPage,
    Ownership,
    Producer,
    Records,
)
from notcharch.platform.log_answers import (
    decode_membership,
    decode_owners,
    decode_page,
)
from notcharch.values.decoding import DECODING_ERRORS

Translated = TypeVar("Translated")

EXCEPTIONS = "store calls"
"""Names the calls of the store among the feeds whose faults are logged."""
LENGTH_BYTES = 4
OFFSET_BYTES = 8
REQUEST_TIMEOUT_SECONDS = 1.5
"""A request without a response for this long has failed."""
MIN_APPEND_TIMEOUT_SECONDS = 0.2
"""Appends are idempotent by their sequence number, so they are retried sooner."""
MIN_JOIN_TIMEOUT_SECONDS = 0.45
"""Allows two retries of a heartbeat before the shortest lease expires."""
MAX_JOIN_TIMEOUT_SECONDS = 0.75
"""Bounds the delay until heartbeats detect that the store is available again."""
MIN_READ_LIMIT_BYTES = 3 * 1024 * 1024
"""Of an answer to a read besides its last record: a page of small records in base64, with
their keys, is some times as long as its values."""
ENCODED_RECORD_FACTOR = 2
"""A record in base64 is longer by a third."""
OK = 200
GONE = 410
CONFLICT = 409
PRECONDITION_FAILED = 412
INSUFFICIENT_STORAGE = 507
RETRYABLE_STATUSES = (408, 429, 503)
"""Statuses after which nothing was done, and the same call may be answered later."""
SERVER_ERRORS = 500
FAULT_WITHOUT_RESPONSE = {
    NoResponse.NOT_SENT: LogFault.NOT_DONE,
    NoResponse.SENT: LogFault.UNKNOWN,
    NoResponse.TOO_LONG: LogFault.UNREADABLE,
    NoResponse.BROKEN_OFF: LogFault.FAILED,
}


class AppendResponse(msgspec.Struct):
    """The response to an append, also to one refused by a conflict."""

    offset: int = -1
    end: int = -1
    why: str = ""
    first: int = -1


def pack(records: tuple[bytes, ...]) -> bytes:
    """Encode records, each prefixed with its length."""
    parts: list[bytes] = []
    for record in records:
        parts.append(len(record).to_bytes(LENGTH_BYTES, "big"))
        parts.append(record)
    return b"".join(parts)


def unpack(data: bytes) -> tuple[bytes, ...]:
    """Decode records, each prefixed with its length; raises `ValueError` if one is cut."""
    records: list[bytes] = []
    at = 0
    while at < len(data):
        begin = at + LENGTH_BYTES
        at = begin + int.from_bytes(data[at:begin], "big")
        if max(begin, at) > len(data):
            message = "a record was cut"
            raise ValueError(message)
        records.append(data[begin:at])
    return tuple(records)


def to_problem(response: CompleteResponse) -> LogProblem:
    """Convert an error response of the store to a `LogProblem`."""
    status = response.head.status
    if status in RETRYABLE_STATUSES:
        return LogProblem(LogFault.NOT_DONE)
    try:
        details = msgspec.json.decode(response.body, type=AppendResponse)
    except DECODING_ERRORS:
        details = AppendResponse()
    if status == GONE:
        return LogProblem(LogFault.GONE, details.first)
    if status == PRECONDITION_FAILED:
        return LogProblem(LogFault.MOVED_ON, details.end)
    if status == CONFLICT:
        is_fenced = details.why != "seq"
        return LogProblem(LogFault.FENCED if is_fenced else LogFault.OUT_OF_ORDER)
    if status == INSUFFICIENT_STORAGE:
        return LogProblem(LogFault.FULL)
    is_server_error = status >= SERVER_ERRORS
    return LogProblem(LogFault.FAILED if is_server_error else LogFault.REJECTED)


class PlatformStore:
    """Implements the log service with requests to the platform's store."""

    def __init__(
        self,
        requester: Requester,
        clock: IReactorTime,
        limits: LogLimits = LogLimits(),  # noqa: B008
    ) -> None:
        """Send all requests with `requester`; `limits` are those of the settings."""
        self.limits = limits
        self._requester = requester
        self._clock = clock
        self._feeds: dict[str, FeedFaults] = {}
        """The faults of the answers about each topic or group."""
        self._appends = AdaptiveTimeout(
            MIN_APPEND_TIMEOUT_SECONDS, REQUEST_TIMEOUT_SECONDS
        )
        self._joins = AdaptiveTimeout(
            MIN_JOIN_TIMEOUT_SECONDS, MAX_JOIN_TIMEOUT_SECONDS
        )

    @property
    def _max_read_bytes(self) -> int:
        """The longest answer to a read: a megabyte of records, and one more."""
        return MIN_READ_LIMIT_BYTES + ENCODED_RECORD_FACTOR * self.limits.record_bytes

    def _faults(self, feed: str) -> FeedFaults:
        """Return the faults of the answers about a topic or a group."""
        if feed not in self._feeds:
            self._feeds[feed] = FeedFaults(feed)
        return self._feeds[feed]

    def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, Any],
        body: bytes,
        *,
        translate: Callable[[bytes], Translated],
        seconds: float = REQUEST_TIMEOUT_SECONDS,
        adaptive_timeout: AdaptiveTimeout | None = None,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> "Deferred[Result[Translated, LogProblem]]":
        target = f"{path}?{urlencode(query)}" if query else path
        started_at = self._clock.seconds()
        timeout_seconds = (
            seconds if adaptive_timeout is None else adaptive_timeout.seconds
        )
        sent: Deferred[Any] = maybeDeferred(
            self._requester.request,
            method,
            target.encode(),
            body,
            timeout_seconds,
            max_response_bytes,
        )

        def read(outcome: Outcome) -> Result[Translated, LogProblem]:
            if isinstance(outcome, Err):
                is_unsent = outcome.err_value is NoResponse.NOT_SENT
                if adaptive_timeout is not None and not is_unsent:
                    adaptive_timeout.timed_out()
                return Err(LogProblem(FAULT_WITHOUT_RESPONSE[outcome.err_value]))
            if adaptive_timeout is not None:
                adaptive_timeout.response_received(self._clock.seconds() - started_at)
            response = outcome.ok_value
            if response.head.status != OK:
                return Err(to_problem(response))
            try:
                return Ok(translate(response.body))
            except DECODING_ERRORS:
                return Err(LogProblem(LogFault.UNREADABLE))

        sent.addCallback(read)
        return sent.addErrback(self._on_exception, path)

    def _on_exception(self, failure: Failure, path: str) -> "Result[Any, LogProblem]":
        """Report an exception as an answer that can't be read: callers expect none."""
        self._faults(EXCEPTIONS).report(path, failure.getTraceback())
        return Err(LogProblem(LogFault.UNREADABLE))

    def append(
        self,
        topic: str,
        partition: int,
        records: tuple[bytes, ...],
        producer: Producer | None = None,
    ) -> "Deferred[Result[Appended, LogProblem]]":
        """Append records atomically."""
        query: dict[str, Any] = {"topic": topic, "part": partition}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["call_sequence"] = producer.sequence

        def read(body: bytes) -> Appended:
            response = msgspec.json.decode(body, type=AppendResponse)
            return Appended(response.offset, response.end)

        return self._call(
            b"POST",
            "/log-append",
            query,
            pack(records),
            translate=read,
            adaptive_timeout=self._appends,
        )

    def read(
        self, topic: str, partition: int, offset: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[Records, LogProblem]]":
        """Read records from an offset; wait up to `wait_seconds` for the first."""
        query: dict[str, Any] = {"topic": topic, "part": partition, "source": offset}
        if wait_seconds:
            query["wait_ms"] = int(wait_seconds * 1000)

        def read(body: bytes) -> Records:
            if len(body) < 2 * OFFSET_BYTES:
                message = "the offsets were cut"
                raise ValueError(message)
            end = int.from_bytes(body[:OFFSET_BYTES], "big")
            return Records(offset, unpack(body[2 * OFFSET_BYTES :]), end)

        seconds = wait_seconds + REQUEST_TIMEOUT_SECONDS
        return self._call(
            b"GET",
            "/log-read",
            query,
            b"",
            translate=read,
            seconds=seconds,
            max_response_bytes=self._max_read_bytes,
        )

    def trim(
        self, topic: str, partition: int, before: int
    ) -> "Deferred[Result[None, LogProblem]]":
        """Delete the records before an offset."""
        query = {"topic": topic, "part": partition, "before": before}
        return self._call(b"POST", "/log-trim", query, b"", translate=lambda _: None)

    def newest(
        self, topic: str, partition: int, after: str = ""
    ) -> "Deferred[Result[NewestPage, LogProblem]]":
        """Read a page of the newest value of each key."""
        query: dict[str, Any] = {"topic": topic, "part": partition}
        if after:
            query["after"] = after

        faults = self._faults(topic)
        return self._call(
            b"GET",
            "/log-newest",
            query,
            b"",
            translate=lambda answer: decode_page(answer, faults),
            max_response_bytes=self._max_read_bytes,
        )

    def join(
        self,
        group: GroupName,
        member: str,
        lease_seconds: float,
        generation: int,
    ) -> "Deferred[Result[Membership, LogProblem]]":
        """Join a group or renew the membership."""
        body = msgspec.json.encode(
            {
                "group": group.group,
                "member": member,
                "topics": group.topics,
                "ttl_ms": int(lease_seconds * 1000),
                "generation": generation,
            }
        )

        faults = self._faults(group.group)
        return self._call(
            b"POST",
            "/log-join",
            {},
            body,
            translate=lambda answer: decode_membership(answer, faults),
            adaptive_timeout=self._joins,
        )

    def leave(self, group: str, member: str) -> "Deferred[Result[None, LogProblem]]":
        """Leave a group."""
        body = msgspec.json.encode({"group": group, "member": member})
        return self._call(b"POST", "/log-leave", {}, body, translate=lambda _: None)

    def owners(
        self, group: str
    ) -> "Deferred[Result[tuple[Ownership, ...], LogProblem]]":
        """Return the member that owns each partition."""
        faults = self._faults(group)
        return self._call(
            b"GET",
            "/log-owners",
            {"group": group},
            b"",
            translate=lambda answer: decode_owners(answer, faults),
        )
