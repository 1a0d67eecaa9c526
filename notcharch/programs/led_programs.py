"""Reads and proposals on the partitions that this daemon leads.

A refusal is raised as `ProblemError`, which the network converts to a reply.
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
"""Returns the programs of a partition, or None if it is not replicated here."""


class LedPrograms:
    """The programs of the led partitions."""

    def __init__(
        self,
        partitions: PartitionHost,
        programs_of: ProgramsOf,
        now: Callable[[], float],
    ) -> None:
        """Read through `programs_of` and propose through `partitions`."""
        self._partitions = partitions
        self._programs_of = programs_of
        self._now = now

    def partition_of(self, program: ProgramId) -> PartitionNumber:
        """Return the partition of a program id; NOT_FOUND if the id is invalid."""
        partition = partition_of_program(program)
        if partition is None:
            raise ProblemError(refusals.not_found(program).problem)
        return partition

    def state_of(self, program: ProgramId) -> ProgramsState:
        """Return the state of a program's partition; NOT_LEADER if not led here."""
        partition = self.partition_of(program)
        state = self.led_state(partition)
        if state is None:
            raise ProblemError(self._not_leader(partition))
        return state

    def led_state(self, partition: PartitionNumber) -> ProgramsState | None:
        """Return a partition's programs if this daemon leads it."""
        if self._partitions.leader_epoch(partition) is None:
            return None
        return self._programs_of(partition)

    def epoch_of(self, partition: PartitionNumber) -> Epoch:
        """Return the epoch of this daemon's leadership; NOT_LEADER if it has none."""
        epoch = self._partitions.leader_epoch(partition)
        if epoch is None:
            raise ProblemError(self._not_leader(partition))
        return epoch

    def _not_leader(self, partition: PartitionNumber) -> Problem:
        """Return the problem with the leader as a hint; hashing may not name it yet."""
        return Problem.of(
            ProblemCode.NOT_LEADER,
            f"this daemon does not lead partition {partition}",
            hint=self._partitions.leader_hint(partition),
        )

    def led_states(self) -> tuple[tuple[PartitionNumber, ProgramsState], ...]:
        """Return all led partitions with their programs."""
        found = []
        for partition in self._partitions.led_partitions():
            state = self.led_state(partition)
            if state is not None:
                found.append((partition, state))
        return tuple(found)

    async def visible(
        self, program: ProgramId, tenant: TenantName | None
    ) -> ProgramRecord:
        """Return the record of a tenant's program; with None, of any tenant's.

        Raises NOT_FOUND only after a commit confirms that this daemon still leads:
        a deposed leader may lack a program that a newer leader has created.
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
        """Confirm by a commit that later reads are current."""
        await self.propose_to(partition, ReadBarrier(self._now()))

    async def propose(self, program: ProgramId, command: Command) -> CommandResult:
        """Replicate a command in a program's partition; refusals are raised."""
        return await self.propose_to(self.partition_of(program), command)

    async def propose_to(
        self, partition: PartitionNumber, command: Command
    ) -> CommandResult:
        """Replicate a command in a partition; refusals are raised."""
        return await propose_or_raise(self._partitions, partition, command)
