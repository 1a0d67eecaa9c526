"""HTTP requests for calls: run or join a call, or fetch its answer later."""

from collections.abc import Callable

from result import Err, Ok
from twisted.python.failure import Failure
from twisted.web.iweb import IRequest
from twisted.web.server import Request

from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.gateway import CallerStalled
from notcharch.gateway.call_runs import CallRuns, Outcome, RunningCall
from notcharch.gateway.call_spec import CallName, CallSpec
from notcharch.gateway.call_tools import CallTools
from notcharch.gateway.leader_client import for_caller, scope_ran_to_call
from notcharch.gateway.openai import (
    AnswerSource,
    completion_body,
    completion_events,
    error_event,
)
from notcharch.gateway.program_services import ProgramServices
from notcharch.gateway.responses import (
    PendingBody,
    json_response,
    raw_json_response,
    set_call_headers,
)
from notcharch.gateway.stream_relay import StreamRelay
from notcharch.gateway.validation import CallBody
from notcharch.settings.schema import GatewaySection
from notcharch.values.chat import Answer
from notcharch.values.identifiers import ProgramId
from notcharch.wire.messages.programs import AwaitAnswer, CallAnswered, CallFailed

PENDING_RETRY_SECONDS = 1.0
NETWORK_MARGIN_SECONDS = 2.0
LEADER_WAIT_SECONDS = 5.0
"""Limit of one wait at the leader; between waits the gateway checks for a drain."""

AWAIT_TRIES = 2


class CallRequests:
    """Handles the HTTP requests for calls."""

    def __init__(
        self,
        tools: CallTools,
        runs: CallRuns,
        services: ProgramServices,
        section: GatewaySection,
    ) -> None:
        """Run calls through `runs`."""
        self._tools = tools
        self._runs = runs
        self._services = services
        self._section = section
        self._stops_waiting = False

    async def run(
        self,
        request: Request,
        call: CallName,
        body: CallBody,
        on_outcome: Callable[[Outcome], None] | None = None,
    ) -> bytes | None:
        """Run a call or join it; returns None if the response is already written.

        `on_outcome` is called at the end of the run, even if the caller disconnected.
        """
        source = await self._source(call)
        spec = self._build_spec(call, source, body)
        set_call_headers(request, call.program, call.sequence)
        relay = self._relay(request, call.program) if body.stream else None
        running = self._join_or_start(spec, relay)
        if on_outcome is not None:
            running.outcome().addCallback(on_outcome)
        outcome = await running.outcome()
        return _respond(request, relay, source, outcome)

    async def fetch_answer(self, request: IRequest, call: CallName) -> bytes:
        """Return the answer of a call, or 202 if there is none by the deadline."""
        source = await self._source(call)
        set_call_headers(request, call.program, call.sequence)
        deadline = self._tools.clock.seconds() + self._section.answer_wait_seconds
        while True:
            remaining_seconds = deadline - self._tools.clock.seconds()
            wait_seconds = (
                0.0
                if self._stops_waiting
                else min(remaining_seconds, LEADER_WAIT_SECONDS)
            )
            outcome = await self._await(call, max(0.0, wait_seconds))
            if outcome is not None:
                return _complete_response(request, source, outcome)
            if self._stops_waiting or self._tools.clock.seconds() >= deadline:
                return _pending_response(request, call)

    async def stored_answer(self, call: CallName) -> Answer | None:
        """Return the answer of a finished call; None if it has none."""
        outcome = await self._await(call, 0.0)
        return outcome.ok_value if isinstance(outcome, Ok) else None

    async def send_stored_answer(
        self,
        request: Request,
        call: CallName,
        body: CallBody,
        answer: Answer,
    ) -> bytes | None:
        """Send a stored answer, streamed or complete as the caller requested."""
        source = await self._source(call)
        set_call_headers(request, call.program, call.sequence)
        relay = self._relay(request, call.program) if body.stream else None
        return _respond(request, relay, source, Ok(answer))

    def stop_waiting(self) -> None:
        """End the waits for answers soon, because the daemon is draining."""
        self._stops_waiting = True

    def resume_waiting(self) -> None:
        """Wait for answers again after the drain was cancelled."""
        self._stops_waiting = False

    async def _await(self, call: CallName, wait_seconds: float) -> Outcome | None:
        message = AwaitAnswer(call.program, call.tenant, call.sequence, wait_seconds)
        reply = await self._tools.leader.request(
            call.program,
            message,
            tries=AWAIT_TRIES,
            timeout_seconds=wait_seconds + NETWORK_MARGIN_SECONDS,
        )
        if isinstance(reply, Err):
            raise ProblemError(for_caller(scope_ran_to_call(reply.err_value)))
        match reply.ok_value:
            case CallAnswered(_, answer):
                return Ok(answer)
            case CallFailed(_, problem):
                return Err(problem)
        return None

    def _join_or_start(self, spec: CallSpec, relay: StreamRelay | None) -> RunningCall:
        joined = self._runs.join(spec)
        if joined is None:
            return self._runs.start(spec, relay)
        if isinstance(joined, Err):
            raise ProblemError(joined.err_value)
        return joined.ok_value

    def _relay(self, request: Request, program: ProgramId) -> StreamRelay:
        seconds = self._section.idle_seconds

        def on_stalled() -> None:
            self._tools.metrics.stalled_callers.inc()
            emit(CallerStalled(program, seconds))

        relay = StreamRelay(request, self._tools.clock, seconds, on_stalled)

        def on_disconnect(failure: Failure) -> None:
            relay.caller_disconnected()

        request.notifyFinish().addErrback(on_disconnect)
        return relay

    async def _source(self, call: CallName) -> AnswerSource:
        service = await self._services.service_of(call.tenant, call.program)
        if isinstance(service, Err):
            raise ProblemError(for_caller(scope_ran_to_call(service.err_value)))
        now = int(self._tools.clock.seconds())
        return AnswerSource(call.program, call.sequence, service.ok_value, now)

    def _build_spec(
        self, call: CallName, source: AnswerSource, body: CallBody
    ) -> CallSpec:
        row = self._tools.table.row(source.service)
        bound = 1 if row is None else row.max_answer_tokens
        requested = bound if body.max_tokens is None else body.max_tokens
        return CallSpec(
            program=call.program,
            tenant=call.tenant,
            sequence=call.sequence,
            messages=body.messages,
            max_tokens=min(requested, bound),
            parameters=body.parameters,
            repeatable=body.repeatable,
            digest=body.digest,
        )


def _respond(
    request: Request,
    relay: StreamRelay | None,
    source: AnswerSource,
    outcome: Outcome,
) -> bytes | None:
    if relay is None:
        return _complete_response(request, source, outcome)
    _finish_stream(relay, source, outcome)
    return None


def _complete_response(
    request: IRequest, source: AnswerSource, outcome: Outcome
) -> bytes:
    if isinstance(outcome, Err):
        raise ProblemError(outcome.err_value)
    body = completion_body(source, outcome.ok_value)
    return raw_json_response(request, 200, body)


def _finish_stream(relay: StreamRelay, source: AnswerSource, outcome: Outcome) -> None:
    """Write the end of a streamed response, unless its caller disconnected."""
    if isinstance(outcome, Err):
        if not relay.has_started:
            raise ProblemError(outcome.err_value)
        relay.write(error_event(outcome.err_value))
    elif relay.is_end_buffered:
        relay.write_buffered_end()
    else:
        relay.write(completion_events(source, outcome.ok_value))
    relay.finish()


def _pending_response(request: IRequest, call: CallName) -> bytes:
    request.setHeader(b"retry-after", b"%d" % PENDING_RETRY_SECONDS)
    body = PendingBody(call.program, call.sequence, "running", PENDING_RETRY_SECONDS)
    return json_response(request, 202, body)
