"""Applies dispatches and outcomes of attempts: at-most-once, history, budget."""

import msgspec

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import CommandRefused, CommandResult
from notcharch.programs import refusals
from notcharch.programs.budget import (
    MESSAGE_OVERHEAD_TOKENS,
    UnresolvedCharge,
    context_token_bound,
)
from notcharch.programs.commands import (
    AbandonAttempt,
    AttemptFinished,
    AttemptSuperseded,
    DispatchAccepted,
    FinishAttempt,
    RecordDispatch,
)
from notcharch.programs.pages import TurnStub
from notcharch.programs.record import CallPhase, OpenCall, ProgramRecord
from notcharch.programs.store import ProgramStore
from notcharch.programs.tree import ended_problem, release_engines, touch
from notcharch.programs.turns import (
    NO_MESSAGES,
    EncodedTurn,
    StoredAnswer,
    count_messages,
)
from notcharch.values.chat import Answer, PrefixLocation
from notcharch.values.identifiers import AttemptNumber, CallSequence, Epoch


def dispatch(
    store: ProgramStore, command: RecordDispatch, epoch: Epoch
) -> CommandResult:
    """Record the engine of the newest attempt before the call is sent to it."""
    record = store.records.get(command.program)
    if record is None:
        return refusals.not_found(command.program)
    call = _newest_attempt(record, command)
    if call is None or not call.running:
        return CommandRefused(refusals.superseded(command.sequence, Ran.NO))
    if command.engine in call.engines:
        # A repeated or delayed dispatch must not replace the newest engine.
        return DispatchAccepted(epoch)
    if record.ended:
        return CommandRefused(ended_problem(record, Ran.NO))
    call.phase = CallPhase.DISPATCHED
    call.phase_at = command.at
    call.engines = (*call.engines, command.engine)
    if command.engine not in record.engines:
        record.engines = (*record.engines, command.engine)
    store.drop_duty(record.program, command.engine)
    return DispatchAccepted(epoch)


def _newest_attempt(
    record: ProgramRecord, command: RecordDispatch | FinishAttempt | AbandonAttempt
) -> OpenCall | None:
    call = record.call
    if call is None or call.sequence != command.sequence:
        return None
    return call if call.attempt == command.attempt else None


def finish(store: ProgramStore, command: FinishAttempt) -> CommandResult:
    """Store the outcome of the newest attempt and settle its budget."""
    record = store.records.get(command.program)
    if record is None:
        return CommandRefused(
            Problem.of(
                ProblemCode.NOT_FOUND,
                f"there is no program {command.program}",
                ran=Ran.UNKNOWN,
            )
        )
    if (command.answer is None) == (command.problem is None):
        message = "an outcome is either an answer or a problem"
        return _refused(ProblemCode.BAD_REQUEST, message)
    call = _newest_attempt(record, command)
    if call is None:
        return _late_outcome(store, record, command)
    if command.problem is not None:
        return finish_with_problem(store, record, call, command.problem, command.at)
    if command.answer is not None and call.engines:
        return _finish_with_answer(store, record, call, command.answer, command.at)
    return _refused(ProblemCode.BAD_REQUEST, "the attempt was never dispatched")


def _refused(code: ProblemCode, message: str) -> CommandRefused:
    return CommandRefused(Problem.of(code, message, ran=Ran.UNKNOWN))


def _finish_with_answer(
    store: ProgramStore,
    record: ProgramRecord,
    call: OpenCall,
    answer: Answer,
    at: float,
) -> CommandResult:
    budget = store.budget_of(record)
    overrun_tokens = 0
    if call.running:
        overrun_tokens = max(0, answer.usage.total_tokens - call.reserved_tokens)
        budget.settle(call.reserved_tokens, answer.usage)
    elif not _resolve_charge(store, record, call.sequence, call.attempt, answer):
        ran = Ran.UNKNOWN
        return AttemptSuperseded(refusals.superseded(call.sequence, ran))
    # The attempt was running, or was abandoned and no newer one was admitted.
    messages = msgspec.Raw(call.messages)
    outcome = StoredAnswer.of(answer)
    turn = EncodedTurn(call.digest, call.attempt, messages, outcome, None)
    close_call(store, record, turn, count_messages(call.messages) + 1)
    record.context_tokens = context_token_bound(answer)
    record.prefix = PrefixLocation(call.engines[-1], answer.usage.total_tokens)
    _after_outcome(store, record, at)
    return AttemptFinished(None, overrun_tokens)


def _resolve_charge(
    store: ProgramStore,
    record: ProgramRecord,
    sequence: CallSequence,
    attempt: AttemptNumber,
    answer: Answer | None,
) -> bool:
    """Correct the charge of an abandoned attempt; without an answer it never ran."""
    used = 0 if answer is None else answer.usage.total_tokens
    budget = store.budget_of(record)
    return budget.resolve(record.program, sequence, attempt, used)


def finish_with_problem(
    store: ProgramStore,
    record: ProgramRecord,
    call: OpenCall,
    problem: Problem,
    at: float,
) -> CommandResult:
    """End the newest attempt without an answer."""
    if not call.running:
        if problem.ran is Ran.NO:
            _resolve_charge(store, record, call.sequence, call.attempt, None)
        return AttemptFinished(call.failure)
    budget = store.budget_of(record)
    never_ran = problem.ran is Ran.NO or call.phase is CallPhase.ADMITTED
    if never_ran:
        budget.release_reservation(call.reserved_tokens)
    else:
        call.may_have_run = True
        charge = UnresolvedCharge(
            record.program, call.sequence, call.attempt, call.reserved_tokens
        )
        budget.mark_unresolved(charge)
    call.reserved_tokens = 0
    stored = _stored_problem(call, problem, never_ran)
    call.phase = CallPhase.FAILED
    call.phase_at = at
    call.failure = stored
    if not never_ran and not call.repeatable:
        messages = msgspec.Raw(NO_MESSAGES)
        turn = EncodedTurn(call.digest, call.attempt, messages, None, stored)
        close_call(store, record, turn, 0)
    _after_outcome(store, record, at)
    return AttemptFinished(stored)


def _stored_problem(call: OpenCall, problem: Problem, never_ran: bool) -> Problem:
    """Return the problem with `ran` set for the whole call, not only this attempt."""
    if never_ran:
        ran = Ran.UNKNOWN if call.may_have_run else Ran.NO
        return msgspec.structs.replace(problem, ran=ran)
    if call.repeatable:
        return problem
    if problem.ran is Ran.YES or problem.is_code(ProblemCode.OUTCOME_UNKNOWN):
        return msgspec.structs.replace(problem, retry_after=None)
    return refusals.outcome_unknown(call.sequence, problem.message)


def abandon(store: ProgramStore, command: AbandonAttempt) -> CommandResult:
    """Abandon the newest attempt, whose gateway will not finish it."""
    record = store.records.get(command.program)
    call = None if record is None else _newest_attempt(record, command)
    if record is None or call is None or not call.running:
        return CommandRefused(refusals.superseded(command.sequence, Ran.UNKNOWN))
    ran = Ran.NO if call.phase is CallPhase.ADMITTED else Ran.UNKNOWN
    problem = Problem.of(
        ProblemCode.UNAVAILABLE,
        command.reason,
        ran=ran,
        retry_after=refusals.RETRY_SECONDS,
    )
    return finish_with_problem(store, record, call, problem, command.at)


def close_call(
    store: ProgramStore, record: ProgramRecord, turn: EncodedTurn, message_count: int
) -> None:
    """Close the open call with its final outcome."""
    record.history.append(turn, message_count)
    record.finished += 1
    record.call = None
    store.update_running(record)


def _after_outcome(store: ProgramStore, record: ProgramRecord, at: float) -> None:
    store.update_running(record)
    touch(store, record, at)
    smallest_call = record.context_tokens + MESSAGE_OVERHEAD_TOKENS + 1
    if record.ended or store.budget_of(record).unspent < smallest_call:
        # A program without budget keeps its history but no engine memory.
        release_engines(store, record)


def _late_outcome(
    store: ProgramStore, record: ProgramRecord, command: FinishAttempt
) -> CommandResult:
    """Settle the budget of a superseded attempt; its answer is not stored."""
    problem = command.problem
    if problem is None or problem.ran is Ran.NO:
        _resolve_charge(
            store, record, command.sequence, command.attempt, command.answer
        )
    if 1 <= command.sequence <= record.finished:
        stub = record.history.stub(command.sequence)
        if _is_stored(stub, command):
            return AttemptFinished(stub.problem)
    return AttemptSuperseded(refusals.superseded(command.sequence, Ran.UNKNOWN))


def _is_stored(stub: TurnStub, command: FinishAttempt) -> bool:
    if command.answer is not None:
        return stub.is_answer(command.answer)
    return stub.problem is not None and stub.attempt == command.attempt
