"""Requests for programs: create, describe, end, read history."""

import hashlib
import random

from result import Err, Ok, Result

from notcharch.errors import Problem
from notcharch.gateway.leader_client import LeaderClient, expect, for_caller
from notcharch.gateway.program_services import ProgramServices
from notcharch.gateway.validation import NewProgram
from notcharch.placement.partitions import new_program_id
from notcharch.values.identifiers import (
    PartitionNumber,
    ProgramId,
    RegionName,
    TenantName,
)
from notcharch.wire.messages.programs import (
    CreateProgram,
    DescribeProgram,
    EndProgram,
    HistoryPage,
    ProgramCreated,
    ProgramDescription,
    ProgramEnded,
    ReadHistory,
)

TRIES = 3
RANDOM_HEX_DIGITS = 16


class ProgramRequests:
    """Creates, reads and ends programs through the leaders of their partitions."""

    def __init__(
        self,
        leader: LeaderClient,
        services: ProgramServices,
        chance: random.Random,
        *,
        region: RegionName,
        partition_count: int,
    ) -> None:
        """Choose partitions in `region` at random with `chance`."""
        self._leader = leader
        self._services = services
        self._chance = chance
        self._region = region
        self._partition_count = partition_count

    async def create(
        self, tenant: TenantName, new: NewProgram, idempotency_key: str | None
    ) -> Result[ProgramId, Problem]:
        """Create a program; the same key and body always return the same one."""
        partition = self._partition_of_new(tenant, new, idempotency_key)
        if isinstance(partition, Err):
            return Err(partition.err_value)
        program = self._name(tenant, new, idempotency_key, partition.ok_value)
        message = CreateProgram(program, new.service, tenant, new.parent)
        reply = await self._leader.request(program, message, tries=TRIES)
        created = expect(reply, ProgramCreated)
        if isinstance(created, Err):
            return Err(for_caller(created.err_value))
        self._services.store(tenant, program, new.service)
        return Ok(program)

    async def describe(
        self, tenant: TenantName, program: ProgramId
    ) -> Result[ProgramDescription, Problem]:
        """Return the state of a program."""
        message = DescribeProgram(program, tenant)
        reply = await self._leader.request(program, message, tries=TRIES)
        return expect(reply, ProgramDescription).map_err(for_caller)

    async def end(
        self, tenant: TenantName, program: ProgramId
    ) -> Result[ProgramEnded, Problem]:
        """End a program and its children; idempotent."""
        message = EndProgram(program, tenant)
        reply = await self._leader.request(program, message, tries=TRIES)
        return expect(reply, ProgramEnded).map_err(for_caller)

    async def history(
        self, tenant: TenantName, program: ProgramId, start: int, limit: int
    ) -> Result[HistoryPage, Problem]:
        """Return a page of the committed history."""
        message = ReadHistory(program, tenant, start, limit)
        reply = await self._leader.request(program, message, tries=TRIES)
        return expect(reply, HistoryPage).map_err(for_caller)

    def _partition_of_new(
        self, tenant: TenantName, new: NewProgram, key: str | None
    ) -> Result[PartitionNumber, Problem]:
        if new.parent is not None:
            return self._leader.partition_of(new.parent)
        if key is None:
            return Ok(PartitionNumber(self._chance.randrange(self._partition_count)))
        digest = _digest_of(tenant, new, key)
        return Ok(PartitionNumber(int(digest[:8], 16) % self._partition_count))

    def _name(
        self,
        tenant: TenantName,
        new: NewProgram,
        key: str | None,
        partition: PartitionNumber,
    ) -> ProgramId:
        if key is None:
            return new_program_id(self._region, partition)
        unique = _digest_of(tenant, new, key)[-RANDOM_HEX_DIGITS:]
        return ProgramId(f"{self._region}-{partition:x}-{unique}")


def _digest_of(tenant: TenantName, new: NewProgram, key: str) -> str:
    parts = (tenant, key, new.service, new.parent or "")
    text = "".join(f"{len(part)}:{part}," for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()
