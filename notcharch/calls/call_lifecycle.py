"""The lifecycle of one call: admission, choice of an engine, runs, relay, completion."""

import enum
from collections.abc import Mapping

import msgspec
from twisted.internet.interfaces import IDelayedCall

from notcharch.calls.call_log import CallLog
from notcharch.calls.call_memory import SMALL_CALL_BYTES, call_bytes
from notcharch.calls.call_services import CallServices
from notcharch.calls.engine_run import CLIENT_ERRORS, EngineRun
from notcharch.calls.engine_selection import Selection
from notcharch.calls.interface import (
    MAY_HAVE_RUN,
    NO_ENGINE,
    NO_ENGINE_OF_VERSION,
    NO_MEMORY,
    TIMED_OUT,
    BrokenRun,
    OpaqueCall,
    ProcessState,
    Refusal,
    Route,
    Ticket,
)
from notcharch.calls.planned_stop import CUT_BY_STOP, CallTimer
from notcharch.calls.refusals import refusal_without_engine
from notcharch.calls.reply import Reply
from notcharch.calls.routing import affinity_key_of
from notcharch.calls.stream_relay import StreamRelay
from notcharch.calls.stream_version import StreamVersion
from notcharch.calls.waiting_output import WaitingOutput
from notcharch.http.messages import ResponseHead
from notcharch.scheduling.engine_load import EngineLoad
from notcharch.scheduling.engine_routing import CallRouting
from notcharch.values.memory_pool import HeldPart

MIN_SEND_SECONDS = 0.02
"""A call with less time before its deadline is not sent."""
MAX_SENDS = 4
"""Maximum number of engines that one call is sent to, including those that reject it."""
SERVER_ERRORS = 500
REFUSAL_STATUSES = (408, 421, 429, 503)
"""Statuses that promise a caller that its call has not run and never will.

An engine that ran a call may send one as well. It is relayed only if the call may run
again.
"""

UNREACHABLE = "unreachable"
DRAINED = "the engine was drained before the call was sent"
RESTARTED = "the engine started again after its entry was written"
NOT_RUN = "not run"
NOT_GENUINE = "unauthenticated success response"
SERVER_ERROR = "engine error"
NOT_DURABLE = "the outcome was not durable before the deadline"
TOO_MUCH_HELD = "the events that wait for a grant take too much memory"


class Phase(enum.Enum):
    """The phase of a call."""

    ADMISSION = "admission"
    AT_ENGINE = "at engine"
    AWAITING_GRANT = "waiting for a grant"
    """The stream has ended, and its last events are not granted yet."""
    COMPLETING = "settling"
    OVER = "over"


class CallLifecycle:
    """One call; the listener of its admission, its runs and its caller."""

    def __init__(
        self,
        services: CallServices,
        call: OpaqueCall,
        route: Route,
        service: str,
        reply: Reply,
        *,
        held: HeldPart | None = None,
    ) -> None:
        """Prepare a call, which `start` submits to admission.

        `held` is what its request holds already; the call holds it until its end.
        """
        self._services = services
        self.call = call
        self._route = route
        self._reply = reply
        self._phase = Phase.ADMISSION
        self._body = call.body
        self._ticket: Ticket | None = None
        self._timer: IDelayedCall | None = None
        self._run: EngineRun | None = None
        """The run in flight."""
        self._tried: set[str] = set()
        self._is_body_relayed = False
        """True once a long answer is relayed as it comes."""
        self._status = 0
        """Status of the last complete response."""
        self._cause = ""
        """Why the last run failed."""
        self._is_caller_behind = False
        self._held = held or HeldPart(services.held, SMALL_CALL_BYTES)
        self._waiting_output = WaitingOutput(
            services.answers, services.clock, self._give_up_output
        )
        self.timer = CallTimer(services.clock, route.name, services.stop)
        self._log = CallLog(services.clock, call, route)
        self._events = StreamRelay(
            reply,
            self._relay,
            self._log,
            self._waiting_output,
            keeps_output=route.stores_turns,
        )
        self._guard = services.quarantine.attempt(call)
        self._stream = StreamVersion(services.origins, call, route, service, self._log)
        wait = route.timeout_seconds
        if call.wait_seconds is not None:
            wait = min(wait, call.wait_seconds)
        self._deadline = self._log.deadline = call.arrived + wait

    def start(self) -> None:
        """Request admission, or refuse the call if there is no memory for it."""
        missing = call_bytes(self.call) - self._held.size
        if missing > 0 and not self._held.take(missing):
            self._refuse(NO_MEMORY)
            return
        clock = self._services.clock
        seconds_left = max(self._deadline - clock.seconds(), 0.0)
        self._timer = clock.callLater(seconds_left, self._expire)
        self._reply.on_disconnect(self._caller_disconnected)
        self._reply.watch_backlog(self._caller_backlog_changed)
        if self._services.stop is not None:
            self._services.stop.started(self)
        if self._refuse_for_stop():
            return
        if self._stream.is_resumption:
            self._stream.find(self._origin_found)
        else:
            self._services.admission.request(self.call, self._route, self)

    def _origin_found(self, refusal: Refusal | None) -> None:
        """Request admission, unless the stream can't go on or the call ended meanwhile."""
        if self._phase is Phase.OVER:
            return
        if refusal is not None:
            self._refuse(refusal)
            return
        self._services.admission.request(self.call, self._route, self)

    @property
    def _service(self) -> str:
        return self._stream.service

    # The planned stop of the daemon

    @property
    def _may_have_run(self) -> bool:
        """Whether any engine got the call and did not reject it."""
        is_sent = self._run is not None and self._run.is_sent
        return is_sent or bool(self._log.runs)

    def _refuse_for_stop(self) -> bool:
        """End a call that may be cut by the stop if it is sent; return whether."""
        stop = self._services.stop
        if stop is None:
            return False
        refusal = stop.refusal(
            self.call,
            self._route,
            self._deadline,
            self._phase.value,
            self._log.runs,
        )
        if refusal is None:
            return False
        self._withdraw_unsent_run()
        self._end_unsent(refusal)
        return True

    def _withdraw_unsent_run(self) -> None:
        """Give up a run whose engine has got nothing of the call."""
        if self._run is not None and not self._run.is_sent:
            self._run.abandon()
            self._run = None

    def refuse_if_late(self) -> None:
        """Refuse the call if it is at no engine and can't end before the stop."""
        is_waiting = self._phase is Phase.ADMISSION or (
            self._phase is Phase.AT_ENGINE
            and (self._run is None or not self._run.is_sent)
        )
        if is_waiting:
            self._refuse_for_stop()

    def end_for_stop(self) -> None:
        """End the call at the end of the stop; it is refused if it has not run."""
        stop = self._services.stop
        if stop is None or self._phase is Phase.OVER:
            return
        self._withdraw_unsent_run()
        if not self._may_have_run:
            self._refuse(
                stop.refusal_at_end(
                    self.call, self._route, self._deadline, self._phase.value
                )
            )
            return
        stop.log_cut(self.call, self._route, self.timer.seconds or 0.0)
        self._cut(CUT_BY_STOP)

    # Admission

    @property
    def awaits_admission(self) -> bool:
        """True while the caller is connected and waits for admission."""
        return self._phase is Phase.ADMISSION

    def reserve_memory(self, size: int) -> bool:
        """Hold memory for the turns before the call until the call ends."""
        return self._held.take(size)

    @property
    def is_caller_waiting(self) -> bool:
        """True while the caller waits for the outcome to be durable."""
        return self._phase is Phase.COMPLETING

    def admitted(self, ticket: Ticket, body: bytes) -> None:
        """Dispatch the call to an engine."""
        if self._phase is Phase.OVER:
            ticket.never_ran()
            return
        self._ticket = ticket
        self._body = body
        self._phase = Phase.AT_ENGINE
        self._log.admitted()
        self._events.admit(ticket)
        if self._services.urgency is not None:
            self._services.urgency.admitted(
                self.call, self._route, self._service, self._cached_engine
            )
        self._dispatch()

    def refused(self, refusal: Refusal) -> None:
        """Respond to the caller with a refusal."""
        if self._phase is not Phase.OVER:
            self._refuse(refusal)

    # Runs

    @property
    def _is_relaying(self) -> bool:
        """Whether the caller got the head of a stream or of a long answer."""
        return self._events.is_begun or self._is_body_relayed

    @property
    def _cached_engine(self) -> str:
        return self._ticket.cached_engine if self._ticket is not None else ""

    @property
    def _seconds_left(self) -> float:
        return self._deadline - self._services.clock.seconds()

    def _refuse_if_too_late(self) -> bool:
        """Refuse the call if it can't be sent before its deadline; return whether."""
        is_too_late = self._seconds_left < MIN_SEND_SECONDS
        if is_too_late:
            self._refuse(TIMED_OUT if self._log.runs else NO_ENGINE)
        return is_too_late

    def _dispatch(self) -> None:
        if self._refuse_if_too_late() or self._refuse_for_stop():
            return
        if len(self._tried) >= MAX_SENDS:
            self._end_without_engine()
            return
        self._guard.request_send(self._seconds_left, self._send_decided)

    def _send_decided(self, refusal: Refusal | None) -> None:
        """Choose an engine, unless the request must not be sent or the call has ended."""
        if self._phase is not Phase.AT_ENGINE:
            return
        if refusal is not None:
            self._end_unsent(refusal)
            return
        self._services.pool.request_loads(
            self._service, self._cached_engine, self._loads_received
        )

    def _loads_received(self, loads: Mapping[str, EngineLoad]) -> None:
        """Send the call to an engine, unless it ended while the loads were requested."""
        if self._phase is not Phase.AT_ENGINE or self._refuse_if_too_late():
            return
        if self._refuse_for_stop():
            return
        selection = self._services.pool.select(
            self._service,
            CallRouting(affinity_key_of(self._route, self.call), self._cached_engine),
            self._tried,
            self.call.regions,
            loads=loads,
            prompt_tokens=self.call.prompt_tokens,
            versions=self._stream.rule,
        )
        if selection is None:
            self._end_without_engine()
            return
        self._rate_urgency()
        self._log.selected(selection, len(loads))
        self._send(selection, int(self._seconds_left * 1000))

    def _rate_urgency(self) -> None:
        """Set the urgency where the loads of the service's engines are shared."""
        urgency, pool = self._services.urgency, self._services.pool
        if urgency is None or not pool.shares_load(self._service):
            return
        self.call.urgency = urgency.level(
            self.call,
            self._route,
            self._service,
            self._cached_engine,
            self._services.clock.seconds(),
        )

    def _learn_duration(self) -> None:
        """Record the duration of a call that was served successfully."""
        if self._services.urgency is not None:
            seconds = self._services.clock.seconds() - self.call.arrived
            self._services.urgency.served(self._route, seconds)

    def _send(self, selection: Selection, remaining_ms: int) -> None:
        engine = selection.engine
        self._tried.add(engine.id)
        self._log.sent(engine)
        self.timer.sent()
        self._run = EngineRun(
            self._services,
            self.call,
            self._route,
            engine,
            self,
            log=self._log,
            prompt=selection.prompt,
            may_send_again=self._allows_runs(self._log.runs + 2),
        )
        self._run.send(self._body, remaining_ms)

    def _retry(self, cause: str) -> None:
        self._cause = cause
        self._log.retried(cause)
        self._dispatch()

    def _end_unsent(self, refusal: Refusal) -> None:
        """End the call, which must not be sent; the refusal is true if it never was."""
        if self._is_relaying:
            self._interrupt(refusal.reason)
        else:
            self._refuse(MAY_HAVE_RUN if self._log.runs else refusal)

    def _end_without_engine(self) -> None:
        """End the call: no engine is left to try."""
        if self._is_relaying:
            self._interrupt(self._cause)
        elif self._log.runs:
            self._refuse(MAY_HAVE_RUN)
        elif self._stream.version is not None and not self._tried:
            self._refuse(NO_ENGINE_OF_VERSION)
        else:
            services = self._services
            none = services.pool.why_none(self._service, self.call.regions)
            now = services.clock.seconds()
            self._refuse(refusal_without_engine(none, self.call, now))

    def run_started(self, head: ResponseHead) -> None:
        """Hold the head of the stream, unless an earlier run's head was relayed."""
        if self._ticket is not None and self._run is not None:
            self._ticket.engine_started(self._run.engine.id)
        self._events.run_started(head)

    def run_data_received(self, data: bytes) -> bool:
        """Relay complete events that are granted; return whether any were complete."""
        complete_events = self._events.feed(data)
        if complete_events:
            if not self._log.events_received and self._run is not None:
                self._stream.began(self._run, self._seconds_left)
            self._events.relay(complete_events)
        return bool(complete_events)

    def run_body_started(self, head: ResponseHead) -> None:
        """Relay the head of a long answer; the call can't be sent again then."""
        self._is_body_relayed = True
        self._reply.begin(head, length=head.body_length)

    def run_body_received(self, data: bytes) -> None:
        """Relay data of a long answer."""
        self._relay(data)

    def _relay(self, data: bytes) -> None:
        """Pass data on; read no more from the engine while the caller is behind."""
        self._reply.write(data)
        if self._is_caller_behind and self._run is not None:
            self._run.pause_reading()

    @property
    def held_bytes(self) -> int:
        """How many bytes of the stream are held to be stored, or as an unfinished event."""
        return self._events.held_bytes

    @property
    def is_inside_event(self) -> bool:
        """Whether the data of the stream so far ends inside an event."""
        return self._events.is_inside_event

    @property
    def last_event_id(self) -> bytes | None:
        """The id of the last event that was received, if it had one."""
        return self._events.last_id or self.call.last_event_id

    def run_unreachable(self) -> None:
        """Try another engine: the call was not sent."""
        self._run = None
        self._retry(UNREACHABLE)

    def run_cancelled(self) -> None:
        """Try another engine: this one was drained before the call was sent."""
        self._run = None
        self._retry(DRAINED)

    def run_restarted(self) -> None:
        """Try another engine: the version of this one is unknown."""
        self._run = None
        self._retry(RESTARTED)

    def run_rejected(self, head: ResponseHead) -> None:
        """Try another engine: this one did not run the call."""
        self._run = None
        self._retry(f"{NOT_RUN}: {head.status}")

    def run_completed(self, head: ResponseHead, body: bytes) -> None:
        """Relay a complete response, or retry the call."""
        self._run = None
        self._log.runs += 1
        self._status = head.status
        is_success = head.status < CLIENT_ERRORS
        if is_success and not self._services.dialect.is_genuine(head):
            self._retry_or_end(NOT_GENUINE)
            return
        if is_success:
            self._guard.run_completed()
        if self._is_body_relayed:
            self._complete_body()
        elif is_success and self._events.has_head:
            self._stream_ended()
        elif self._events.events or self._is_false_refusal(head.status):
            self._retry_or_end(f"{SERVER_ERROR}: {head.status}")
        elif head.status >= SERVER_ERRORS and self._may_run_again():
            self._retry(f"{SERVER_ERROR}: {head.status}")
        else:
            self._relay_response(head, body)

    def _is_false_refusal(self, status: int) -> bool:
        """Return whether a status would promise that a call did not run that may have."""
        return status in REFUSAL_STATUSES and not self._route.is_repeatable

    def run_failed(self, cause: str, process: ProcessState) -> None:
        """Retry if the route allows it: the call may have run."""
        run, self._run = self._run, None
        self._log.runs += 1
        if process is ProcessState.ASSUMED or run is None:
            self._retry_or_end(cause)
            return
        broken = BrokenRun(run.engine, run.sent_at, process)
        self._guard.run_broke(broken, lambda: self._examined(cause))

    def _examined(self, cause: str) -> None:
        """Go on after a failed run, unless the call ended meanwhile."""
        if self._phase is Phase.AT_ENGINE:
            self._retry_or_end(cause)

    def may_ask_for_rest(self) -> bool:
        """Return whether the engine may get the request again as a question."""
        return not self._guard.has_ends()

    def should_abandon(self) -> bool:
        """Return whether to abandon a run whose response is overdue.

        A call that may run again is retried. A stream that may run once only ends, so
        that its caller can retry before the deadline. Other calls keep waiting.
        """
        return self._route.is_stream or self._allows_runs(self._log.runs + 2)

    def _may_run_again(self) -> bool:
        """Return whether another run is allowed after those that may have happened."""
        return not self._is_body_relayed and self._allows_runs(self._log.runs + 1)

    def _allows_runs(self, runs: int) -> bool:
        route = self._route
        is_safe = route.is_repeatable or (route.is_stream and route.is_resumable)
        return is_safe and runs <= route.max_engines

    def _retry_or_end(self, cause: str) -> None:
        self._events.run_failed()
        if not self._may_run_again() or not self._stream.allows_another_run:
            self._cause = cause
            self._end_without_engine()
            return
        self._resume_after_last_event()
        self._retry(cause)

    def _resume_after_last_event(self) -> None:
        self._events.discard_remainder()
        if self._events.last_id is not None:
            self.call.last_event_id = self._events.last_id

    # Completion

    def _stream_ended(self) -> None:
        """Complete the stream, once its last events are granted or stored with its turn.

        The durable record of a turn counts all of its events.
        """
        if self._route.stores_turns:
            self._complete_stream()
        else:
            self._phase = Phase.AWAITING_GRANT
            self._events.when_all_granted(self._complete_stream)

    def _complete_stream(self) -> None:
        """Make the outcome durable; the end of the stream is relayed afterwards."""
        self._phase = Phase.COMPLETING
        assert self._ticket is not None
        output = self._events.take_output()
        self._waiting_output.hold(len(output))
        self._ticket.completed(output, self._events.events, self)

    def durable(self) -> None:
        """Relay the end of the stream, with the events that wait for a grant."""
        if self._phase is not Phase.COMPLETING:
            return
        self._events.relay_end()
        self._end()
        self._served(self._status)
        self._learn_duration()
        self._reply.finish()

    def not_durable(self) -> None:
        """Abort the stream: its outcome is not durable."""
        if self._phase is Phase.COMPLETING:
            self._cut(NOT_DURABLE)

    def _give_up_output(self) -> None:
        """End a call whose output takes the most memory of all answers."""
        if self._phase is Phase.COMPLETING:
            self.not_durable()
        elif self._phase is not Phase.OVER:
            self._cut(TOO_MUCH_HELD)

    def _complete_body(self) -> None:
        """End a long answer that was relayed as it came."""
        self._end_response(self._status)
        self._reply.finish()

    def _relay_response(self, head: ResponseHead, body: bytes) -> None:
        self._end_response(head.status)
        self._reply.send_response(head, body)

    def _end_response(self, status: int) -> None:
        """End a call with an engine's response, which is no stream."""
        if self._ticket is not None:
            self._ticket.interrupted(0)
        self._end()
        self._served(status)
        if status < CLIENT_ERRORS:
            self._learn_duration()

    def _served(self, status: int) -> None:
        self._log.served(status)
        if status < CLIENT_ERRORS:
            self.timer.answer_ended()
        if self._services.stop is not None:
            self._services.stop.served()

    def _refuse(self, refusal: Refusal) -> None:
        """End the call with an error response, or abort a stream that has started."""
        if self._is_relaying:
            self._interrupt(refusal.reason)
            return
        self._close_ticket()
        engines_known = self._services.pool.count(self._service)
        self._log.refused(refusal, self._phase.value, engines_known)
        self._end()
        self._reply.refuse(refusal)

    def _cut(self, cause: str) -> None:
        """End a call that may have run, before its answer is complete."""
        self._refuse(msgspec.structs.replace(MAY_HAVE_RUN, reason=cause))

    def _interrupt(self, cause: str) -> None:
        self._close_ticket()
        self._log.interrupted(self._phase.value, cause)
        self._end()
        self._reply.abort()

    def _close_ticket(self) -> None:
        """Report the runs of a call without a complete response to its ticket."""
        if self._ticket is None or self._phase is Phase.COMPLETING:
            return
        if self._log.runs or self._run is not None:
            self._ticket.interrupted(self._events.relayed)
        else:
            self._ticket.never_ran()

    def _end(self) -> None:
        self._phase = Phase.OVER
        self._held.close()
        self._events.close()
        self._waiting_output.release()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._run is not None:
            self._run.abandon()
            self._run = None
        self._guard.over()
        if self._services.stop is not None:
            self._services.stop.ended(self)

    def _expire(self) -> None:
        """End the call at its deadline."""
        if self._phase is Phase.ADMISSION:
            self._refuse(NO_ENGINE)
        elif self._phase is Phase.COMPLETING:
            self.not_durable()
        elif self._phase is Phase.AWAITING_GRANT:
            self._refuse(TIMED_OUT)
        elif self._phase is Phase.AT_ENGINE:
            may_have_run = bool(self._log.runs) or self._run is not None
            if may_have_run:
                self.timer.answer_ended()
            self._refuse(TIMED_OUT if may_have_run else NO_ENGINE)

    def _caller_backlog_changed(self, is_behind: bool) -> None:
        """Stop reading from the engine while the caller is behind."""
        self._is_caller_behind = is_behind
        if self._run is None:
            return
        if is_behind:
            self.timer.is_slowed = True
            self._run.pause_reading()
        else:
            self._run.resume_reading()

    def _caller_disconnected(self) -> None:
        """Cancel the run of a caller that has disconnected."""
        if self._phase is Phase.OVER:
            return
        self._close_ticket()
        self._log.caller_disconnected(self._phase.value)
        self._end()
