"""Caches the service of each program, which saves requests to leaders.

A program never changes its service, so entries need no invalidation.
"""

from collections import OrderedDict

from result import Err, Ok, Result

from notcharch.errors import Problem
from notcharch.gateway.leader_client import LeaderClient, expect
from notcharch.values.identifiers import ProgramId, ServiceName, TenantName
from notcharch.wire.messages.programs import DescribeProgram, ProgramDescription

MAX_PROGRAMS = 10_000
DESCRIBE_TRIES = 3


class ProgramServices:
    """LRU cache of the services of programs."""

    def __init__(self, leader: LeaderClient, max_programs: int = MAX_PROGRAMS) -> None:
        """Request missing entries from `leader`."""
        self._leader = leader
        self._max_programs = max_programs
        self._services: OrderedDict[tuple[TenantName, ProgramId], ServiceName] = (
            OrderedDict()
        )

    def store(
        self, tenant: TenantName, program: ProgramId, service: ServiceName
    ) -> None:
        """Store the service of a tenant's program."""
        self._services[(tenant, program)] = service
        self._services.move_to_end((tenant, program))
        if len(self._services) > self._max_programs:
            self._services.popitem(last=False)

    async def service_of(
        self, tenant: TenantName, program: ProgramId
    ) -> Result[ServiceName, Problem]:
        """Return the service; NOT_FOUND for the program of another tenant."""
        service = self._services.get((tenant, program))
        if service is not None:
            self._services.move_to_end((tenant, program))
            return Ok(service)
        message = DescribeProgram(program, tenant)
        reply = expect(
            await self._leader.request(program, message, tries=DESCRIBE_TRIES),
            ProgramDescription,
        )
        if isinstance(reply, Err):
            return Err(reply.err_value)
        self.store(tenant, program, reply.ok_value.service)
        return Ok(reply.ok_value.service)
