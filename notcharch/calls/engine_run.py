"""One run of a call at one engine: sent, watched, and told of to the call."""

from typing import Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.call_log import CallLog
from notcharch.calls.engine_sender import EngineSender, Sending
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import (
    Admission,
    Engine,
    EngineDialect,
    OpaqueCall,
    Route,
)
from notcharch.calls.overdue import OverdueWatch
from notcharch.http.client import AnswerFailure
from notcharch.http.messages import ResponseHead
from notcharch.scheduling.first_response_times import RouteResponseTimes

CLIENT_ERRORS = 400
OVERDUE = "its first answer was overdue"


class CallServices(msgspec.Struct, frozen=True):
    """What the life of a call works with."""

    clock: IReactorTime
    pool: EnginePool
    sender: EngineSender
    dialect: EngineDialect
    admission: Admission
    waits: RouteResponseTimes


class RunListener(Protocol):
    """What hears of a run. After each method but the first two the run is over."""

    def run_began(self, head: ResponseHead) -> None:
        """Hear the head of a stream that succeeds so far."""

    def run_gave(self, data: bytes) -> bool:
        """Take bytes of such a stream; tell whether an event became whole."""

    def run_unreachable(self) -> None:
        """Hear that no connection was made: nothing was sent."""

    def run_was_withdrawn(self) -> None:
        """Hear that the engine must get no call any more: nothing was sent."""

    def run_was_refused(self, head: ResponseHead) -> None:
        """Hear that the engine certainly did not run the call."""

    def run_ended(self, head: ResponseHead, body: bytes) -> None:
        """Hear a whole answer; `body` is that of an answer that is no stream."""

    def run_failed(self, cause: str) -> None:
        """Hear that the answer broke off, or was given up; it may have run."""

    def may_give_up(self) -> bool:
        """Tell whether it helps to give up an answer that is overdue."""


class EngineRun:
    """One run; hears what its engine answers."""

    def __init__(
        self,
        services: CallServices,
        call: OpaqueCall,
        route: Route,
        engine: Engine,
        listener: RunListener,
        *,
        log: CallLog,
    ) -> None:
        """Prepare to run a call at an engine."""
        self._services = services
        self._call = call
        self._route = route
        self.engine = engine
        self._listener = listener
        self._log = log
        self._sending: Sending | None = None
        self._head: ResponseHead | None = None
        self._pieces: list[bytes] = []
        self._is_relayed = False
        """Whether the events go to the caller."""
        self._event_at: float | None = None
        """When the last event came, clock seconds."""
        self._sent_at = 0.0
        self._events = 0
        """Times at which events came: several that come at once count as one."""
        self._overdue = OverdueWatch(
            services.clock, services.waits, route.name, self._is_overdue
        )

    def send(self, body: bytes, milliseconds_left: int) -> None:
        """Send the call with a body."""
        services = self._services
        head = services.dialect.request(self._call, self.engine, milliseconds_left)
        services.pool.began(self.engine.id)
        self._sent_at = services.clock.seconds()
        self._overdue.sent()
        self._sending = services.sender.send(self.engine, head, body, self)

    def abandon(self) -> None:
        """End the run: the engine sees its connection cut."""
        if self._sending is not None:
            self._sending.abandon()
        self._leave()

    def _leave(self) -> None:
        self._overdue.stop()
        self._services.pool.ended(self.engine.id)

    def _engine_failed(self) -> None:
        """Pass the engine over; where it is silent, so are its other connections."""
        is_silent = self._services.pool.failed(self.engine.id)
        if is_silent:
            self._services.sender.forget(self.engine.id)

    def _is_overdue(self) -> None:
        """Pass the engine over; give the run up where that helps."""
        self._services.pool.failed(self.engine.id)
        gives_up = self._listener.may_give_up() and self._overdue.take_retry()
        self._log.overdue(self._overdue.limit_seconds, is_given_up=gives_up)
        if gives_up:
            self.abandon()
            self._listener.run_failed(OVERDUE)

    # What the engine answers

    def unreachable(self) -> None:
        """Hear that no connection was made."""
        self._engine_failed()
        self._leave()
        self._listener.run_unreachable()

    def may_send(self) -> bool:
        """Tell whether the engine may still get the call, now that it is connected."""
        return self._services.pool.takes_calls(self.engine.id)

    def withdrawn(self) -> None:
        """Hear that the call was not sent because it may not be any more."""
        self._leave()
        self._listener.run_was_withdrawn()

    def is_answer(self, head: ResponseHead) -> bool:
        """Tell whether an answer is to this call."""
        return self._services.dialect.is_answer_to(self._call, head)

    def head_came(self, head: ResponseHead) -> None:
        """Relay a stream that succeeds; keep other answers until they are whole."""
        self._head = head
        self._services.pool.heard(self.engine.id)
        if head.status >= CLIENT_ERRORS or not self._route.is_stream:
            self._overdue.answered()
            return
        if self._services.dialect.is_genuine(head):
            self._is_relayed = True
            self._listener.run_began(head)

    def data_came(self, data: bytes) -> None:
        """Relay events, or keep the bytes."""
        if not self._is_relayed:
            self._pieces.append(data)
        elif self._listener.run_gave(data):
            self._note_pace()

    def _note_pace(self) -> None:
        """Tell how long after the one before an event came."""
        now = self._services.clock.seconds()
        self._events += 1
        if self._event_at is None:
            self._overdue.answered()
            self._services.pool.began_answer(self.engine.id, now - self._sent_at)
        gap = None if self._event_at is None else now - self._event_at
        self._event_at = now
        self._services.pool.heard(self.engine.id, gap)

    def ended(self) -> None:
        """Hear that the answer is whole."""
        head = self._head
        assert head is not None
        assert self._sending is not None
        self._services.sender.keep(self.engine.id, self._sending)
        if self._services.dialect.was_not_run(head):
            self._services.pool.was_full(self.engine.id)
            self._leave()
            self._listener.run_was_refused(head)
            return
        if self._is_relayed:
            self._services.pool.stream_ended(self.engine.id, self._events)
        self._leave()
        self._listener.run_ended(head, b"".join(self._pieces))

    def failed(self, failure: AnswerFailure) -> None:
        """Hear that the answer broke off."""
        if failure is not AnswerFailure.GARBLED:
            self._engine_failed()
        self._leave()
        self._listener.run_failed(failure.value)
