"""The HTTP interface for callers; the daemon mounts it at `/v1`.

The resource parses requests and renders responses; lower layers run the calls.
"""

import random

from klein import Klein
from prometheus_client import CollectorRegistry
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IRequest
from twisted.web.resource import Resource
from twisted.web.server import Request

from notcharch.clients.ports import EnginePort
from notcharch.errors import Finding, Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.gateway import GatewayDrained, GatewayDraining
from notcharch.gateway.authentication import tenant_of
from notcharch.gateway.call_requests import CallRequests
from notcharch.gateway.call_runs import CallRuns
from notcharch.gateway.call_spec import CallName
from notcharch.gateway.call_tools import CallTools, Placer, SlotSource
from notcharch.gateway.http_errors import (
    GatewayLeaf,
    OpenRequests,
    add_error_handlers,
    unwrap_or_raise,
)
from notcharch.gateway.leader_client import LeaderClient
from notcharch.gateway.metrics import GatewayMetrics
from notcharch.gateway.openai_requests import OpenAiRequests
from notcharch.gateway.program_requests import ProgramRequests
from notcharch.gateway.program_services import ProgramServices
from notcharch.gateway.request_parts import body_bytes, header_text
from notcharch.gateway.responses import (
    PROGRAM_HEADER,
    SEQUENCE_HEADER,
    EndedBody,
    ProgramBody,
    history_body,
    json_response,
    program_state,
)
from notcharch.gateway.validation import (
    CallBody,
    bad_request,
    findings_of_numbered_call,
    read_call,
    read_new_program,
    read_query_integer,
    read_sequence,
)
from notcharch.placement.interface import Router
from notcharch.settings.schema import GatewaySection
from notcharch.table.interface import TableView
from notcharch.values.identifiers import (
    CallSequence,
    Member,
    ProgramId,
    RegionName,
    TenantName,
)

DRAIN_RETRY_SECONDS = 1.0
MAX_IDEMPOTENCY_KEY_LENGTH = 255
HISTORY_LIMITS = (1, 1000)
HISTORY_DEFAULT = 100
MAX_CONVERSATION_MESSAGES = 100_000
"""Complete conversations are bounded by the size of the body instead."""

MAX_HISTORY_START = 2**53 - 1


class Gateway:
    """The interface for callers of one daemon."""

    app = Klein()

    def __init__(
        self,
        *,
        router: Router,
        slots: SlotSource,
        placer: Placer,
        engines: EnginePort,
        table: TableView,
        clock: IReactorTime,
        chance: random.Random,
        own_member: Member,
        region: RegionName,
        partition_count: int,
        section: GatewaySection,
        registry: CollectorRegistry,
    ) -> None:
        """Create a gateway; mount its `resource()`.

        `placer` is the `engines.dispatcher.Dispatcher`, `slots` the slot holder of
        `services`; `clock` returns seconds since 1970.
        """
        leader = LeaderClient(
            router, clock, chance, region=region, partition_count=partition_count
        )
        services = ProgramServices(leader)
        tools = CallTools(
            leader=leader,
            slots=slots,
            placer=placer,
            engines=engines,
            table=table,
            clock=clock,
            own_member=own_member,
            metrics=GatewayMetrics(registry),
        )
        self._table = table
        self._max_messages = section.messages_per_call
        self._runs = CallRuns(tools)
        self._programs = ProgramRequests(
            leader, services, chance, region=region, partition_count=partition_count
        )
        self._calls = CallRequests(tools, self._runs, services, section)
        self._openai = OpenAiRequests(
            self._programs, self._calls, section.messages_per_call
        )
        self._open_requests = OpenRequests(tools.metrics)
        self._is_draining = False

    def resource(self) -> Resource:
        """Return the resource to mount."""
        return GatewayLeaf(
            self.app.resource(), self._open_requests, lambda: self._is_draining
        )

    @property
    def runs(self) -> CallRuns:
        """The calls in flight, for callers in the same process."""
        return self._runs

    @property
    def programs(self) -> ProgramRequests:
        """The program requests, for callers in the same process."""
        return self._programs

    @property
    def running_calls(self) -> int:
        """Return the number of calls in flight."""
        return len(self._runs)

    def drain(self) -> "Deferred[None]":
        """Refuse new calls; the Deferred fires when the calls in flight have ended."""
        self._is_draining = True
        self._calls.stop_waiting()
        emit(GatewayDraining(len(self._runs)))
        return self.when_idle().addCallback(lambda _: emit(GatewayDrained()))

    def when_idle(self) -> "Deferred[None]":
        """Return a Deferred that fires when no call or response is in flight."""
        return Deferred.fromCoroutine(self._wait_until_idle())

    async def _wait_until_idle(self) -> None:
        await self._runs.when_idle()
        await self._open_requests.when_all_finished()

    def resume(self) -> None:
        """Accept new calls again after a cancelled drain."""
        self._is_draining = False
        self._calls.resume_waiting()

    @app.route("/programs", methods=["POST"])
    async def create_program(self, request: IRequest) -> bytes:
        """Create a program."""
        tenant = self._tenant(request)
        self._refuse_while_draining()
        key = _idempotency_key(request)
        new = unwrap_or_raise(read_new_program(body_bytes(request)))
        program = unwrap_or_raise(await self._programs.create(tenant, new, key))
        request.setHeader(b"location", b"/v1/programs/" + program.encode())
        return json_response(
            request, 201, ProgramBody(program, new.service, new.parent)
        )

    @app.route("/programs/<program>", methods=["GET"])
    async def read_program(self, request: IRequest, program: str) -> bytes:
        """Read a program's state."""
        tenant = self._tenant(request)
        found = unwrap_or_raise(
            await self._programs.describe(tenant, ProgramId(program))
        )
        return json_response(request, 200, program_state(found))

    @app.route("/programs/<program>", methods=["DELETE"])
    async def end_program(self, request: IRequest, program: str) -> bytes:
        """End a program and its children."""
        tenant = self._tenant(request)
        name = ProgramId(program)
        unwrap_or_raise(await self._programs.end(tenant, name))
        return json_response(request, 200, EndedBody(name, ended=True))

    @app.route("/programs/<program>/history", methods=["GET"])
    async def read_history(self, request: IRequest, program: str) -> bytes:
        """Read a page of history."""
        tenant = self._tenant(request)
        findings: list[Finding] = []
        start = read_query_integer(
            request.args, "start", (0, MAX_HISTORY_START), 0, findings
        )
        limit = read_query_integer(
            request.args, "limit", HISTORY_LIMITS, HISTORY_DEFAULT, findings
        )
        if findings:
            raise ProblemError(bad_request(findings))
        name = ProgramId(program)
        page = unwrap_or_raise(await self._programs.history(tenant, name, start, limit))
        return json_response(request, 200, history_body(name, page))

    @app.route("/programs/<program>/calls", methods=["POST"])
    async def run_call(self, request: Request, program: str) -> bytes | None:
        """Run a call, or join the one that is running."""
        tenant = self._tenant(request)
        self._refuse_while_draining(Ran.UNKNOWN)
        body = self._call_body(request, self._max_messages)
        findings = findings_of_numbered_call(body)
        if findings or body.sequence is None:
            raise ProblemError(bad_request(findings))
        call = CallName(tenant, ProgramId(program), body.sequence)
        return await self._calls.run(request, call, body)

    @app.route("/programs/<program>/calls/<sequence>", methods=["GET"])
    async def read_call_answer(
        self, request: IRequest, program: str, sequence: str
    ) -> bytes:
        """Return the answer of a call; waits for it for a bounded time."""
        tenant = self._tenant(request)
        number: CallSequence = unwrap_or_raise(read_sequence(sequence, "path.sequence"))
        call = CallName(tenant, ProgramId(program), number)
        return await self._calls.fetch_answer(request, call)

    @app.route("/chat/completions", methods=["POST"])
    async def complete_chat(self, request: Request) -> bytes | None:
        """Run a call of an OpenAI client."""
        tenant = self._tenant(request)
        self._refuse_while_draining(Ran.UNKNOWN)
        body = self._call_body(request, MAX_CONVERSATION_MESSAGES)
        sequence = _sequence_header(request) or body.sequence
        if body.sequence not in (None, sequence):
            message = "differs from the header X-Notcharch-Sequence"
            raise ProblemError(bad_request([Finding("sequence", message)]))
        program = header_text(request, PROGRAM_HEADER)
        if program is None:
            key = _idempotency_key(request)
            return await self._openai.run_standalone(request, tenant, body, key)
        return await self._openai.run_conversation(
            request, tenant, ProgramId(program), sequence, body
        )

    def _tenant(self, request: IRequest) -> TenantName:
        return unwrap_or_raise(tenant_of(request, self._table))

    def _call_body(self, request: IRequest, max_messages: int) -> CallBody:
        return unwrap_or_raise(read_call(body_bytes(request), max_messages))

    def _refuse_while_draining(self, ran: Ran = Ran.NO) -> None:
        """Refuse requests; `ran` is unknown if the call may have run elsewhere."""
        if self._is_draining:
            raise ProblemError(
                Problem.of(
                    ProblemCode.DRAINING,
                    "this daemon is draining; retry at another daemon",
                    ran=ran,
                    retry_after=DRAIN_RETRY_SECONDS,
                )
            )


add_error_handlers(Gateway.app)


def _sequence_header(request: IRequest) -> CallSequence | None:
    text = header_text(request, SEQUENCE_HEADER)
    if text is None:
        return None
    return unwrap_or_raise(read_sequence(text, "header.X-Notcharch-Sequence"))


def _idempotency_key(request: IRequest) -> str | None:
    key = header_text(request, b"idempotency-key")
    if key is None:
        return None
    if not 1 <= len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
        message = f"must have 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} characters"
        raise ProblemError(bad_request([Finding("header.Idempotency-Key", message)]))
    return key
