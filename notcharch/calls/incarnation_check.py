"""Asks an engine on a connection when its process started.

An engine may start again under its id with other software, before its entry in the list
says so. A connection ends with the process that accepted it, so the answer holds for every
call on the connection.
"""

import enum
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import Engine, IncarnationDialect
from notcharch.http.bounded_body import BoundedBody, ServerKind
from notcharch.http.client import ClientConnection, ResponseFailure
from notcharch.http.messages import ResponseHead

CHECK_SECONDS = 0.3
"""Longest wait for the answer, which needs no slot of the engine; as long as for a
connection."""

MAX_REPORT_BYTES = 1024 * 1024
"""The longest report: some dozen bytes for each run, model and adapter of an engine."""


class CheckResult(enum.Enum):
    """What an engine said of its start."""

    CONFIRMED = "as listed"
    RESTARTED = "not as listed"
    UNKNOWN = "not told"
    FAILED = "no answer"


class IncarnationCheck:
    """One check; the listener of its response."""

    def __init__(
        self,
        dialect: IncarnationDialect,
        engine: Engine,
        connection: ClientConnection,
        then: Callable[[CheckResult], None],
    ) -> None:
        """Prepare a check; `then` is called once, unless the connection is abandoned."""
        self._dialect = dialect
        self._engine = engine
        self._connection = connection
        self._then = then
        self._head: ResponseHead | None = None
        self._body = BoundedBody(MAX_REPORT_BYTES, ServerKind.ENGINE, engine.id)

    def start(self, clock: IReactorTime) -> None:
        """Send the request."""
        self._timer = clock.callLater(CHECK_SECONDS, self._expire)
        self._connection.send(self._dialect.incarnation_request(), b"", self)

    def stop(self) -> None:
        """End the check without a result."""
        if self._timer.active():
            self._timer.cancel()

    def _expire(self) -> None:
        self._connection.abandon()
        self._then(CheckResult.FAILED)

    def _end(self, result: CheckResult) -> None:
        self.stop()
        self._then(result)

    # Response of the engine

    def is_response(self, head: ResponseHead) -> bool:
        """Return whether a response is not one to an earlier call."""
        return self._dialect.is_incarnation_response(head)

    def head_received(self, head: ResponseHead) -> None:
        """Keep the head."""
        self._head = head

    def data_received(self, data: bytes) -> None:
        """Keep a part of the body; a report that is too long tells nothing."""
        if not self._body.add(data):
            self._connection.abandon()
            self._end(CheckResult.FAILED)

    def completed(self) -> None:
        """Compare the start with the engine's entry."""
        assert self._head is not None
        started = self._dialect.started_ms(self._head, self._body.content())
        if started is None:
            self._end(CheckResult.UNKNOWN)
        elif started != self._engine.started_ms:
            self._end(CheckResult.RESTARTED)
        else:
            self._connection.peer_started_ms = started
            self._end(CheckResult.CONFIRMED)

    def failed(self, failure: ResponseFailure) -> None:
        """Handle a missing answer."""
        self._end(CheckResult.FAILED)
