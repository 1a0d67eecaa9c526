"""Proposes commands on behalf of request handlers, with errors as exceptions."""

from notcharch.errors.problem import ProblemError
from notcharch.partitions.interface import (
    Command,
    CommandRefused,
    CommandResult,
    PartitionHost,
)
from notcharch.values.identifiers import PartitionNumber


async def propose_or_raise(
    partitions: PartitionHost, partition: PartitionNumber, command: Command
) -> CommandResult:
    """Propose a command; raises `ProblemError` if it fails or is refused."""
    outcome = await partitions.propose(partition, command)
    if outcome.is_err():
        raise ProblemError(outcome.unwrap_err())
    result = outcome.unwrap()
    if isinstance(result, CommandRefused):
        raise ProblemError(result.problem)
    return result
