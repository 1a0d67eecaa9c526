"""Problems with which commands of programs are refused."""

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import CommandRefused
from notcharch.values.identifiers import CallSequence, ProgramId

RETRY_SECONDS = 0.5
"""Retry delay for a call whose attempt ended without an answer."""


def not_found(program: ProgramId) -> CommandRefused:
    """Refuse a program that is unknown or belongs to another tenant."""
    return CommandRefused(
        Problem.of(ProblemCode.NOT_FOUND, f"there is no program {program}")
    )


def conflict(sequence: CallSequence) -> CommandRefused:
    """Refuse a sequence that was already used with another body."""
    message = f"call {sequence} was already sent with another body"
    return CommandRefused(Problem.of(ProblemCode.SEQUENCE_CONFLICT, message))


def too_early(sequence: CallSequence, expected: CallSequence) -> CommandRefused:
    """Refuse a call while an earlier call of the program has no outcome."""
    message = f"call {sequence} is too early, the next one is {expected}"
    return CommandRefused(
        Problem.of(ProblemCode.SEQUENCE_CONFLICT, message, retry_after=RETRY_SECONDS)
    )


def superseded(sequence: CallSequence, ran: Ran) -> Problem:
    """Return the problem of an attempt that was abandoned or superseded."""
    message = f"this attempt at call {sequence} was abandoned or superseded"
    return Problem.of(ProblemCode.STALE_EPOCH, message, ran=ran)


def outcome_unknown(sequence: CallSequence, reason: str) -> Problem:
    """Return the final problem of a non-repeatable call that may have run."""
    message = f"call {sequence} may have run and is never run again: {reason}"
    return Problem.of(ProblemCode.OUTCOME_UNKNOWN, message, ran=Ran.UNKNOWN)
