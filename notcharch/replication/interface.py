"""What the rest of the system sees of replication.

A partition is a deterministic `StateMachine` on three daemons in three zones.
Commands are applied in one order on all of them, after a majority holds them.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem
from notcharch.values.identifiers import DaemonName, Epoch, PartitionNumber


class Command(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A change of a partition's state, as it is replicated and archived.

    `at` is the leader's clock, seconds since 1970, when it proposed the
    command: state machines have no clock of their own.
    """

    at: float


class CommandResult(msgspec.Struct, frozen=True, tag=True):
    """What applying a command gave; the same on every replica."""


class CommandRefused(CommandResult, frozen=True):
    """The command changed nothing, for this reason."""

    problem: Problem


class StateMachine(Protocol):
    """The replicated state of one partition. Pure: no I/O, no clock."""

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply one committed command; deterministic."""

    def snapshot(self) -> bytes:
        """Encode the whole state, for a replacement replica or the archive."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""


class PartitionReplicas(Protocol):
    """The partitions of which this daemon is a replica."""

    def led_partitions(self) -> tuple[PartitionNumber, ...]:
        """Give the partitions that this daemon leads now, as far as it knows."""

    def leader_epoch(self, partition: PartitionNumber) -> Epoch | None:
        """Give the epoch in which this daemon leads the partition, or None."""

    def leader_hint(self, partition: PartitionNumber) -> DaemonName | None:
        """Give the daemon that seems to lead the partition; None if unknown."""

    def state(self, partition: PartitionNumber) -> StateMachine | None:
        """Give the applied state of a partition replicated here, or None."""

    def propose(
        self, partition: PartitionNumber, command: Command
    ) -> "Deferred[Result[CommandResult, Problem]]":
        """Replicate a command; fires after a majority holds it and it is applied.

        Errors: NOT_LEADER (`ran: no`, with a hint), UNAVAILABLE (`ran: unknown`)
        when the outcome was not learnt in time. `CommandRefused` is an Ok value.
        """

    def on_leadership(
        self, listener: Callable[[PartitionNumber, Epoch | None], None]
    ) -> None:
        """Call `listener` when this daemon begins (epoch) or ends (None) leading."""
