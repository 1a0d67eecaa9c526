"""Requests about calls: run or join one, and fetch a late answer."""

from result import Err, Ok
from twisted.python.failure import Failure
from twisted.web.iweb import IRequest
from twisted.web.server import Request

from notcharch.errors.problem import ProblemError
from notcharch.gateway.call_run import CallOrder
from notcharch.gateway.call_runs import CallRuns, Outcome, RunningCall
from notcharch.gateway.call_tools import CallTools
from notcharch.gateway.leader_client import for_caller
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
    name_call,
    raw_json_response,
)
from notcharch.gateway.stream_relay import StreamRelay
from notcharch.gateway.validation import CallBody
from notcharch.settings.schema import GatewaySection
from notcharch.values.identifiers import CallSequence, ProgramId, TenantName
from notcharch.wire.messages.programs import AwaitAnswer, CallAnswered, CallFailed

PENDING_RETRY_SECONDS = 1.0
NETWORK_MARGIN_SECONDS = 2.0


class CallRequests:
    """Answers the HTTP requests about calls."""

    def __init__(
        self,
        tools: CallTools,
        runs: CallRuns,
        services: ProgramServices,
        section: GatewaySection,
    ) -> None:
        """Run calls in `runs`."""
        self._tools = tools
        self._runs = runs
        self._services = services
        self._section = section

    async def run(
        self,
        request: Request,
        tenant: TenantName,
        program: ProgramId,
        sequence: CallSequence,
        body: CallBody,
    ) -> bytes | None:
        """Run a call or join it; None when the response is already written."""
        source = await self._source(tenant, program, sequence)
        order = self._order(tenant, source, body)
        name_call(request, program, sequence)
        relay = self._relay(request) if body.stream else None
        running = self._join_or_start(order, relay)
        outcome = await running.outcome()
        if relay is None:
            return _whole_response(request, source, outcome)
        _end_of_stream(relay, source, outcome)
        return None

    async def answer(
        self,
        request: IRequest,
        tenant: TenantName,
        program: ProgramId,
        sequence: CallSequence,
    ) -> bytes:
        """Give the answer of a call; 202 when it is not there after a while."""
        source = await self._source(tenant, program, sequence)
        name_call(request, program, sequence)
        wait_seconds = self._section.answer_wait_seconds
        message = AwaitAnswer(program, tenant, sequence, wait_seconds)
        reply = await self._tools.leader.ask(
            program, message, timeout_seconds=wait_seconds + NETWORK_MARGIN_SECONDS
        )
        if isinstance(reply, Err):
            raise ProblemError(for_caller(reply.err_value))
        match reply.ok_value:
            case CallAnswered(_, answer):
                return _whole_response(request, source, Ok(answer))
            case CallFailed(_, problem):
                raise ProblemError(problem)
        return _pending_response(request, program, sequence)

    def _join_or_start(
        self, order: CallOrder, relay: StreamRelay | None
    ) -> RunningCall:
        joined = self._runs.join(order)
        if joined is None:
            return self._runs.start(order, relay)
        if isinstance(joined, Err):
            raise ProblemError(joined.err_value)
        return joined.ok_value

    def _relay(self, request: Request) -> StreamRelay:
        relay = StreamRelay(request, self._tools.clock, self._section.idle_seconds)

        def gone(failure: Failure) -> None:
            relay.caller_gone()

        request.notifyFinish().addErrback(gone)
        return relay

    async def _source(
        self, tenant: TenantName, program: ProgramId, sequence: CallSequence
    ) -> AnswerSource:
        service = await self._services.service_of(tenant, program)
        if isinstance(service, Err):
            raise ProblemError(for_caller(service.err_value))
        now = int(self._tools.clock.seconds())
        return AnswerSource(program, sequence, service.ok_value, now)

    def _order(
        self, tenant: TenantName, source: AnswerSource, body: CallBody
    ) -> CallOrder:
        row = self._tools.table.row(source.service)
        bound = 1 if row is None else row.max_answer_tokens
        asked = bound if body.max_tokens is None else body.max_tokens
        return CallOrder(
            program=source.program,
            tenant=tenant,
            sequence=source.sequence,
            messages=body.messages,
            max_tokens=min(asked, bound),
            repeatable=body.repeatable,
            digest=body.digest,
        )


def _whole_response(request: IRequest, source: AnswerSource, outcome: Outcome) -> bytes:
    if isinstance(outcome, Err):
        raise ProblemError(outcome.err_value)
    body = completion_body(source, outcome.ok_value)
    return raw_json_response(request, 200, body)


def _end_of_stream(relay: StreamRelay, source: AnswerSource, outcome: Outcome) -> None:
    """Write the end of a streamed response, as far as its caller still reads."""
    if isinstance(outcome, Err):
        if not relay.has_begun:
            raise ProblemError(outcome.err_value)
        relay.write(error_event(outcome.err_value))
    elif relay.holds_end:
        relay.release_end()
    else:
        relay.write(completion_events(source, outcome.ok_value))
    relay.finish()


def _pending_response(
    request: IRequest, program: ProgramId, sequence: CallSequence
) -> bytes:
    request.setHeader(b"retry-after", b"%d" % PENDING_RETRY_SECONDS)
    body = PendingBody(program, sequence, "running", PENDING_RETRY_SECONDS)
    return json_response(request, 202, body)
