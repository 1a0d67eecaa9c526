"""Routes that list daemons, engines, services, programs and partitions of the region.

Each response is aggregated from the replies of all live daemons at the time of the
request. It has the maximum age of the replies and the daemons that did not reply.
"""

from collections.abc import Iterable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from notcharch.admin.authentication import Role
from notcharch.admin.routes import AdminRequest, Routes
from notcharch.admin.scatter import GatheredReplies, Scatter, Unreached
from notcharch.errors import Problem
from notcharch.placement.interface import EngineDirectory
from notcharch.table.interface import ServiceRow, TableView
from notcharch.values.identifiers import DaemonName, EngineName, ServiceName
from notcharch.wire.messages.administration import (
    DaemonDescription,
    DescribeDaemon,
    PartitionDescription,
)
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import (
    EngineDescription,
    EngineListing,
    ListEngines,
)
from notcharch.wire.messages.programs import (
    ListPrograms,
    ProgramDescription,
    ProgramListing,
)
from notcharch.wire.messages.services import (
    AllotmentDescription,
    AllotmentListing,
    ListAllotments,
)

PROGRAM_LIMIT = 200
MAX_PROGRAMS = 10_000

Reply = TypeVar("Reply", bound=Message)


class Survey(msgspec.Struct, frozen=True):
    """Coverage of an aggregated response.

    No reply is older than `age_seconds`. The `unreached` daemons are live in the
    membership but did not reply; their data is missing.
    """

    daemons: int
    age_seconds: float
    unreached: tuple[Unreached, ...]


class DaemonsAnswer(msgspec.Struct, frozen=True):
    """Every daemon that replied.

    `drained_zones` are those of the responding daemon's table at `version`.
    """

    survey: Survey
    daemons: tuple[DaemonDescription, ...]
    version: int = 0
    drained_zones: tuple[str, ...] = ()


class EnginesAnswer(msgspec.Struct, frozen=True):
    """Every engine as its steward sees it; `load_age_seconds` is the age of the load.

    `unreported` engines are in the machine list, but no daemon that replied is their
    steward.
    """

    survey: Survey
    engines: tuple[EngineDescription, ...]
    unreported: tuple[EngineName, ...]


class ServiceState(msgspec.Struct, frozen=True):
    """A row in force and the allotted slots of its concurrency."""

    row: ServiceRow
    allotted_slots: int
    holders: int


class ServicesAnswer(msgspec.Struct, frozen=True):
    """Every service of the table in force at the responding daemon."""

    survey: Survey
    version: int
    services: tuple[ServiceState, ...]


class AllotmentsAnswer(msgspec.Struct, frozen=True):
    """Every concurrency lease of all services."""

    survey: Survey
    allotments: tuple[AllotmentDescription, ...]


class ProgramsAnswer(msgspec.Struct, frozen=True):
    """Programs; `truncated` if there are more than the requested limit."""

    survey: Survey
    programs: tuple[ProgramDescription, ...]
    truncated: bool


class LedPartitionEntry(msgspec.Struct, frozen=True):
    """A partition and its leader."""

    daemon: DaemonName
    description: PartitionDescription


class PartitionsAnswer(msgspec.Struct, frozen=True):
    """Every partition with a leader, ordered by number."""

    survey: Survey
    partitions: tuple[LedPartitionEntry, ...]


class RegionRoutes:
    """The routes that aggregate replies of all daemons."""

    def __init__(
        self, *, scatter: Scatter, table: TableView, engines: EngineDirectory
    ) -> None:
        """Request data through `scatter`; `engines` is the machine list."""
        self._scatter = scatter
        self._table = table
        self._engines = engines

    def add_to(self, routes: Routes) -> None:
        """Add all routes."""
        routes.add("GET", "/daemons", Role.VIEWER, self._daemons)
        routes.add("GET", "/engines", Role.VIEWER, self._list_engines)
        routes.add("GET", "/services", Role.VIEWER, self._services)
        routes.add("GET", "/allotments", Role.VIEWER, self._allotments)
        routes.add("GET", "/programs", Role.VIEWER, self._programs)
        routes.add("GET", "/partitions", Role.VIEWER, self._partitions)

    async def _daemons(self, _request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        gathered = await self._scatter.request_all(DescribeDaemon(), DaemonDescription)
        daemons = _by_daemon(gathered)
        drained = tuple(sorted(self._table.drained_zones()))
        version = self._table.version
        return Ok(DaemonsAnswer(_survey(gathered), daemons, version, drained))

    async def _list_engines(
        self, _request: AdminRequest
    ) -> Result[msgspec.Struct, Problem]:
        gathered = await self._scatter.request_all(ListEngines(), EngineListing)
        engines = _newest_stewards(
            engine for reply in _by_daemon(gathered) for engine in reply.engines
        )
        reported = {engine.engine for engine in engines}
        unreported = sorted(
            EngineName(machine.name)
            for machine in self._engines.all_engines()
            if machine.name not in reported
        )
        return Ok(EnginesAnswer(_survey(gathered), engines, tuple(unreported)))

    async def _services(
        self, _request: AdminRequest
    ) -> Result[msgspec.Struct, Problem]:
        gathered = await self._scatter.request_all(ListAllotments(), AllotmentListing)
        by_service: dict[ServiceName, list[AllotmentDescription]] = {}
        for allotment in _allotments_of(gathered):
            by_service.setdefault(allotment.service, []).append(allotment)
        services = tuple(
            _service_state(row, by_service.get(row.service, []))
            for row in self._table.rows()
        )
        version = self._table.version
        return Ok(ServicesAnswer(_survey(gathered), version, services))

    async def _allotments(
        self, _request: AdminRequest
    ) -> Result[msgspec.Struct, Problem]:
        gathered = await self._scatter.request_all(ListAllotments(), AllotmentListing)
        return Ok(AllotmentsAnswer(_survey(gathered), _allotments_of(gathered)))

    async def _programs(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        requested = request.number("limit", PROGRAM_LIMIT, 1, MAX_PROGRAMS)
        if isinstance(requested, Err):
            return requested
        limit = int(requested.ok_value)
        service = request.query.get("service")
        message = ListPrograms(limit, ServiceName(service) if service else None)
        gathered = await self._scatter.request_all(message, ProgramListing)
        listings = _by_daemon(gathered)
        programs = [program for listing in listings for program in listing.programs]
        programs.sort(key=lambda program: program.program)
        is_truncated = len(programs) > limit or any(
            reply.truncated for reply in listings
        )
        answer = ProgramsAnswer(
            _survey(gathered), tuple(programs[:limit]), is_truncated
        )
        return Ok(answer)

    async def _partitions(
        self, _request: AdminRequest
    ) -> Result[msgspec.Struct, Problem]:
        message = DescribeDaemon(partitions=True)
        gathered = await self._scatter.request_all(message, DaemonDescription)
        entries = [
            LedPartitionEntry(daemon, description)
            for daemon, reply in gathered.replies.items()
            for description in reply.partitions
        ]
        entries.sort(key=lambda item: (item.description.partition, item.daemon))
        return Ok(PartitionsAnswer(_survey(gathered), tuple(entries)))


def _survey(gathered: GatheredReplies[Reply]) -> Survey:
    count = len(gathered.replies) + len(gathered.unreached)
    return Survey(count, gathered.age_seconds, gathered.unreached)


def _by_daemon(gathered: GatheredReplies[Reply]) -> tuple[Reply, ...]:
    return tuple(gathered.replies[name] for name in sorted(gathered.replies))


def _allotments_of(
    gathered: GatheredReplies[AllotmentListing],
) -> tuple[AllotmentDescription, ...]:
    allotments = [
        allotment for reply in _by_daemon(gathered) for allotment in reply.allotments
    ]
    return tuple(sorted(allotments, key=lambda item: (item.service, item.holder)))


def _service_state(
    row: ServiceRow, allotments: list[AllotmentDescription]
) -> ServiceState:
    slots = sum(allotment.slots for allotment in allotments)
    return ServiceState(row, slots, len(allotments))


def _newest_stewards(
    engines: Iterable[EngineDescription],
) -> tuple[EngineDescription, ...]:
    """Keep the description with the highest steward epoch of each engine."""
    newest: dict[EngineName, EngineDescription] = {}
    for engine in engines:
        known = newest.get(engine.engine)
        if known is None or engine.steward_epoch > known.steward_epoch:
            newest[engine.engine] = engine
    return tuple(newest[name] for name in sorted(newest))
