"""Remembers which service a program belongs to, so that leaders are asked once.

A program never changes its service, so what is remembered stays true.
"""

from collections import OrderedDict

from result import Err, Ok, Result

from notcharch.errors import Problem
from notcharch.gateway.leader_client import LeaderClient, expect
from notcharch.values.identifiers import ProgramId, ServiceName, TenantName
from notcharch.wire.messages.programs import DescribeProgram, ProgramDescription

MOST_PROGRAMS = 10_000
DESCRIBE_TRIES = 3


class ProgramServices:
    """A bounded memory of programs' services, the least recently used go first."""

    def __init__(self, leader: LeaderClient, most: int = MOST_PROGRAMS) -> None:
        """Ask `leader` for programs that are not remembered."""
        self._leader = leader
        self._most = most
        self._services: OrderedDict[tuple[TenantName, ProgramId], ServiceName] = (
            OrderedDict()
        )

    def remember(
        self, tenant: TenantName, program: ProgramId, service: ServiceName
    ) -> None:
        """Remember the service of a tenant's program."""
        self._services[(tenant, program)] = service
        self._services.move_to_end((tenant, program))
        if len(self._services) > self._most:
            self._services.popitem(last=False)

    async def service_of(
        self, tenant: TenantName, program: ProgramId
    ) -> Result[ServiceName, Problem]:
        """Give the service; NOT_FOUND for another tenant's program."""
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
        self.remember(tenant, program, reply.ok_value.service)
        return Ok(reply.ok_value.service)
