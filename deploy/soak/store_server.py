"""The platform's store in this process: its HTTP dialect over the stand-in's log."""

import math
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import parse_qs

import msgspec
from result import Err, Result
from twisted.internet.interfaces import IReactorTime

from deploy.soak.spoiled import (
    BAD_ITEMS,
    BAD_ROWS,
    EndlessAnswer,
    EndlessKind,
    insert_part,
)
from emulator.services.partitioned_log import PartitionedLog
from notcharch.http.exchange import Exchange, ServerLimits
from notcharch.journal.interface import (
    Appended,
    GroupName,
    LogFault,
    LogProblem,
    Membership,
    NewestPage,
    Ownership,
    Producer,
    Records,
)
from notcharch.journal.keyed_follower import join_keyed
from notcharch.platform.store import OFFSET_BYTES, pack, unpack

OK = 200
BUSY = 503
STATUS_OF_FAULT = {
    LogFault.FENCED: 409,
    LogFault.OUT_OF_ORDER: 409,
    LogFault.MOVED_ON: 412,
    LogFault.GONE: 410,
    LogFault.FULL: 507,
    LogFault.NOT_DONE: BUSY,
    LogFault.REJECTED: 413,
}
MILLISECONDS = 1000
ENDLESS_SHARE = 0.3
"""Of the answers, while there are some without end."""


class JoinBody(msgspec.Struct, frozen=True):
    """A member's call to join."""

    group: str
    member: str
    topics: tuple[str, ...] = ()
    ttl_ms: float = 1000
    generation: int = 0


class Query:
    """The values of a call's query."""

    def __init__(self, target: bytes) -> None:
        """Read what follows the path."""
        self.path, _, query = target.decode().partition("?")
        self._values = parse_qs(query)

    def text(self, key: str, default: str = "") -> str:
        """Give a value as it is."""
        return self._values.get(key, [default])[0]

    def number(self, key: str, default: int = 0) -> int:
        """Give a value as a number."""
        return int(self.text(key, str(default)))


class StoreServer:
    """Answers the calls to the store; a `RequestHandler`."""

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        partitions: int,
        retention_seconds: float = math.inf,
    ) -> None:
        """Begin with an empty log, which drops records after `retention_seconds`."""
        self.log = PartitionedLog(
            clock, random, partitions, retention_seconds=retention_seconds
        )
        self._clock = clock
        self._random = random
        self.has_bad_parts = False
        """Whether pages, assignments and owners have a part that can't be read."""
        self.is_endless = False
        """Whether some answers are bytes without end."""
        self._routes: dict[str, Callable[[Exchange, Query], None]] = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-trim": self._trim,
            "/log-newest": self._newest,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-owners": self._owners,
        }

    def limits(self) -> ServerLimits:
        """Allow large calls."""
        return ServerLimits(body_bytes=8 * 1024 * 1024)

    def is_closing(self) -> bool:
        """Keep connections."""
        return False

    def count(self, change: int) -> None:
        """Count nothing."""

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        query = Query(exchange.head.target)
        route = self._routes.get(query.path)
        if self.is_endless and self._random.random() < ENDLESS_SHARE:
            EndlessAnswer(self._clock, exchange, EndlessKind.draw(self._random))
            return
        if route is None:
            exchange.respond(404, [])
        else:
            route(exchange, query)

    def write_key(self, topic: str, key: str, value: bytes) -> None:
        """Write a key of a keyed topic, as the operator or an engine does."""
        self.log.append(topic, 0, (join_keyed(key, value),))

    def write_bad_record(self, topic: str, record: bytes) -> None:
        """Write a record whose key nobody can read."""
        self.log.put(topic, 0, record)

    def _spoil(self, body: bytes, name: bytes, parts: tuple[bytes, ...]) -> bytes:
        """Add a part that can't be read, if there are bad parts now."""
        if not self.has_bad_parts:
            return body
        return insert_part(body, name, self._random.choice(parts))

    def _append(self, exchange: Exchange, query: Query) -> None:
        producer = None
        if query.text("producer"):
            producer = Producer(
                query.text("producer"),
                query.number("epoch"),
                query.number("call_sequence"),
            )
        appended = self.log.append(
            query.text("topic"), query.number("part"), unpack(exchange.body), producer
        )

        def body(done: Appended) -> bytes:
            return msgspec.json.encode({"offset": done.offset, "end": done.end})

        appended.addCallback(_answer, exchange, body)

    def _read(self, exchange: Exchange, query: Query) -> None:
        reading = self.log.read(
            query.text("topic"),
            query.number("part"),
            query.number("source"),
            query.number("wait_ms") / MILLISECONDS,
        )

        def body(found: Records) -> bytes:
            ends = found.end.to_bytes(OFFSET_BYTES, "big") + bytes(OFFSET_BYTES)
            return ends + pack(found.records)

        reading.addCallback(_answer, exchange, body)

    def _trim(self, exchange: Exchange, query: Query) -> None:
        trimmed = self.log.trim(
            query.text("topic"), query.number("part"), query.number("before")
        )
        trimmed.addCallback(_answer, exchange, lambda _: b"{}")

    def _newest(self, exchange: Exchange, query: Query) -> None:
        reading = self.log.newest(
            query.text("topic"), query.number("part"), query.text("after")
        )

        def body(page: NewestPage) -> bytes:
            items = [
                {"private_key": item.key, "value": item.value, "offset": item.offset}
                for item in page.items
            ]
            whole = msgspec.json.encode(
                {"items": items, "more": page.has_more, "end": page.end}
            )
            return self._spoil(whole, b"items", BAD_ITEMS)

        reading.addCallback(_answer, exchange, body)

    def _join(self, exchange: Exchange, _: Query) -> None:
        call = msgspec.json.decode(exchange.body, type=JoinBody)
        joined = self.log.join(
            GroupName(call.group, call.topics),
            call.member,
            call.ttl_ms / MILLISECONDS,
            call.generation,
        )

        def body(membership: Membership) -> bytes:
            rows = [(p.topic, p.number, 0) for p in membership.partitions]
            whole = msgspec.json.encode(
                {"generation": membership.generation, "parts": rows}
            )
            return self._spoil(whole, b"parts", BAD_ROWS)

        joined.addCallback(_answer, exchange, body)

    def _leave(self, exchange: Exchange, _: Query) -> None:
        call = msgspec.json.decode(exchange.body, type=JoinBody)
        left = self.log.leave(call.group, call.member)
        left.addCallback(_answer, exchange, lambda _: b"{}")

    def _owners(self, exchange: Exchange, query: Query) -> None:
        def body(owners: tuple[Ownership, ...]) -> bytes:
            rows = [
                (owner.partition.topic, owner.partition.number, owner.member, 0)
                for owner in owners
            ]
            whole = msgspec.json.encode({"parts": rows})
            return self._spoil(whole, b"parts", BAD_ROWS)

        owners = self.log.owners(query.text("group"))
        owners.addCallback(_answer, exchange, body)


def _answer(
    result: "Result[Any, LogProblem]",
    exchange: Exchange,
    body: Callable[[Any], bytes],
) -> None:
    """Answer a call; one without an outcome is never answered."""
    if not isinstance(result, Err):
        exchange.respond(OK, [], body(result.ok_value))
        return
    problem = result.err_value
    if problem.fault is LogFault.UNKNOWN:
        exchange.abort()
        return
    why = "seq" if problem.fault is LogFault.OUT_OF_ORDER else problem.fault.value
    said = {"why": why, "first": problem.offset, "end": problem.offset}
    exchange.respond(STATUS_OF_FAULT[problem.fault], [], msgspec.json.encode(said))
