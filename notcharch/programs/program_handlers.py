"""Request handlers for programs: creation, end, history and descriptions."""

from collections.abc import Callable

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.programs.changes import ProgramChanges
from notcharch.programs.commands import BeginProgram, StopProgram
from notcharch.programs.history_reader import HistoryReader
from notcharch.programs.led_programs import LedPrograms
from notcharch.programs.record import ProgramRecord
from notcharch.programs.replies import description
from notcharch.programs.rows import active_row
from notcharch.table.interface import ServiceRow, TableView
from notcharch.values.identifiers import Epoch, Member, ProgramId
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.programs import (
    CheckProgramsLive,
    CreateProgram,
    DescribeProgram,
    EndProgram,
    HistoryPage,
    ListPrograms,
    ProgramCreated,
    ProgramDescription,
    ProgramEnded,
    ProgramListing,
    ProgramsNotLive,
    ReadHistory,
)
from notcharch.wire.peers import PeerNetwork

MAX_HISTORY_PAGE_MESSAGES = 1000
MAX_LISTED_PROGRAMS = 1000


class ProgramHandlers:
    """Handles `CreateProgram`, `EndProgram` and all read-only requests."""

    def __init__(
        self,
        led: LedPrograms,
        changes: ProgramChanges,
        table: TableView,
        histories: HistoryReader,
        now: Callable[[], float],
    ) -> None:
        """Read records through `led`, and propose commands there."""
        self._led = led
        self._changes = changes
        self._table = table
        self._histories = histories
        self._now = now

    def register(self, network: PeerNetwork) -> None:
        """Register the handlers on the network."""
        network.on_request(CreateProgram, self._on_create)
        network.on_request(EndProgram, self._on_end)
        network.on_request(ReadHistory, self._on_history)
        network.on_request(DescribeProgram, self._on_describe)
        network.on_request(ListPrograms, self._on_list)
        network.on_request(CheckProgramsLive, self._on_check_live)

    async def _on_create(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, CreateProgram)
        partition = self._led.partition_of(message.program)
        parent = message.parent
        if parent is not None and self._led.partition_of(parent) != partition:
            text = "a child program must be in its parent's partition"
            raise ProblemError(Problem.of(ProblemCode.BAD_REQUEST, text))
        command = BeginProgram(
            self._now(),
            message.program,
            message.service,
            message.tenant,
            self._row_of(message).budget_tokens,
            message.parent,
        )
        await self._led.propose(message.program, command)
        return ProgramCreated(message.program)

    def _row_of(self, message: CreateProgram) -> ServiceRow:
        row = active_row(self._table, message.service, Ran.NO)
        if row.tenant != message.tenant:
            text = f"there is no service {message.service}"
            raise ProblemError(Problem.of(ProblemCode.NOT_FOUND, text))
        return row

    async def _on_end(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, EndProgram)
        command = StopProgram(self._now(), message.program, message.tenant)
        await self._led.propose(message.program, command)
        state = self._led.state_of(message.program)
        self._changes.notify_all(state.tree_below(message.program))
        return ProgramEnded()

    async def _on_history(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, ReadHistory)
        record = await self._led.visible(message.program, message.tenant)
        start = max(0, message.start)
        limit = min(max(0, message.limit), MAX_HISTORY_PAGE_MESSAGES)
        page = await self._histories.messages(record, start, limit)
        return HistoryPage(page, start, record.history.message_count)

    async def _on_describe(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, DescribeProgram)
        record = await self._led.visible(message.program, message.tenant)
        return description(self._led.state_of(message.program), record)

    async def _on_list(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, ListPrograms)
        limit = min(max(0, message.limit), MAX_LISTED_PROGRAMS)
        found: list[ProgramDescription] = []
        for _, state in self._led.led_states():
            for program in state.programs():
                record = state.record(program)
                if record is None or not _matches(record, message):
                    continue
                if len(found) == limit:
                    return ProgramListing(tuple(found), truncated=True)
                found.append(description(state, record))
        return ProgramListing(tuple(found), truncated=False)

    async def _on_check_live(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, CheckProgramsLive)
        not_live = [
            program for program in message.programs if not self._is_live(program)
        ]
        partitions = sorted({self._led.partition_of(name) for name in not_live})
        for partition in partitions:
            await self._led.confirm_current(partition)
        epochs = [self._led.epoch_of(partition) for partition in partitions]
        return ProgramsNotLive(
            tuple(program for program in not_live if not self._is_live(program)),
            min(epochs, default=Epoch(0)),
        )

    def _is_live(self, program: ProgramId) -> bool:
        """Return whether a program may still use engine memory."""
        record = self._led.state_of(program).record(program)
        if record is None:
            return False
        return not record.ended or record.running_call is not None


def _matches(record: ProgramRecord, message: ListPrograms) -> bool:
    return message.service is None or record.service == message.service
