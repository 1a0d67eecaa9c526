"""Applies durable commands to the state machine of a partition."""

import msgspec

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import CommandRefused, CommandResult, StateMachine
from notcharch.partitions.records import CommandCodec, CommandRecord


class ApplyOutcome(msgspec.Struct, frozen=True):
    """The result of a command; `failure` is the text of an unexpected exception."""

    result: CommandResult
    failure: str | None = None


def apply_record(
    state: StateMachine, codec: CommandCodec, record: CommandRecord
) -> ApplyOutcome:
    """Apply one durable command.

    State machines are deterministic, so an exception is raised again at each replay.
    The command is refused and the partition stays in service.
    """
    try:
        command = codec.decode(record.command)
        return ApplyOutcome(state.apply(command, record.epoch))
    except Exception as error:
        text = f"{type(error).__name__}: {error}"
        problem = Problem.of(ProblemCode.INTERNAL, text, ran=Ran.UNKNOWN)
        return ApplyOutcome(CommandRefused(problem), text)
