"""Reads and proposals on the partitions that this daemon leads.

Every refusal is raised as `ProblemError`, which the network turns into a reply.
"""

from collections.abc import Callable

from notcharch.errors import Problem, ProblemCode
from notcharch.errors.problem import ProblemError
from notcharch.partitions.interface import (
    Command,
    CommandResult,
    PartitionHost,
)
from notcharch.partitions.proposals import propose_or_raise
from notcharch.placement.partitions import partition_of_program
from notcharch.programs import refusals
from notcharch.programs.commands import ReadBarrier
from notcharch.programs.record import ProgramRecord
from notcharch.programs.state import ProgramsState
from notcharch.values.identifiers import (
    Epoch,
    PartitionNumber,
    ProgramId,
    TenantName,
)

ProgramsOf = Callable[[PartitionNumber], ProgramsState | None]
"""Gives the programs component of a partition that is replicated here."""


class LedPrograms:
    """The programs of the led partitions, by their ids."""

    def __init__(
        self,
        partitions: PartitionHost,
        programs_of: ProgramsOf,
        now: Callable[[], float],
    ) -> None:
        """Read through `programs_of`, change through `partitions`."""
        self._partitions = partitions
        self._programs_of = programs_of
        self._now = now

    def partition_of(self, program: ProgramId) -> PartitionNumber:
        """Give the partition of a program id; NOT_FOUND if it is none."""
        partition = partition_of_program(program)
        if partition is None:
            raise ProblemError(refusals.not_found(program).problem)
        return partition

    def state_of(self, program: ProgramId) -> ProgramsState:
        """Give the state that holds a program; NOT_LEADER if it is not led here."""
        partition = self.partition_of(program)
        state = self.led_state(partition)
        if state is None:
            raise ProblemError(self._not_leader(partition))
        return state

    def led_state(self, partition: PartitionNumber) -> ProgramsState | None:
        """Give a partition's programs if this daemon leads it."""
        if self._partitions.leader_epoch(partition) is None:
            return None
        return self._programs_of(partition)

    def epoch_of(self, partition: PartitionNumber) -> Epoch:
        """Give the epoch in which this daemon leads; NOT_LEADER if it does not."""
        epoch = self._partitions.leader_epoch(partition)
        if epoch is None:
            raise ProblemError(self._not_leader(partition))
        return epoch

    def _not_leader(self, partition: PartitionNumber) -> Problem:
        """Name the leader: hashing need not name it yet after a change."""
        return Problem.of(
            ProblemCode.NOT_LEADER,
            f"this daemon does not lead partition {partition}",
            hint=self._partitions.leader_hint(partition),
        )

    def led_states(self) -> tuple[tuple[PartitionNumber, ProgramsState], ...]:
        """Give all led partitions with their programs."""
        found = []
        for partition in self._partitions.led_partitions():
            state = self.led_state(partition)
            if state is not None:
                found.append((partition, state))
        return tuple(found)

    async def visible(
        self, program: ProgramId, tenant: TenantName | None
    ) -> ProgramRecord:
        """Give the record of a tenant's program (None: of anybody's).

        NOT_FOUND is said only after a commit proved that this daemon still leads:
        a deposed leader may lack a program that a newer one has created.
        """
        state = self.state_of(program)
        record = state.record(program)
        if record is None:
            await self.confirm_current(self.partition_of(program))
            record = self.state_of(program).record(program)
        if record is None or tenant not in {None, record.tenant}:
            raise ProblemError(refusals.not_found(program).problem)
        return record

    async def confirm_current(self, partition: PartitionNumber) -> None:
        """Prove by a commit that the reads after it are current."""
        await self.propose_to(partition, ReadBarrier(self._now()))

    async def propose(self, program: ProgramId, command: Command) -> CommandResult:
        """Replicate a command in a program's partition; refusals are raised."""
        return await self.propose_to(self.partition_of(program), command)

    async def propose_to(
        self, partition: PartitionNumber, command: Command
    ) -> CommandResult:
        """Replicate a command in a partition; refusals are raised."""
        return await propose_or_raise(self._partitions, partition, command)
