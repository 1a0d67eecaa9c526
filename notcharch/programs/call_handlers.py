"""Request handlers for calls: admission, waiting, dispatch and outcome."""

from collections.abc import Callable

from notcharch.errors import Problem, ProblemCode
from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.programs import (
    LateOutcomeRefused,
    OutcomeLost,
    UsageAboveBound,
)
from notcharch.partitions.interface import CommandRefused, CommandResult
from notcharch.programs import refusals
from notcharch.programs.admission import known_call
from notcharch.programs.changes import ProgramChanges
from notcharch.programs.commands import (
    AdmissionLimits,
    AdmitAttempt,
    AttemptAdmitted,
    AttemptFinished,
    AttemptJoined,
    AttemptSuperseded,
    CallFinishedBefore,
    DispatchAccepted,
    FinishAttempt,
    RecordDispatch,
)
from notcharch.programs.history_reader import HistoryReader
from notcharch.programs.led_programs import LedPrograms
from notcharch.programs.record import ProgramRecord, call_digest
from notcharch.programs.replies import admitted_reply, failure_reply, finished_reply
from notcharch.programs.rows import active_row
from notcharch.table.interface import TableView
from notcharch.values.identifiers import CallSequence, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.programs import (
    AdmitCall,
    AwaitAnswer,
    CallInProgress,
    DispatchCall,
    DispatchRecorded,
    FinishCall,
    FinishRecorded,
)
from notcharch.wire.peers import PeerNetwork

MAX_EARLY_CALLS_PER_PROGRAM = 16
"""Number of waiting requests per program above which an early call is refused."""

MAX_ANSWER_WAIT_SECONDS = 300.0
UNKNOWN_CALL_RETRY_SECONDS = 1.0


class CallHandlers:
    """Handles `AdmitCall`, `AwaitAnswer`, `DispatchCall` and `FinishCall`."""

    def __init__(
        self,
        led: LedPrograms,
        changes: ProgramChanges,
        table: TableView,
        histories: HistoryReader,
        *,
        now: Callable[[], float],
        early_wait_seconds: float,
    ) -> None:
        """Read records through `led`, and propose commands there."""
        self._led = led
        self._changes = changes
        self._table = table
        self._histories = histories
        self._now = now
        self._early_wait_seconds = early_wait_seconds

    def register(self, network: PeerNetwork) -> None:
        """Register the handlers on the network."""
        network.on_request(AdmitCall, self._on_admit)
        network.on_request(AwaitAnswer, self._on_await)
        network.on_request(DispatchCall, self._on_dispatch)
        network.on_request(FinishCall, self._on_finish)

    async def _on_admit(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, AdmitCall)
        record = await self._wait_for_sequence(message)
        digest = call_digest(message.body_digest, message.repeatable)
        known = known_call(record, message, digest)
        if known is None:
            # If the history is unavailable, the call is refused before it is admitted.
            pages = await self._histories.fetch_all(record)
            command = self._admit_command(record, message)
            known = await self._led.propose(message.program, command)
            record = await self._led.visible(message.program, message.tenant)
            if isinstance(known, AttemptAdmitted):
                count = known.message_count
                history = await self._histories.messages(record, 0, count, pages)
                return admitted_reply(message, history, known)
        return await self._known_reply(record, message, known)

    async def _known_reply(
        self, record: ProgramRecord, message: AdmitCall, result: CommandResult
    ) -> Message:
        match result:
            case AttemptJoined(attempt):
                return CallInProgress(message.sequence, attempt)
            case CallFinishedBefore():
                return await self._finished_reply(record, message.sequence)
            case CommandRefused(problem):
                raise ProblemError(problem)
        raise TypeError(type(result).__name__)

    async def _finished_reply(
        self, record: ProgramRecord, sequence: CallSequence
    ) -> Message:
        turn = await self._histories.turn(record, sequence)
        return finished_reply(sequence, turn)

    async def _wait_for_sequence(self, message: AdmitCall) -> ProgramRecord:
        """Wait until the call is the next one, or refuse it."""
        record = await self._led.visible(message.program, message.tenant)
        deadline = self._now() + self._early_wait_seconds
        while message.sequence > record.next_sequence and not record.ended:
            seconds = deadline - self._now()
            waiting = self._changes.waiting_for(message.program)
            if (
                seconds <= 0
                or self._changes.full
                or waiting >= MAX_EARLY_CALLS_PER_PROGRAM
            ):
                refusal = refusals.too_early(message.sequence, record.next_sequence)
                raise ProblemError(refusal.problem)
            await self._changes.wait(message.program, seconds)
            record = await self._led.visible(message.program, message.tenant)
        return record

    def _admit_command(self, record: ProgramRecord, message: AdmitCall) -> AdmitAttempt:
        ran = record.ran_so_far
        row = active_row(self._table, record.service, ran)
        root = self._led.state_of(record.program).root_of(record)
        root_row = active_row(self._table, root.service, ran)
        limits = AdmissionLimits(
            root_row.budget_tokens, row.calls_per_program, row.max_age_seconds
        )
        return AdmitAttempt(
            at=self._now(),
            program=message.program,
            tenant=message.tenant,
            sequence=message.sequence,
            body_digest=message.body_digest,
            messages=message.messages,
            max_tokens=message.max_tokens,
            repeatable=message.repeatable,
            gateway=message.gateway,
            limits=limits,
            parameter_tokens=message.parameter_tokens,
        )

    async def _on_await(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, AwaitAnswer)
        wait_seconds = min(message.wait_seconds, MAX_ANSWER_WAIT_SECONDS)
        deadline = self._now() + wait_seconds
        while True:
            record = await self._led.visible(message.program, message.tenant)
            if 1 <= message.sequence <= record.finished:
                return await self._finished_reply(record, message.sequence)
            reply = failure_reply(record, message.sequence)
            if reply is not None:
                return reply
            call = record.running_call
            if call is None or call.sequence != message.sequence:
                raise ProblemError(_no_such_call(message))
            seconds = deadline - self._now()
            if seconds <= 0 or self._changes.full:
                return CallInProgress(message.sequence, call.attempt)
            await self._changes.wait(message.program, seconds)

    async def _on_dispatch(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, DispatchCall)
        command = RecordDispatch(
            self._now(),
            message.program,
            message.sequence,
            message.attempt,
            message.engine,
        )
        result = await self._led.propose(message.program, command)
        assert isinstance(result, DispatchAccepted)
        return DispatchRecorded(result.epoch)

    async def _on_finish(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, FinishCall)
        command = FinishAttempt(
            self._now(),
            message.program,
            message.sequence,
            message.attempt,
            message.answer,
            message.problem,
        )
        result = await self._led.propose(message.program, command)
        self._changes.notify(message.program)
        if isinstance(result, AttemptSuperseded):
            emit(LateOutcomeRefused(message.program, message.sequence, message.attempt))
            raise ProblemError(result.problem)
        assert isinstance(result, AttemptFinished)
        _report_outcome(message, result)
        return FinishRecorded(result.problem)


def _report_outcome(message: FinishCall, result: AttemptFinished) -> None:
    if result.overrun_tokens > 0:
        emit(UsageAboveBound(message.program, message.sequence, result.overrun_tokens))
    problem = result.problem
    if problem is not None and problem.is_code(ProblemCode.OUTCOME_UNKNOWN):
        emit(OutcomeLost(message.program, message.sequence))


def _no_such_call(message: AwaitAnswer) -> Problem:
    return Problem.of(
        ProblemCode.NOT_FOUND,
        f"call {message.sequence} of {message.program} was not admitted",
        retry_after=UNKNOWN_CALL_RETRY_SECONDS,
    )
