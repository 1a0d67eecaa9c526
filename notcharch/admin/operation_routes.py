"""Routes for operations: drain, pause and resume services, end programs."""

import msgspec
from result import Err, Result

from notcharch.admin.authentication import Role
from notcharch.admin.routes import AdminRequest, Routes, bad_request
from notcharch.admin.scatter import expect
from notcharch.admin.table_routes import TableRoutes
from notcharch.errors import Finding, Problem, ProblemCode
from notcharch.placement.interface import Router
from notcharch.placement.partitions import partition_of_program
from notcharch.table.draft import (
    AnyChange,
    ChangeCell,
    ChangesDraft,
    ChangeZoneDrain,
)
from notcharch.table.interface import TableView
from notcharch.table.publisher import PublishRequest
from notcharch.values.identifiers import (
    DaemonName,
    EngineName,
    ProgramId,
    ServiceName,
    ZoneName,
)
from notcharch.wire.messages.administration import DrainDaemon, DrainStarted
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import Acknowledged, DrainEngine
from notcharch.wire.messages.programs import (
    DescribeProgram,
    EndProgram,
    ProgramDescription,
    ProgramEnded,
)
from notcharch.wire.peers import PeerNetwork

OPERATION_TIMEOUT_SECONDS = 10.0
PAUSED_CELL = "paused"


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Exactly one of daemon, engine and zone; `drain: false` cancels the drain."""

    daemon: DaemonName | None = None
    engine: EngineName | None = None
    zone: ZoneName | None = None
    drain: bool = True


class DrainAnswer(msgspec.Struct, frozen=True):
    """An accepted drain; for a daemon, `running_calls` have not ended yet."""

    name: str
    draining: bool
    running_calls: int | None


class ProgramEndedAnswer(msgspec.Struct, frozen=True):
    """A program that was ended together with its children."""

    program: ProgramId


class OperationRoutes:
    """The routes of operations on daemons, engines, zones, services and programs."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        router: Router,
        table: TableView,
        table_routes: TableRoutes,
    ) -> None:
        """Send to daemons by `network`, to stewards and leaders by `router`."""
        self._network = network
        self._router = router
        self._table = table
        self._table_routes = table_routes

    def add_to(self, routes: Routes) -> None:
        """Add all routes."""
        routes.add("POST", "/drain", Role.ADMINISTRATOR, self._drain)
        routes.add("POST", "/services/<service>/pause", Role.EDITOR, self._pause)
        routes.add("POST", "/services/<service>/resume", Role.EDITOR, self._resume)
        routes.add("GET", "/programs/<program>", Role.VIEWER, self._program)
        routes.add("DELETE", "/programs/<program>", Role.ADMINISTRATOR, self._end)

    async def _drain(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        read = request.read_body(DrainBody)
        if isinstance(read, Err):
            return read
        body = read.ok_value
        targets = [
            target
            for target in (body.daemon, body.engine, body.zone)
            if target is not None
        ]
        if len(targets) != 1:
            finding = Finding(
                "body", "must have exactly one of daemon, engine and zone"
            )
            return Err(bad_request("the body is invalid", finding))
        if body.daemon is not None:
            return await self._drain_daemon(body.daemon, body.drain)
        if body.engine is not None:
            return await self._drain_engine(body.engine, body.drain)
        assert body.zone is not None
        return await self._drain_zone(request, body.zone, body.drain)

    async def _drain_zone(
        self, request: AdminRequest, zone: ZoneName, drain: bool
    ) -> Result[msgspec.Struct, Problem]:
        """Publish a version of the table that drains a zone or cancels its drain."""
        change = ChangeZoneDrain(zone, drain)
        note = "drain zone" if drain else "give zone back"
        published = await self._publish(request, change, note)
        return published.map(lambda _: DrainAnswer(zone, drain, None))

    async def _publish(
        self, request: AdminRequest, change: AnyChange, note: str
    ) -> Result[msgspec.Struct, Problem]:
        """Publish a version of the table with one change by the operator."""
        publication = PublishRequest(
            draft=ChangesDraft((change,)),
            base_version=self._table.version,
            author=request.operator.name,
            note=note,
        )
        return await self._table_routes.publish(request, publication)

    async def _drain_daemon(
        self, daemon: DaemonName, drain: bool
    ) -> Result[msgspec.Struct, Problem]:
        reply = await self._network.request(
            daemon, DrainDaemon(drain), OPERATION_TIMEOUT_SECONDS
        )
        started = reply.and_then(lambda message: expect(message, DrainStarted))
        return started.map(
            lambda message: DrainAnswer(daemon, drain, message.running_calls)
        )

    async def _drain_engine(
        self, engine: EngineName, drain: bool
    ) -> Result[msgspec.Struct, Problem]:
        command = DrainEngine(engine, drain)
        reply = await self._router.to_steward(
            engine, command, OPERATION_TIMEOUT_SECONDS
        )
        acknowledged = reply.and_then(lambda message: expect(message, Acknowledged))
        return acknowledged.map(lambda _: DrainAnswer(engine, drain, None))

    async def _pause(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        return await self._set_paused(request, paused=True)

    async def _resume(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        return await self._set_paused(request, paused=False)

    async def _set_paused(
        self, request: AdminRequest, *, paused: bool
    ) -> Result[msgspec.Struct, Problem]:
        service = ServiceName(request.arguments["service"])
        if self._table.row(service) is None:
            message = f"there is no service {service}"
            return Err(Problem.of(ProblemCode.NOT_FOUND, message))
        change = ChangeCell(service, PAUSED_CELL, paused)
        return await self._publish(request, change, "pause" if paused else "resume")

    async def _program(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        return await self._describe(ProgramId(request.arguments["program"]))

    async def _end(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        program = ProgramId(request.arguments["program"])
        described = await self._describe(program)
        if isinstance(described, Err):
            return described
        command = EndProgram(program, described.ok_value.tenant)
        reply = await self._to_leader(program, command)
        ended = reply.and_then(lambda message: expect(message, ProgramEnded))
        return ended.map(lambda _: ProgramEndedAnswer(program))

    async def _describe(
        self, program: ProgramId
    ) -> Result[ProgramDescription, Problem]:
        reply = await self._to_leader(program, DescribeProgram(program, None))
        return reply.and_then(lambda message: expect(message, ProgramDescription))

    async def _to_leader(
        self, program: ProgramId, message: Message
    ) -> Result[Message, Problem]:
        partition = partition_of_program(program)
        if partition is None:
            detail = f"{program} is not a valid program id"
            return Err(Problem.of(ProblemCode.NOT_FOUND, detail))
        return await self._router.to_partition(
            partition, message, OPERATION_TIMEOUT_SECONDS
        )
