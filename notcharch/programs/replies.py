"""Builds replies to gateways from records and command results."""

from notcharch.programs.commands import AttemptAdmitted
from notcharch.programs.record import ProgramRecord
from notcharch.programs.state import ProgramsState
from notcharch.programs.turns import Turn
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import CallSequence
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.programs import (
    AdmitCall,
    CallAdmitted,
    CallAnswered,
    CallFailed,
    ProgramDescription,
)


def admitted_reply(
    message: AdmitCall, history: tuple[ChatMessage, ...], admitted: AttemptAdmitted
) -> CallAdmitted:
    """Return the reply with what a gateway needs to run an attempt."""
    return CallAdmitted(
        program=message.program,
        sequence=message.sequence,
        attempt=admitted.attempt,
        epoch=admitted.epoch,
        service=admitted.service,
        history=history,
        prompt_tokens=admitted.prompt_tokens,
        attained_tokens=admitted.attained_tokens,
        started_at=admitted.started_at,
        prefix=admitted.prefix,
        ran_before=admitted.ran_before,
    )


def failure_reply(record: ProgramRecord, sequence: CallSequence) -> CallFailed | None:
    """Return the failure of the newest attempt at the open call, or None.

    Requests that wait for the call get this reply and may repeat the call.
    """
    call = record.call
    if call is not None and call.sequence == sequence and call.failure is not None:
        return CallFailed(sequence, call.failure)
    return None


def finished_reply(sequence: CallSequence, turn: Turn) -> Message:
    """Return the final outcome of a finished call."""
    answer = turn.answer
    if answer is not None:
        return CallAnswered(sequence, answer)
    if turn.problem is not None:
        return CallFailed(sequence, turn.problem)
    message = f"call {sequence} has no outcome"
    raise LookupError(message)


def description(state: ProgramsState, record: ProgramRecord) -> ProgramDescription:
    """Describe a program; the token counts are those of its whole tree."""
    budget = state.budget_of(record)
    return ProgramDescription(
        program=record.program,
        service=record.service,
        tenant=record.tenant,
        parent=record.parent,
        ended=record.ended,
        next_sequence=record.next_sequence,
        message_count=record.history.message_count,
        budget_tokens=budget.limit,
        reserved_tokens=budget.reserved + budget.unresolved,
        spent_tokens=budget.settled,
        started_at=record.started_at or record.created_at,
    )
