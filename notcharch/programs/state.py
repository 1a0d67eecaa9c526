"""The programs of a partition as a deterministic state machine.

It uses no clock, randomness or table; see docs/design/programs.md.
"""

from collections.abc import Iterator
from typing import ClassVar

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import Command, CommandRefused, CommandResult
from notcharch.programs import admission, attempts, paging, tree
from notcharch.programs.budget import TreeBudget
from notcharch.programs.commands import (
    COMMANDS,
    AbandonAttempt,
    AdmitAttempt,
    BeginProgram,
    CommandDone,
    ConfirmReleases,
    ExpirePrograms,
    FinishAttempt,
    PageOut,
    ReadBarrier,
    RecordDispatch,
    ReleaseDuty,
    StopProgram,
)
from notcharch.programs.record import ProgramRecord
from notcharch.programs.store import ProgramStore
from notcharch.values.identifiers import Epoch, ProgramId


class ProgramsState:
    """The programs of one partition; a `StateMachine` for `COMMANDS`."""

    COMMANDS: ClassVar[tuple[type[Command], ...]] = COMMANDS

    def __init__(self) -> None:
        """Start without programs."""
        self._store = ProgramStore()

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply one durable command."""
        match command:
            case BeginProgram():
                return tree.begin(self._store, command)
            case StopProgram():
                return tree.stop(self._store, command)
            case ExpirePrograms():
                return tree.expire(self._store, command)
            case ConfirmReleases():
                return tree.confirm(self._store, command)
            case PageOut():
                return paging.page_out(self._store, command)
            case ReadBarrier():
                return CommandDone()
        return self._apply_to_call(command, epoch)

    def _apply_to_call(self, command: Command, epoch: Epoch) -> CommandResult:
        store = self._store
        match command:
            case AdmitAttempt():
                return admission.admit(store, command, epoch)
            case RecordDispatch():
                return attempts.dispatch(store, command, epoch)
            case FinishAttempt():
                return attempts.finish(store, command)
            case AbandonAttempt():
                return attempts.abandon(store, command)
        message = f"programs do not apply {type(command).__name__}"
        return CommandRefused(Problem.of(ProblemCode.INTERNAL, message, ran=Ran.NO))

    def snapshot(self) -> bytes:
        """Encode the state; equal states give equal bytes."""
        return self._store.snapshot()

    def restore(self, snapshot: bytes) -> None:
        """Replace the state; raise ValueError for an unknown format."""
        self._store.restore(snapshot)

    def record(self, program: ProgramId) -> ProgramRecord | None:
        """Return a program's record, which must not be changed."""
        return self._store.records.get(program)

    def root_of(self, record: ProgramRecord) -> ProgramRecord:
        """Return the record of the root of a program's tree."""
        return self._store.records[record.root]

    def budget_of(self, record: ProgramRecord) -> TreeBudget:
        """Return the budget of a program's tree, which must not be changed."""
        return self._store.budget_of(record)

    def tree_below(self, program: ProgramId) -> Iterator[ProgramId]:
        """Yield a program, if it is known, and all its descendants."""
        pending = [program]
        while pending:
            record = self._store.records.get(pending.pop())
            if record is not None:
                yield record.program
                pending.extend(record.children)

    def reserved_tokens(self) -> int:
        """Return the tokens reserved by running calls of all programs."""
        budgets = (record.budget for record in self._store.records.values())
        return sum(budget.reserved for budget in budgets if budget is not None)

    def programs(self) -> tuple[ProgramId, ...]:
        """Return the ids of all stored programs."""
        return tuple(self._store.records)

    def records(self) -> Iterator[ProgramRecord]:
        """Return the records of all stored programs, which must not be changed."""
        return iter(self._store.records.values())

    def running_programs(self) -> tuple[ProgramId, ...]:
        """Return the programs with a running attempt."""
        return tuple(self._store.running)

    def has_pending_release(self, program: ProgramId) -> bool:
        """Return whether a release of the program is not confirmed yet."""
        return program in self._store.duties

    def duties(self) -> Iterator[ReleaseDuty]:
        """Return the releases that are not confirmed yet."""
        return self._store.all_duties()
