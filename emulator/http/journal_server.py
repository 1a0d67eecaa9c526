"""The HTTP interface of the log service's partitions, groups and keyed topics."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Request

from emulator.engine.refusals import EngineRefusal
from emulator.http.exchange import (
    HttpExchange,
    Outcome,
    Reply,
    read_body,
    refusal_reply,
)
from emulator.models import RegionModels
from emulator.services.partitioned_log import PartitionedLog
from notcharch.clients import journal_messages as messages
from notcharch.journal.interface import GroupName, LogProblem

Body = TypeVar("Body", bound=messages.Call)
Value = TypeVar("Value")
Answered = Deferred[Result[Value, LogProblem]]


class JournalServer:
    """The routes under `/v1/journal`."""

    app = Klein()

    def __init__(self, models: RegionModels) -> None:
        """Serve the partitioned log under the faults of the log service."""
        self._log: PartitionedLog = models.journal
        self._exchange = HttpExchange(models.clock, models.log_faults.transport)

    @app.route(messages.Append.PATH, methods=["POST"])
    def append(self, request: Request) -> Reply:
        """Append records, all or none."""
        return self._answer(
            request,
            messages.Append,
            lambda call: self._log.append(
                call.topic, call.partition, call.records, call.producer
            ),
        )

    @app.route(messages.Read.PATH, methods=["POST"])
    def read(self, request: Request) -> Reply:
        """Read records, waiting for the first if asked."""
        return self._answer(
            request,
            messages.Read,
            lambda call: self._log.read(
                call.topic, call.partition, call.offset, call.wait_seconds
            ),
        )

    @app.route(messages.Trim.PATH, methods=["POST"])
    def trim(self, request: Request) -> Reply:
        """Drop the records that lie before an offset."""
        return self._answer(
            request,
            messages.Trim,
            lambda call: self._log.trim(call.topic, call.partition, call.before),
        )

    @app.route(messages.Newest.PATH, methods=["POST"])
    def newest(self, request: Request) -> Reply:
        """Give a page of the newest value of each key."""
        return self._answer(
            request,
            messages.Newest,
            lambda call: self._log.newest(call.topic, call.partition, call.after),
        )

    @app.route(messages.Join.PATH, methods=["POST"])
    def join(self, request: Request) -> Reply:
        """Take a member in, or renew its lease."""
        return self._answer(
            request,
            messages.Join,
            lambda call: self._log.join(
                GroupName(call.group, call.topics),
                call.member,
                call.lease_seconds,
                call.generation,
            ),
        )

    @app.route(messages.Leave.PATH, methods=["POST"])
    def leave(self, request: Request) -> Reply:
        """Let a member go at once."""
        return self._answer(
            request,
            messages.Leave,
            lambda call: self._log.leave(call.group, call.member),
        )

    @app.route(messages.Owners.PATH, methods=["POST"])
    def owners(self, request: Request) -> Reply:
        """Return the owner of each partition."""
        return self._answer(
            request, messages.Owners, lambda call: self._log.owners(call.group)
        )

    def _answer(
        self,
        request: Request,
        kind: type[Body],
        act: "Callable[[Body], Answered[Value]]",
    ) -> Reply:
        body = read_body(request, kind)
        if isinstance(body, Err):
            return succeed(refusal_reply(request, body.err_value))

        def effect() -> "Outcome[messages.Reply]":
            return act(body.ok_value).addCallback(_reply)

        return self._exchange.answer(request, effect, lambda reply: reply)


def _reply(
    answer: "Result[Value, LogProblem]",
) -> "Result[messages.Reply, EngineRefusal]":
    if isinstance(answer, Err):
        return Ok(messages.Reply(problem=answer.err_value))
    return Ok(messages.Reply(msgspec.Raw(msgspec.json.encode(answer.ok_value))))
