"""The client of the log service's partitions, groups and keyed topics."""

from typing import TypeVar

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IAgent

from notcharch.clients.journal_messages import (
    Append,
    Call,
    Join,
    Leave,
    Newest,
    Owners,
    Read,
    Reply,
    Trim,
)
from notcharch.clients.json_http import POST, JsonHttp
from notcharch.errors import Problem, ProblemCode, Ran
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
from notcharch.settings.schema import PlatformSection
from notcharch.values.decoding import DECODING_ERRORS

Value = TypeVar("Value")

LONGEST_SECONDS = 1.5
"""Time-out of a response; leases are not much longer."""


class JournalClient:
    """Implements `LogService` over HTTP."""

    def __init__(
        self, agent: IAgent, clock: IReactorTime, settings: PlatformSection
    ) -> None:
        """Take the address and the time-out from the settings."""
        self.limits = LogLimits(settings.log_record_bytes, settings.log_call_bytes)
        self._base = f"http://{settings.log}"
        seconds = min(settings.request_seconds, LONGEST_SECONDS)
        self._http = JsonHttp(
            agent, clock, seconds, "log service", ProblemCode.UNAVAILABLE
        )

    def append(
        self,
        topic: str,
        partition: int,
        records: tuple[bytes, ...],
        producer: Producer | None = None,
    ) -> "Deferred[Result[Appended, LogProblem]]":
        """Append records, all or none."""
        return self._send(Append(topic, partition, records, producer), Appended)

    def read(
        self, topic: str, partition: int, offset: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[Records, LogProblem]]":
        """Read records from an offset, waiting for the first if necessary."""
        call = Read(topic, partition, offset, wait_seconds)
        return self._send(call, Records, wait_seconds)

    def trim(
        self, topic: str, partition: int, before: int
    ) -> "Deferred[Result[None, LogProblem]]":
        """Drop the records before an offset."""
        return self._send(Trim(topic, partition, before), type(None))

    def newest(
        self, topic: str, partition: int, after: str = ""
    ) -> "Deferred[Result[NewestPage, LogProblem]]":
        """Read a page of the newest value of each key."""
        return self._send(Newest(topic, partition, after), NewestPage)

    def join(
        self,
        group: GroupName,
        member: str,
        lease_seconds: float,
        generation: int,
    ) -> "Deferred[Result[Membership, LogProblem]]":
        """Join a group, or renew the membership."""
        call = Join(group.group, group.topics, member, lease_seconds, generation)
        return self._send(call, Membership)

    def leave(self, group: str, member: str) -> "Deferred[Result[None, LogProblem]]":
        """Leave a group."""
        return self._send(Leave(group, member), type(None))

    def owners(
        self, group: str
    ) -> "Deferred[Result[tuple[Ownership, ...], LogProblem]]":
        """Return the member to which each partition is assigned."""
        return self._send(Owners(group), tuple[Ownership, ...])

    def _send(
        self, call: Call, kind: type[Value], extra_seconds: float = 0.0
    ) -> "Deferred[Result[Value, LogProblem]]":
        return Deferred.fromCoroutine(self._exchange(call, kind, extra_seconds))

    async def _exchange(
        self, call: Call, kind: type[Value], extra_seconds: float
    ) -> Result[Value, LogProblem]:
        answer = await self._http.call(
            POST, self._base + call.PATH, Reply, call, extra_seconds
        )
        if isinstance(answer, Err):
            return Err(log_problem(answer.err_value))
        reply = answer.ok_value
        if reply.problem is not None:
            return Err(reply.problem)
        try:
            return Ok(msgspec.json.decode(reply.value, type=kind))
        except DECODING_ERRORS:
            return Err(LogProblem(LogFault.UNREADABLE))


def log_problem(problem: Problem) -> LogProblem:
    """Return the fault of a call without a response."""
    return LogProblem(LogFault.NOT_DONE if problem.ran is Ran.NO else LogFault.UNKNOWN)
