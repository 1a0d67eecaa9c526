"""What the rest of the system sees of the partitions of the region's state.

A partition is a deterministic `StateMachine`. Its commands are a journal in the log
service; the daemon that owns the journal leads the partition and applies each command
after it is durable. Whoever takes the journal over replays it.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem
from notcharch.values.identifiers import DaemonName, Epoch, PartitionNumber


class Command(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A change of a partition's state, as it is journalled.

    `at` is the leader's clock, seconds since 1970, when it proposed the
    command: state machines have no clock of their own.
    """

    at: float


class CommandResult(msgspec.Struct, frozen=True, tag=True):
    """What applying a command gave; the same at each replay."""


class CommandRefused(CommandResult, frozen=True):
    """The command changed nothing, for this reason."""

    problem: Problem


class StateMachine(Protocol):
    """The state of one partition. Pure: no I/O, no clock."""

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply one durable command; deterministic."""

    def snapshot(self) -> bytes:
        """Encode the whole state, for the journal."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""


LeadershipListener = Callable[[PartitionNumber, Epoch | None], None]


class PartitionHost(Protocol):
    """The partitions that this daemon leads."""

    def led_partitions(self) -> tuple[PartitionNumber, ...]:
        """Give the partitions that this daemon certainly leads now."""

    def leader_epoch(self, partition: PartitionNumber) -> Epoch | None:
        """Give the epoch in which this daemon leads the partition, or None."""

    def leader_hint(self, partition: PartitionNumber) -> DaemonName | None:
        """Give the daemon that seems to lead the partition; None if unknown."""

    def state(self, partition: PartitionNumber) -> StateMachine | None:
        """Give the applied state of a partition that is led here, or None."""

    def propose(
        self, partition: PartitionNumber, command: Command
    ) -> "Deferred[Result[CommandResult, Problem]]":
        """Journal a command; fires after it is durable and applied.

        Errors: NOT_LEADER (`ran: no`, with a hint), UNAVAILABLE (`ran: unknown`)
        when the outcome was not learnt in time. `CommandRefused` is an Ok value.
        """

    def on_leadership(self, listener: LeadershipListener) -> None:
        """Call `listener` when this daemon begins (epoch) or ends (None) leading."""
