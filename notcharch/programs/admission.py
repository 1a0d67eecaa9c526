"""Admits calls of a program in order and reserves their token budget."""

from typing import Protocol

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import CommandRefused, CommandResult
from notcharch.programs import refusals
from notcharch.programs.budget import prompt_token_bound
from notcharch.programs.commands import (
    AdmitAttempt,
    AttemptAdmitted,
    AttemptJoined,
    CallFinishedBefore,
)
from notcharch.programs.record import (
    CallPhase,
    OpenCall,
    ProgramRecord,
    call_digest,
)
from notcharch.programs.store import ProgramStore
from notcharch.programs.tree import ended_problem, touch
from notcharch.programs.turns import encode_messages
from notcharch.values.identifiers import AttemptNumber, CallSequence, Epoch, Member

BUDGET_RETRY_SECONDS = 5.0
"""Retry delay for a call while running calls of the same tree reserve the budget."""


class CallRequest(Protocol):
    """Fields shared by the admission command and the gateway's message."""

    @property
    def sequence(self) -> CallSequence:
        """Position of the call in its program, from 1."""

    @property
    def gateway(self) -> Member:
        """The requesting gateway."""


def admit(store: ProgramStore, command: AdmitAttempt, epoch: Epoch) -> CommandResult:
    """Admit an attempt at the next call, join a running attempt, or refuse."""
    record = store.visible(command.program, command.tenant)
    if record is None:
        return refusals.not_found(command.program)
    digest = call_digest(command.body_digest, command.repeatable)
    known = known_call(record, command, digest)
    if known is not None:
        return known
    prompt_tokens = prompt_token_bound(record.context_tokens, command.messages)
    prompt_tokens += command.parameter_tokens
    reservation = prompt_tokens + command.max_tokens
    problem = _refusal(store, record, command, reservation)
    if problem is not None:
        return CommandRefused(problem)
    _begin_attempt(store, record, command, digest, reservation)
    return _admitted(store, record, epoch, prompt_tokens)


def known_call(
    record: ProgramRecord, command: CallRequest, digest: bytes
) -> CommandResult | None:
    """Return the result for an early, finished or running sequence; None otherwise.

    Reads the record only, so a leader can check it before proposing a command.
    """
    if command.sequence > record.next_sequence:
        if record.ended:
            return CommandRefused(ended_problem(record, Ran.NO))
        return refusals.too_early(command.sequence, record.next_sequence)
    if command.sequence <= record.finished:
        return _finished_call(record, command, digest)
    call = record.call
    if call is None:
        return None
    if not call.running:
        # If no attempt can have run, the call may be sent again with another body.
        changed = call.may_have_run and call.digest != digest
        return refusals.conflict(command.sequence) if changed else None
    if call.digest != digest:
        return refusals.conflict(command.sequence)
    if supersedes(call, command):
        return None
    return AttemptJoined(call.attempt)


def _finished_call(
    record: ProgramRecord, command: CallRequest, digest: bytes
) -> CommandResult:
    if command.sequence < 1:
        message = "calls are numbered from 1"
        return CommandRefused(Problem.of(ProblemCode.BAD_REQUEST, message))
    if record.history.stub(command.sequence).digest != digest:
        return refusals.conflict(command.sequence)
    return CallFinishedBefore()


def supersedes(call: OpenCall, command: CallRequest) -> bool:
    """Return whether a gateway repeats a request whose admission it never received.

    The earlier attempt was not dispatched, and cannot be once a newer one exists.
    """
    return call.phase is CallPhase.ADMITTED and call.gateway == command.gateway


def _refusal(
    store: ProgramStore, record: ProgramRecord, command: AdmitAttempt, reservation: int
) -> Problem | None:
    ran = record.ran_so_far
    limits = command.limits
    if record.ended:
        return ended_problem(record, ran)
    if command.max_tokens < 1:
        return Problem.of(ProblemCode.BAD_REQUEST, "max_tokens is below 1", ran=ran)
    if command.sequence > limits.calls_per_program:
        message = f"the row allows {limits.calls_per_program} calls per program"
        return Problem.of(ProblemCode.CALL_LIMIT_REACHED, message, ran=ran)
    if command.at - record.created_at >= limits.max_age_seconds:
        message = f"the row allows an age of {limits.max_age_seconds:g} seconds"
        return Problem.of(ProblemCode.PROGRAM_TOO_OLD, message, ran=ran)
    return _budget_refusal(store, record, limits.budget_tokens, reservation, ran)


def _budget_refusal(
    store: ProgramStore, record: ProgramRecord, limit: int, reservation: int, ran: Ran
) -> Problem | None:
    budget = store.budget_of(record)
    call = record.call
    released = call.reserved_tokens if call is not None else 0
    free = limit - budget.committed + released
    if reservation <= free:
        return None
    message = (
        f"the call may use {reservation} tokens, and {max(free, 0)} are left"
        f" of the budget of {limit}"
    )
    # Other calls of the tree may release a part of their reservations.
    may_fit_soon = reservation <= free + budget.reserved - released
    return Problem.of(
        ProblemCode.BUDGET_EXHAUSTED,
        message,
        ran=ran,
        retry_after=BUDGET_RETRY_SECONDS if may_fit_soon else None,
    )


def _begin_attempt(
    store: ProgramStore,
    record: ProgramRecord,
    command: AdmitAttempt,
    digest: bytes,
    reservation: int,
) -> None:
    budget = store.budget_of(record)
    budget.limit = command.limits.budget_tokens
    before = record.call
    number = 1 if before is None else before.attempt + 1
    if before is not None:
        budget.release_reservation(before.reserved_tokens)
    budget.reserve(reservation)
    record.call = OpenCall(
        sequence=command.sequence,
        digest=digest,
        repeatable=command.repeatable,
        messages=encode_messages(command.messages),
        attempt=AttemptNumber(number),
        phase=CallPhase.ADMITTED,
        gateway=command.gateway,
        reserved_tokens=reservation,
        phase_at=command.at,
        may_have_run=record.ran_so_far is not Ran.NO,
    )
    if record.started_at is None:
        record.started_at = command.at
    touch(store, record, command.at)
    store.update_running(record)


def _admitted(
    store: ProgramStore, record: ProgramRecord, epoch: Epoch, prompt_tokens: int
) -> AttemptAdmitted:
    call = record.call
    return AttemptAdmitted(
        attempt=call.attempt if call is not None else AttemptNumber(1),
        epoch=epoch,
        service=record.service,
        message_count=record.history.message_count,
        prompt_tokens=prompt_tokens,
        attained_tokens=store.budget_of(record).settled,
        started_at=record.started_at or record.created_at,
        prefix=record.prefix,
        ran_before=record.ran_so_far,
    )
