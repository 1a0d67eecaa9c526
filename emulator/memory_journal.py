"""The in-process port to the log service's partitions, with the service's faults."""

from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from emulator.engine.refusals import EngineRefusal
from emulator.faults import ServiceFaults
from emulator.memory_exchange import MemoryExchange, MemoryWay
from emulator.services.partitioned_log import PartitionedLog
from notcharch.clients.journal_client import log_problem
from notcharch.errors import Problem, ProblemCode
from notcharch.journal.interface import (
    Appended,
    GroupName,
    LogProblem,
    Membership,
    NewestPage,
    Ownership,
    Producer,
    Records,
)

Value = TypeVar("Value")
Answer = Result[Value, LogProblem]


class MemoryJournal:
    """`LogService` over a `PartitionedLog`."""

    def __init__(
        self, way: MemoryWay, log: PartitionedLog, faults: ServiceFaults
    ) -> None:
        """Share `faults` between the ports of one service."""
        self._log = log
        self.limits = log.limits
        self._exchange = MemoryExchange(
            way, faults.transport, ProblemCode.UNAVAILABLE, "log service"
        )

    def append(
        self,
        topic: str,
        partition: int,
        records: tuple[bytes, ...],
        producer: Producer | None = None,
    ) -> "Deferred[Answer[Appended]]":
        """Append records, all or none."""
        return self._call(lambda: self._log.append(topic, partition, records, producer))

    def read(
        self, topic: str, partition: int, offset: int, wait_seconds: float = 0.0
    ) -> "Deferred[Answer[Records]]":
        """Read records from an offset, waiting for the first if need be."""
        return self._call(
            lambda: self._log.read(topic, partition, offset, wait_seconds), wait_seconds
        )

    def trim(self, topic: str, partition: int, before: int) -> "Deferred[Answer[None]]":
        """Drop the records that lie before an offset."""
        return self._call(lambda: self._log.trim(topic, partition, before))

    def newest(
        self, topic: str, partition: int, after: str = ""
    ) -> "Deferred[Answer[NewestPage]]":
        """Read a page of the newest value of each key."""
        return self._call(lambda: self._log.newest(topic, partition, after))

    def join(
        self,
        group: GroupName,
        member: str,
        lease_seconds: float,
        generation: int,
    ) -> "Deferred[Answer[Membership]]":
        """Join a group, or stay in it."""
        return self._call(
            lambda: self._log.join(group, member, lease_seconds, generation)
        )

    def leave(self, group: str, member: str) -> "Deferred[Answer[None]]":
        """Leave a group."""
        return self._call(lambda: self._log.leave(group, member))

    def owners(self, group: str) -> "Deferred[Answer[tuple[Ownership, ...]]]":
        """Return the owner of each partition."""
        return self._call(lambda: self._log.owners(group))

    def _call(
        self,
        act: Callable[[], "Deferred[Answer[Value]]"],
        extra_seconds: float = 0.0,
    ) -> "Deferred[Answer[Value]]":
        def effect() -> "Deferred[Result[Answer[Value], EngineRefusal]]":
            return act().addCallback(Ok)

        return self._exchange.call(effect, extra_seconds).addCallback(_answer)


def _answer(reply: "Result[Answer[Value], Problem]") -> "Answer[Value]":
    if isinstance(reply, Err):
        return Err(log_problem(reply.err_value))
    return reply.ok_value
