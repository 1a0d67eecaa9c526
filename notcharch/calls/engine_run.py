"""One run of a call at one engine."""

import msgspec

from notcharch.calls.answer_end import AnswerEnd, ResumableCall
from notcharch.calls.call_log import CallLog
from notcharch.calls.call_services import CallServices
from notcharch.calls.end_check import EndVerdict
from notcharch.calls.engine_selection import PromptSample
from notcharch.calls.engine_sender import EngineRequest
from notcharch.calls.held_answer import (
    MAX_EVENT_BYTES,
    MAX_HELD_ONCE_BYTES,
    HeldAnswer,
)
from notcharch.calls.interface import (
    Engine,
    OpaqueCall,
    ProcessState,
    Route,
)
from notcharch.calls.overdue import OverdueWatch
from notcharch.calls.run_listener import RunListener
from notcharch.http.bounded_body import ServerKind, report_too_long
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import ResponseHead
from notcharch.http.metrics import ANSWERS_RELAYED_EARLY
from notcharch.values.framing import Framing

CLIENT_ERRORS = 400
EVENT_STREAM = b"text/event-stream"
MIN_INTERVAL_EVENTS = 2
"""With fewer events there is no interval between two of them."""
OVERDUE = "the first response was overdue"
INSIDE_EVENT = "the stream ended inside an event"
BEFORE_EVENTS = "the stream ended with its connection before its first event"
TOO_LONG = "the answer is longer than it may be"
UNREAD = "the engine closed an answer that was not read in time for a slow caller"
HARMLESS_FAILURES = (
    ResponseFailure.GARBLED,
    ResponseFailure.TRUNCATED,
    ResponseFailure.CUT,
)
"""Failures after which an engine is not avoided: they may concern one answer only."""


CLOSING_FAILURES = (
    ResponseFailure.CLOSED,
    ResponseFailure.RESET,
    ResponseFailure.TRUNCATED,
)
"""Failures by the engine's side of the connection, as when its process ends. They don't
count against an engine after its answer went unread."""


class EngineRun:
    """One run; the listener of the engine's response."""

    def __init__(
        self,
        services: CallServices,
        call: OpaqueCall,
        route: Route,
        engine: Engine,
        listener: RunListener,
        *,
        log: CallLog,
        prompt: PromptSample | None = None,
        may_send_again: bool = True,
    ) -> None:
        """Prepare a run, which `send` starts.

        `prompt` is set if the time to the first event shows how prompts are read. The
        answer of a call that `may_send_again` after this run is held for longer.
        """
        self._services = services
        self._call = call
        self._route = route
        self.engine = engine
        self._listener = listener
        self._log = log
        self._prompt = prompt
        self._may_send_again = may_send_again
        self._body = b""
        self._request: EngineRequest | None = None
        self._end = AnswerEnd(
            services.clock, services.sender, services.dialect, engine, log
        )
        self._head: ResponseHead | None = None
        self._answer = HeldAnswer(services.answers, self._cut)
        self._is_relaying = False
        """True if the events are relayed to the caller."""
        self._is_body_relayed = False
        """True if a long answer is relayed as it comes."""
        self._is_over = False
        self._first_event_at: float | None = None
        self._last_event_at: float | None = None
        """Clock seconds at which the last event was received."""
        self.sent_at = 0.0
        """Clock seconds."""
        self._deadline = 0.0
        """Clock seconds of the call's deadline."""
        self.version = engine.version
        """Its software version; empty if the engine did not confirm its entry."""
        self.is_confirmed = engine.started_ms is None
        """Whether its process is certainly the one of its entry."""
        self._is_paused = False
        self._was_paused = False
        """Whether reading was ever paused because the caller was behind."""
        self._events = 0
        """Number of reads that completed an event; several events in one read count once."""
        self._overdue = OverdueWatch(
            services.clock, services.waits, route.name, self._on_overdue
        )

    def send(self, body: bytes, remaining_ms: int) -> None:
        """Send the call with a body to the engine."""
        services = self._services
        self._body = body
        head = services.dialect.request(self._call, self.engine, remaining_ms)
        services.pool.call_started(self.engine.id)
        self.sent_at = services.clock.seconds()
        self._deadline = self.sent_at + remaining_ms / 1000
        self._overdue.sent()
        confirms = self._route.is_resumable and services.pool.must_confirm(
            self.engine.id
        )
        self.is_confirmed = self.is_confirmed or confirms
        self._request = services.sender.send(
            self.engine,
            head,
            body,
            self,
            confirm=services.dialect if confirms else None,
        )

    @property
    def is_sent(self) -> bool:
        """Whether the engine may have got any of the call."""
        return self._request is not None and self._request.is_sent

    def abandon(self) -> None:
        """Abort the run by closing its connection."""
        if self._request is not None and not self._end.is_checked:
            self._request.abandon()
        self._finish()

    def pause_reading(self) -> None:
        """Stop reading the stream, because the caller is behind."""
        if self._is_paused or self._request is None:
            return
        self._is_paused = self._was_paused = True
        self._last_event_at = None
        self._services.pool.reading_paused(self.engine.id)
        self._request.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read the stream."""
        if not self._is_paused or self._request is None:
            return
        self._is_paused = False
        self._services.pool.reading_resumed(self.engine.id)
        self._request.resume_reading()

    def _finish(self) -> None:
        self._is_over = True
        self._answer.close()
        if self._head is not None:
            self._log.answer_received(self._head.framing, self._answer.received)
        self._end.stop()
        self.resume_reading()
        self._overdue.close()
        self._services.pool.call_ended(self.engine.id, self._mean_event_interval())

    def _mean_event_interval(self) -> float | None:
        """Return the mean seconds between two events; None if there were fewer."""
        first, last = self._first_event_at, self._last_event_at
        if first is None or last is None or self._events < MIN_INTERVAL_EVENTS:
            return None
        return (last - first) / (self._events - 1)

    def _engine_failed(self) -> None:
        """Report a failure; if the engine is silent, close its idle connections too."""
        is_silent = self._services.pool.engine_failed(self.engine.id)
        if is_silent:
            self._services.sender.close_idle(self.engine.id)

    def _on_overdue(self) -> None:
        """Report an overdue response; abandon the run if that helps."""
        self._services.pool.engine_failed(self.engine.id)
        abandons = self._listener.should_abandon() and self._overdue.take_retry()
        self._log.overdue(self._overdue.limit_seconds, is_abandoned=abandons)
        if abandons:
            self.abandon()
            self._listener.run_failed(OVERDUE, ProcessState.ASSUMED)

    # Response of the engine

    def unreachable(self) -> None:
        """Handle a failed connection attempt."""
        self._engine_failed()
        self._finish()
        self._listener.run_unreachable()

    def may_send(self) -> bool:
        """Return whether the engine may still get the call, once it is connected."""
        return self._services.pool.takes_calls(self.engine.id)

    def cancelled(self) -> None:
        """Handle that the call was not sent, because the engine was drained."""
        self._finish()
        self._listener.run_cancelled()

    def restarted(self) -> None:
        """Handle that the call was not sent, because the engine's entry is stale."""
        self._services.pool.engine_restarted(self.engine.id)
        self._finish()
        self._listener.run_restarted()

    def incarnation_unknown(self) -> None:
        """Handle that the engine doesn't tell its start: its version is unknown."""
        self.version = ""

    def is_response(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to this call."""
        return self._services.dialect.is_response_to(self._call, head)

    def head_received(self, head: ResponseHead) -> None:
        """Relay a successful stream; buffer any other response."""
        self._head = head
        self._services.pool.response_received(self.engine.id)
        if head.framing is Framing.CONNECTION:
            self._end.begin()
        if head.status >= CLIENT_ERRORS or not self._route.is_stream:
            self._overdue.first_response_received()
            return
        if self._services.dialect.is_genuine(head):
            self._is_relaying = True
            self._listener.run_started(head)

    def data_received(self, data: bytes) -> None:
        """Relay or buffer the data."""
        if not self._answer.count_received(len(data)):
            self._give_up()
        elif self._is_relaying:
            self._event_data_received(data)
        elif self._is_body_relayed:
            self._listener.run_body_received(data)
        elif not self._answer.keep(data) or self._waits_for_caller():
            self._relay_body()

    def _waits_for_caller(self) -> bool:
        """Return whether the rest of an answer is read no faster than its caller reads."""
        is_long = self._answer.kept_bytes > MAX_HELD_ONCE_BYTES
        return is_long and not self._may_send_again and self._may_relay_body()

    def _may_relay_body(self) -> bool:
        """Return whether a plain answer may be relayed before its end."""
        head = self._head
        if head is None or head.status >= CLIENT_ERRORS or self._is_relaying:
            return False
        return self._services.dialect.is_genuine(head)

    def _event_data_received(self, data: bytes) -> None:
        if self._listener.run_data_received(data):
            self._record_event()
        if self._log.unfinished_bytes > MAX_EVENT_BYTES:
            self._give_up()
        elif not self._is_over:
            self._answer.count_elsewhere(self._listener.held_bytes)

    def _relay_body(self) -> None:
        """Relay an answer as it comes, which is too long to be held until its end."""
        head = self._head
        if head is None or not self._may_relay_body():
            self._give_up()
            return
        self._is_body_relayed = True
        self._listener.run_body_started(head)
        self._listener.run_body_received(self._answer.take())

    def _cut(self) -> None:
        """Give way soon: another answer is being received at the moment."""
        self._services.clock.callLater(0, self._give_way)

    def _give_way(self) -> None:
        """Relay the answer from now on, so that no more of it is held; else give it up."""
        if self._is_over or self._is_body_relayed:
            return
        if self._answer.kept_bytes and self._may_relay_body():
            ANSWERS_RELAYED_EARLY.inc()
        self._relay_body()

    def _give_up(self) -> None:
        """Read the answer no further."""
        if self._is_over:
            return
        report_too_long(ServerKind.ENGINE, self.engine.id, self._answer.received)
        self.abandon()
        self._listener.run_failed(TOO_LONG, ProcessState.ASSUMED)

    def _record_event(self) -> None:
        """Report the time since the call was sent, or since the previous event."""
        now = self._services.clock.seconds()
        self._events += 1
        if self._events == 1:
            self._overdue.first_response_received()
            self._first_event_at = now
            self._services.pool.first_event_received(
                self.engine.id, now - self.sent_at, self._prompt
            )
        gap = None if self._last_event_at is None else now - self._last_event_at
        self._last_event_at = now
        self._services.pool.response_received(self.engine.id, gap)

    def completed(self) -> None:
        """Handle a complete response."""
        head = self._head
        assert head is not None
        assert self._request is not None
        self._services.sender.release(self.engine.id, self._request)
        if self._services.dialect.was_not_run(head):
            self._services.pool.engine_full(self.engine.id)
            self._finish()
            self._listener.run_rejected(head)
            return
        if self._is_inside_event(head):
            self._broke_off(INSIDE_EVENT, ProcessState.DOUBTED)
        elif head.framing is not Framing.CONNECTION:
            self._complete(head)
        elif self._is_relaying and not self._log.events_received:
            self._broke_off(BEFORE_EVENTS, ProcessState.DOUBTED)
        else:
            self._check_end(head)

    def _broke_off(self, cause: str, process: ProcessState) -> None:
        """Handle an answer that was broken off, although its connection ended regularly."""
        self._services.pool.may_have_restarted(self.engine.id)
        self._finish()
        self._listener.run_failed(cause, process)

    def _check_end(self, head: ResponseHead) -> None:
        """Ask the engine whether an answer is whole that ended with its connection."""

        def then(verdict: EndVerdict) -> None:
            is_gone = verdict is EndVerdict.GONE
            if is_gone:
                self._engine_failed()
            if verdict.is_broken:
                process = ProcessState.ENDED if is_gone else ProcessState.ASSUMED
                self._broke_off(verdict.value, process)
            else:
                self._complete(head)

        self._end.check(self._resumable_call(), self._deadline, then)

    def _resumable_call(self) -> ResumableCall | None:
        """Return the call as its engine may be asked to resume it; None if it may not."""
        may_resume = self._is_relaying and self._route.is_resumable
        may_resume = may_resume and self._listener.may_ask_for_rest()
        if not may_resume or not self._services.pool.takes_resumptions(self.engine.id):
            return None
        call = msgspec.structs.replace(
            self._call, last_event_id=self._listener.last_event_id
        )
        return ResumableCall(call, self._body)

    def _complete(self, head: ResponseHead) -> None:
        """Report a whole answer."""
        if self._is_relaying:
            self._services.pool.stream_completed(self.engine.id, self._events)
        if head.status < CLIENT_ERRORS:
            seconds = self._services.clock.seconds() - self.sent_at
            self._services.pool.run_completed(self.engine.id, seconds)
        body = self._answer.take()
        self._finish()
        self._listener.run_completed(head, body)

    def _is_inside_event(self, head: ResponseHead) -> bool:
        """Return whether a stream of events ended inside an event, so was broken off."""
        if not self._is_relaying or not self._listener.is_inside_event:
            return False
        media_type = head.get(b"content-type")
        return media_type is None or media_type.lower().startswith(EVENT_STREAM)

    def failed(self, failure: ResponseFailure) -> None:
        """Handle an incomplete response."""
        is_doubted = failure in CLOSING_FAILURES
        process = ProcessState.DOUBTED if is_doubted else ProcessState.ASSUMED
        if self._was_paused and is_doubted:
            self._finish()
            self._listener.run_failed(UNREAD, process)
            return
        if failure not in HARMLESS_FAILURES:
            self._engine_failed()
        elif failure is ResponseFailure.TRUNCATED:
            self._services.pool.may_have_restarted(self.engine.id)
        self._finish()
        self._listener.run_failed(failure.value, process)
