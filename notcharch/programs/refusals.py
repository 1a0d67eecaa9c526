"""The problems with which commands of programs are refused."""

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import CommandRefused
from notcharch.values.identifiers import CallSequence, ProgramId

RETRY_SECONDS = 0.5
"""When to repeat a call whose attempt ended without an answer, seconds."""


def not_found(program: ProgramId) -> CommandRefused:
    """Refuse: the program is unknown, or another tenant's."""
    return CommandRefused(
        Problem.of(ProblemCode.NOT_FOUND, f"there is no program {program}")
    )


def conflict(sequence: CallSequence) -> CommandRefused:
    """Refuse: this sequence was used for another body."""
    message = f"call {sequence} was already sent with another body"
    return CommandRefused(Problem.of(ProblemCode.SEQUENCE_CONFLICT, message))


def too_early(sequence: CallSequence, expected: CallSequence) -> CommandRefused:
    """Refuse: an earlier call of the program has no outcome yet."""
    message = f"call {sequence} is too early, the next one is {expected}"
    return CommandRefused(
        Problem.of(ProblemCode.SEQUENCE_CONFLICT, message, retry_after=RETRY_SECONDS)
    )


def superseded(sequence: CallSequence, ran: Ran) -> Problem:
    """Give the problem of an attempt that is no longer the newest one."""
    message = f"this attempt at call {sequence} was given up before"
    return Problem.of(ProblemCode.STALE_EPOCH, message, ran=ran)


def outcome_unknown(sequence: CallSequence, reason: str) -> Problem:
    """Give the final failure of an unrepeatable call that may have run."""
    message = f"call {sequence} may have run and is never run again: {reason}"
    return Problem.of(ProblemCode.OUTCOME_UNKNOWN, message, ran=Ran.UNKNOWN)
