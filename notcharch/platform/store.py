"""The platform's store as the product's log service."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.http.adaptive_timeout import AdaptiveTimeout
from notcharch.http.requester import CompleteResponse, NoResponse, Outcome, Requester
from notcharch.journal.interface import (
    Appended,
    GroupName,
    KeyedRecord,
    LogFault,
    LogPartition,
    LogProblem,
    Membership,
    NewestPage,
    Ownership,
    Producer,
    Records,
)

Translated = TypeVar("Translated")

LENGTH_BYTES = 4
OFFSET_BYTES = 8
CALL_SECONDS = 1.5
"""An answer that takes longer is taken for lost."""
LEAST_APPEND_SECONDS = 0.2
"""An append may be repeated under its number, so a lost answer is given up sooner."""
LEAST_JOIN_SECONDS = 0.45
"""A heartbeat is repeated twice before a lease of the least length runs out."""
MOST_JOIN_SECONDS = 0.75
"""Heartbeats find out when the store is back, so none is waited for much longer."""
OK = 200
GONE = 410
CONFLICT = 409
PRECONDITION = 412
FULL = 507
REFUSED = (429, 503)


class AppendAnswer(msgspec.Struct):
    """The answer to an append, and to a conflict."""

    offset: int = -1
    end: int = -1
    why: str = ""
    first: int = -1


class NewestItem(msgspec.Struct):
    """One key of a page."""

    private_key: str
    value: bytes
    offset: int


class NewestAnswer(msgspec.Struct):
    """A page of keys."""

    items: list[NewestItem]
    more: bool
    end: int


class JoinAnswer(msgspec.Struct):
    """A member's part of a group."""

    generation: int
    parts: list[tuple[str, int, int]]


class OwnersAnswer(msgspec.Struct):
    """Rows of topic, partition, member and offset."""

    parts: list[tuple[str, int, str, int]]


def pack(records: tuple[bytes, ...]) -> bytes:
    """Write records, each behind its length."""
    parts: list[bytes] = []
    for record in records:
        parts.append(len(record).to_bytes(LENGTH_BYTES, "big"))
        parts.append(record)
    return b"".join(parts)


def unpack(data: bytes) -> tuple[bytes, ...]:
    """Read records, each behind its length."""
    records: list[bytes] = []
    at = 0
    while at + LENGTH_BYTES <= len(data):
        begin = at + LENGTH_BYTES
        at = begin + int.from_bytes(data[at:begin], "big")
        records.append(data[begin:at])
    return tuple(records)


def problem_of(answer: CompleteResponse) -> LogProblem:
    """Translate a refusal of the store."""
    status = answer.head.status
    if status in REFUSED:
        return LogProblem(LogFault.NOT_DONE)
    try:
        said = msgspec.json.decode(answer.body, type=AppendAnswer)
    except msgspec.DecodeError:
        said = AppendAnswer()
    if status == GONE:
        return LogProblem(LogFault.GONE, said.first)
    if status == PRECONDITION:
        return LogProblem(LogFault.MOVED_ON, said.end)
    if status == CONFLICT:
        is_fenced = said.why != "seq"
        return LogProblem(LogFault.FENCED if is_fenced else LogFault.OUT_OF_ORDER)
    return LogProblem(LogFault.FULL if status == FULL else LogFault.REJECTED)


class PlatformStore:
    """Calls to the platform's store."""

    def __init__(self, requester: Requester, clock: IReactorTime) -> None:
        """Speak to the store by a requester."""
        self._requester = requester
        self._clock = clock
        self._appends = AdaptiveTimeout(LEAST_APPEND_SECONDS, CALL_SECONDS)
        self._joins = AdaptiveTimeout(LEAST_JOIN_SECONDS, MOST_JOIN_SECONDS)

    def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, Any],
        body: bytes,
        *,
        translate: Callable[[bytes], Translated],
        seconds: float = CALL_SECONDS,
        adaptive_timeout: AdaptiveTimeout | None = None,
    ) -> "Deferred[Result[Translated, LogProblem]]":
        target = f"{path}?{urlencode(query)}" if query else path
        began = self._clock.seconds()
        wait = seconds if adaptive_timeout is None else adaptive_timeout.seconds
        sent = self._requester.request(method, target.encode(), body, wait)

        def read(outcome: Outcome) -> Result[Translated, LogProblem]:
            if isinstance(outcome, Err):
                is_unsent = outcome.err_value is NoResponse.NOT_SENT
                if adaptive_timeout is not None and not is_unsent:
                    adaptive_timeout.timed_out()
                fault = LogFault.NOT_DONE if is_unsent else LogFault.UNKNOWN
                return Err(LogProblem(fault))
            if adaptive_timeout is not None:
                adaptive_timeout.response_received(self._clock.seconds() - began)
            answer = outcome.ok_value
            if answer.head.status != OK:
                return Err(problem_of(answer))
            try:
                return Ok(translate(answer.body))
            except (msgspec.DecodeError, ValueError):
                return Err(LogProblem(LogFault.REJECTED))

        return sent.addCallback(read)

    def append(
        self,
        topic: str,
        partition: int,
        records: tuple[bytes, ...],
        producer: Producer | None = None,
    ) -> "Deferred[Result[Appended, LogProblem]]":
        """Append records, all or none."""
        query: dict[str, Any] = {"topic": topic, "part": partition}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["call_sequence"] = producer.sequence

        def read(body: bytes) -> Appended:
            said = msgspec.json.decode(body, type=AppendAnswer)
            return Appended(said.offset, said.end)

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
        """Read records from an offset."""
        query: dict[str, Any] = {"topic": topic, "part": partition, "source": offset}
        if wait_seconds:
            query["wait_ms"] = int(wait_seconds * 1000)

        def read(body: bytes) -> Records:
            end = int.from_bytes(body[:OFFSET_BYTES], "big")
            return Records(offset, unpack(body[2 * OFFSET_BYTES :]), end)

        seconds = wait_seconds + CALL_SECONDS
        return self._call(
            b"GET", "/log-read", query, b"", translate=read, seconds=seconds
        )

    def trim(
        self, topic: str, partition: int, before: int
    ) -> "Deferred[Result[None, LogProblem]]":
        """Drop the records that lie before an offset."""
        query = {"topic": topic, "part": partition, "before": before}
        return self._call(b"POST", "/log-trim", query, b"", translate=lambda _: None)

    def newest(
        self, topic: str, partition: int, after: str = ""
    ) -> "Deferred[Result[NewestPage, LogProblem]]":
        """Read a page of the newest value of each key."""
        query: dict[str, Any] = {"topic": topic, "part": partition}
        if after:
            query["after"] = after

        def read(body: bytes) -> NewestPage:
            said = msgspec.json.decode(body, type=NewestAnswer)
            items = tuple(
                KeyedRecord(item.private_key, item.value, item.offset)
                for item in said.items
            )
            return NewestPage(items, said.more, said.end)

        return self._call(b"GET", "/log-newest", query, b"", translate=read)

    def join(
        self,
        group: GroupName,
        member: str,
        lease_seconds: float,
        generation: int,
    ) -> "Deferred[Result[Membership, LogProblem]]":
        """Join a group, or stay in it."""
        body = msgspec.json.encode(
            {
                "group": group.group,
                "member": member,
                "topics": group.topics,
                "ttl_ms": int(lease_seconds * 1000),
                "generation": generation,
            }
        )

        def read(data: bytes) -> Membership:
            said = msgspec.json.decode(data, type=JoinAnswer)
            dealt = tuple(LogPartition(row[0], row[1]) for row in said.parts)
            return Membership(said.generation, dealt)

        return self._call(
            b"POST", "/log-join", {}, body, translate=read, adaptive_timeout=self._joins
        )

    def leave(self, group: str, member: str) -> "Deferred[Result[None, LogProblem]]":
        """Leave a group."""
        body = msgspec.json.encode({"group": group, "member": member})
        return self._call(b"POST", "/log-leave", {}, body, translate=lambda _: None)

    def owners(
        self, group: str
    ) -> "Deferred[Result[tuple[Ownership, ...], LogProblem]]":
        """Tell who each partition is dealt to."""

        def read(data: bytes) -> tuple[Ownership, ...]:
            said = msgspec.json.decode(data, type=OwnersAnswer)
            return tuple(
                Ownership(LogPartition(row[0], row[1]), row[2]) for row in said.parts
            )

        return self._call(b"GET", "/log-owners", {"group": group}, b"", translate=read)
