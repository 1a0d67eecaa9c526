"""Interface of the partitions of the region's state.

A partition is a deterministic `StateMachine` with a journal of commands in the log
service. The daemon that owns the journal leads the partition and applies each command
once it is durable. A new owner replays the journal.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem
from notcharch.values.identifiers import DaemonName, Epoch, PartitionNumber


class Command(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A journalled change of a partition's state.

    `at` is the time of the proposal by the leader's clock, in seconds since 1970: state
    machines have no clock.
    """

    at: float


class CommandResult(msgspec.Struct, frozen=True, tag=True):
    """The result of applying a command; the same at each replay."""


class CommandRefused(CommandResult, frozen=True):
    """The command was refused and changed nothing."""

    problem: Problem


class StateMachine(Protocol):
    """The state of one partition. Pure: no I/O, no clock."""

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply one durable command; must be deterministic."""

    def snapshot(self) -> bytes:
        """Encode the complete state for the journal."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the complete state."""


LeadershipListener = Callable[[PartitionNumber, Epoch | None], None]


class PartitionHost(Protocol):
    """The partitions that this daemon leads."""

    def led_partitions(self) -> tuple[PartitionNumber, ...]:
        """Return the partitions that this daemon leads under a valid lease."""

    def leader_epoch(self, partition: PartitionNumber) -> Epoch | None:
        """Return the epoch in which this daemon leads the partition, or None."""

    def leader_hint(self, partition: PartitionNumber) -> DaemonName | None:
        """Return the daemon that probably leads the partition; None if unknown."""

    def state(self, partition: PartitionNumber) -> StateMachine | None:
        """Return the applied state of a partition that this daemon leads, or None."""

    def propose(
        self, partition: PartitionNumber, command: Command
    ) -> "Deferred[Result[CommandResult, Problem]]":
        """Journal a command; fires after it is durable and applied.

        Errors: NOT_LEADER (`ran: no`, with a hint), UNAVAILABLE (`ran: unknown`)
        if the outcome wasn't known in time. `CommandRefused` is an Ok value.
        """

    def on_leadership(self, listener: LeadershipListener) -> None:
        """Call `listener` when this daemon starts (epoch) or stops (None) leading."""
