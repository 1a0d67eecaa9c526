"""Log lines about doubted tokens when they are taken; few of each partition."""

from collections.abc import Callable

from notcharch.accounts.doubt_sources import bounded
from notcharch.accounts.program_account import Program
from notcharch.events.accounts import DoubtTaken
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
