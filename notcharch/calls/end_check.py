"""Asks an engine whether an answer that ended with its connection is whole.

Such an answer does not say where it ends: its connection closes alike when the engine has
sent everything and when its process dies. The end is believed unless the engine
contradicts it, so silence never breaks a whole answer.
"""

import enum
from collections.abc import Callable
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.calls.engine_sender import EngineRequest, SendListener
from notcharch.calls.incarnation_check import MAX_REPORT_BYTES
from notcharch.calls.interface import Engine, EngineDialect, OpaqueCall
from notcharch.http.bounded_body import BoundedBody, ServerKind
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import RequestHead, ResponseHead

CHECK_SECONDS = 0.3
"""Longest wait for the engine's answer, by which the end of the call is delayed."""
CHECK_SHARE = 0.5
"""Share of the time before the call's deadline that a check may take at most."""
SUCCESSES = range(200, 300)


class EndVerdict(enum.Enum):
    """What an engine's answer says of the end."""

    NOTHING_FOLLOWS = "nothing follows"
    LIVES = "the engine's process still runs"
    UNKNOWN = "the engine did not tell"
    GONE = "the engine's process ended with its answer"
    MORE_FOLLOWS = "the engine has more of the answer"

    @property
    def is_broken(self) -> bool:
        """Whether the answer was broken off."""
        return self in (EndVerdict.GONE, EndVerdict.MORE_FOLLOWS)


def check_seconds(seconds_left: float) -> float:
    """Return how long a check may take with so much time before the call's deadline."""
    return min(CHECK_SECONDS, max(seconds_left, 0.0) * CHECK_SHARE)


class EndQuestion(Protocol):
    """One way to ask about an end, and to read what the engine answers."""

    name: str
    """The name of the question in log lines."""
    may_be_refused: bool
    """Whether an engine may refuse the question as it refuses a call. Such a refusal has no
    request's id: given twice, it would be taken for the answer to the next call on its
    connection."""
    head: RequestHead
    body: bytes
    verdict_if_cut: EndVerdict
    """The verdict if the response breaks off after its head."""

    def is_response(self, head: ResponseHead) -> bool:
        """Return whether a response answers the question."""

    def verdict_of_data(self, head: ResponseHead) -> EndVerdict | None:
        """Return the verdict if any byte of a body decides it."""

    def verdict(self, head: ResponseHead, body: bytes) -> EndVerdict:
        """Return the verdict of a complete response."""


class ProcessQuestion:
    """Asks an engine when its process started; any answer shows that one runs."""

    name = "process"
    may_be_refused = False
    body = b""
    verdict_if_cut = EndVerdict.LIVES

    def __init__(
        self, dialect: EngineDialect, known_started_ms: int | None = None
    ) -> None:
        """Ask an engine; `known_started_ms` is what the answer's process told before."""
        self._dialect = dialect
        self._known_started_ms = known_started_ms
        self.started_ms: int | None = None
        """Unix milliseconds of the start of the process that answered, if it told."""
        self.head = dialect.incarnation_request()

    def is_response(self, head: ResponseHead) -> bool:
        """Return whether a response is not one to a call."""
        return self._dialect.is_incarnation_response(head)

    def verdict_of_data(self, head: ResponseHead) -> EndVerdict | None:
        """Wait for the whole report."""
        return None

    def verdict(self, head: ResponseHead, body: bytes) -> EndVerdict:
        """Compare the start with the known one, if both are told."""
        self.started_ms = self._dialect.started_ms(head, body)
        is_known = None not in (self.started_ms, self._known_started_ms)
        is_another = is_known and self.started_ms != self._known_started_ms
        return EndVerdict.GONE if is_another else EndVerdict.LIVES


class InstanceQuestion:
    """Asks at an engine's address for the id of the engine that answers.

    Another engine may have the address by then.
    """

    name = "instance"
    may_be_refused = True
    body = b""
    verdict_if_cut = EndVerdict.LIVES

    def __init__(
        self, dialect: EngineDialect, engine: Engine, health_path: str
    ) -> None:
        """Ask at the path where engines of the service tell their ids."""
        self._dialect = dialect
        self._engine = engine
        self.head = dialect.instance_request(health_path)

    def is_response(self, head: ResponseHead) -> bool:
        """Return whether a response is not one to a call."""
        return self._dialect.is_incarnation_response(head)

    def verdict_of_data(self, head: ResponseHead) -> EndVerdict | None:
        """Wait for the whole response."""
        return None

    def verdict(self, head: ResponseHead, body: bytes) -> EndVerdict:
        """Compare the id, if it is told: a full engine may not tell it."""
        id = self._dialect.instance_id(head)
        return EndVerdict.GONE if id not in ("", self._engine.id) else EndVerdict.LIVES


class ResumptionQuestion:
    """Asks an engine for what follows the last event of a stream that may be resumed."""

    name = "resumption"
    may_be_refused = False
    verdict_if_cut = EndVerdict.GONE

    def __init__(
        self,
        dialect: EngineDialect,
        engine: Engine,
        call: OpaqueCall,
        body: bytes,
        seconds: float,
    ) -> None:
        """Ask an engine for at most `seconds`; `call` has the id of the last event."""
        self._dialect = dialect
        self._call = call
        self.body = body
        self.head = dialect.request(call, engine, int(seconds * 1000))

    def is_response(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to the call."""
        return self._dialect.is_response_to(self._call, head)

    def _is_stream(self, head: ResponseHead) -> bool:
        return head.status in SUCCESSES and self._dialect.is_genuine(head)

    def verdict_of_data(self, head: ResponseHead) -> EndVerdict | None:
        """Return that more follows, if the stream goes on."""
        return EndVerdict.MORE_FOLLOWS if self._is_stream(head) else None

    def verdict(self, head: ResponseHead, body: bytes) -> EndVerdict:
        """Return whether the stream is over, or who did not run the request."""
        if self._dialect.is_misdirected(head):
            return EndVerdict.GONE
        if self._dialect.was_not_run(head):
            return EndVerdict.LIVES
        return (
            EndVerdict.NOTHING_FOLLOWS if self._is_stream(head) else EndVerdict.UNKNOWN
        )


class CheckSender(Protocol):
    """Sends the question, as `EngineSender` does."""

    def send(
        self, engine: Engine, head: RequestHead, body: bytes, listener: SendListener
    ) -> EngineRequest:
        """Send a request; `listener` is called with its response."""

    def release(self, engine_id: str, request: EngineRequest) -> None:
        """Return the connection of a completed request to the pool."""

    def close_idle(self, engine_id: str) -> None:
        """Close the idle connections to an engine."""


class EndCheck:
    """One check; the listener of the engine's response."""

    def __init__(
        self,
        clock: IReactorTime,
        sender: CheckSender,
        engine: Engine,
        question: EndQuestion,
        *,
        seconds: float,
        then: Callable[[EndVerdict], None],
    ) -> None:
        """Prepare a check of at most `seconds`; `then` is called once unless it is stopped."""
        self._seconds = seconds
        self._clock = clock
        self._sender = sender
        self._engine = engine
        self._question = question
        self._then = then
        self._timer: IDelayedCall | None = None
        self._request: EngineRequest | None = None
        self._head: ResponseHead | None = None
        self._body = BoundedBody(MAX_REPORT_BYTES, ServerKind.ENGINE, engine.id)
        self._is_over = False

    def start(self) -> None:
        """Ask the engine."""
        self._timer = self._clock.callLater(self._seconds, self._expire)
        self._ask()

    def _ask(self) -> None:
        question = self._question
        self._request = self._sender.send(
            self._engine, question.head, question.body, self
        )

    def stop(self) -> None:
        """End the check without a verdict, and close its connection."""
        self._is_over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._request is not None:
            self._request.abandon()

    def _expire(self) -> None:
        self._end(EndVerdict.UNKNOWN)

    def _end(self, verdict: EndVerdict) -> None:
        if not self._is_over:
            self.stop()
            self._then(verdict)

    # Response of the engine

    def unreachable(self) -> None:
        """Handle a failed connection attempt: without a process it is refused."""
        is_refused = self._request is not None and self._request.is_refused
        self._end(EndVerdict.GONE if is_refused else EndVerdict.UNKNOWN)

    def may_send(self) -> bool:
        """Ask also while the engine gets no calls."""
        return True

    def cancelled(self) -> None:
        """Do nothing: a question is never cancelled."""

    def restarted(self) -> None:
        """Do nothing: the connection of a question is not checked."""

    def incarnation_unknown(self) -> None:
        """Do nothing: the connection of a question is not checked."""

    def is_response(self, head: ResponseHead) -> bool:
        """Return whether a response answers the question."""
        return self._question.is_response(head)

    def head_received(self, head: ResponseHead) -> None:
        """Keep the head."""
        self._head = head

    def data_received(self, data: bytes) -> None:
        """End the check if data decides it."""
        assert self._head is not None
        is_kept = self._body.add(data)
        verdict = self._question.verdict_of_data(self._head)
        if verdict is not None:
            self._end(verdict)
        elif not is_kept:
            self._end(self._question.verdict_if_cut)

    def completed(self) -> None:
        """End the check with the verdict of the complete response."""
        assert self._head is not None
        verdict = self._question.verdict(self._head, self._body.content())
        if self._request is not None and not self._question.may_be_refused:
            request, self._request = self._request, None
            self._sender.release(self._engine.id, request)
        self._end(verdict)

    def failed(self, failure: ResponseFailure) -> None:
        """Ask again on a new connection if an idle one was closed; else give a verdict."""
        if self._is_over:
            return
        if self._head is not None:
            self._end(self._question.verdict_if_cut)
        elif self._request is not None and self._request.is_reused:
            self._sender.close_idle(self._engine.id)
            self._ask()
        elif failure in (ResponseFailure.GARBLED, ResponseFailure.CUT):
            self._end(EndVerdict.UNKNOWN)
        else:
            self._end(EndVerdict.GONE)
