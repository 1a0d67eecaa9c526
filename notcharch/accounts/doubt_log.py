"""Log lines about doubted tokens when they are taken; few of each partition."""

from collections.abc import Callable

from notcharch.accounts.doubt_sources import bounded
from notcharch.accounts.messages import AdmitTurn
from notcharch.accounts.metrics import BUDGET_DOUBTS
from notcharch.accounts.program_account import Program
from notcharch.events.accounts import BudgetDoubted, DoubtTaken
from notcharch.events.event import emit
from notcharch.journal.partition_journal import PartitionAssignment

MAX_LINES = 20
"""Lines of a partition in `INTERVAL_SECONDS`: after a loss each program has a doubt."""
INTERVAL_SECONDS = 60.0


class DoubtLog:
    """Tells once of each doubt, when its program asks for the first time."""

    def __init__(
        self, assignment: PartitionAssignment, seconds: Callable[[], float]
    ) -> None:
        """`seconds` returns the time of the clock."""
        self._assignment = assignment
        self._seconds = seconds
        self._since = seconds()
        self._lines = 0
        self._omitted = 0

    def tell(self, name: str, program: Program) -> None:
        """Log the sources of a program's doubt, unless they are told."""
        if program.noted.is_told or not program.is_doubted:
            return
        program.noted.is_told = True
        now = self._seconds()
        if now - self._since >= INTERVAL_SECONDS:
            self._since, self._lines = now, 0
        self._lines += 1
        if self._lines > MAX_LINES:
            self._omitted += 1
            return
        omitted, self._omitted = self._omitted, 0
        emit(
            DoubtTaken(
                program=name,
                partition=self._assignment.number,
                epoch=self._assignment.epoch,
                tokens=program.committed - program.certain,
                sources=bounded(program.doubt_sources()),
                omitted_lines=omitted,
            )
        )

    def refused(self, request: AdmitTurn, program: Program, seconds: float) -> None:
        """Log and count a refusal for doubt, with the time after which it may end."""
        BUDGET_DOUBTS.inc()
        doubted_tokens = program.committed - program.certain - program.unproven
        emit(
            BudgetDoubted(
                request=request.call,
                program=request.program,
                partition=self._assignment.number,
                epoch=self._assignment.epoch,
                budget_tokens=request.budget_tokens or 0,
                used_tokens=program.certain - program.under_way,
                doubted_tokens=doubted_tokens,
                unproven_tokens=program.unproven,
                under_way_tokens=program.under_way,
                most_tokens=request.most_tokens,
                retry_seconds=round(seconds, 3),
                sources=bounded(program.doubt_sources()),
            )
        )
