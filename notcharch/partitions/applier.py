"""Applies durable commands to the state machine of a partition."""

import msgspec

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import CommandRefused, CommandResult, StateMachine
from notcharch.partitions.records import CommandCodec, CommandRecord


class ApplyOutcome(msgspec.Struct, frozen=True):
    """The result of a command; `failure` tells of an exception, a defect."""

    result: CommandResult
    failure: str | None = None


def apply_record(
    state: StateMachine, codec: CommandCodec, record: CommandRecord
) -> ApplyOutcome:
    """Apply one durable command.

    An exception of a deterministic machine happens at each replay, too, so the
    command counts as refused and the partition goes on.
    """
    try:
        command = codec.decode(record.command)
        return ApplyOutcome(state.apply(command, record.epoch))
    except Exception as error:
        text = f"{type(error).__name__}: {error}"
        problem = Problem.of(ProblemCode.INTERNAL, text, ran=Ran.UNKNOWN)
        return ApplyOutcome(CommandRefused(problem), text)
