"""A partition on its leader: takeover, proposals, snapshots and handover."""

from collections.abc import Callable, Generator
from functools import partial
from random import Random
from typing import Any

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.events.event import emit
from notcharch.events.partitions import (
    CommandFailed,
    LeadershipLost,
    LeadershipTaken,
    StateUnreadable,
)
from notcharch.journal.entries import Outcome
from notcharch.journal.interface import LogService
from notcharch.journal.partition_journal import PartitionAssignment, PartitionJournal
from notcharch.partitions.applier import apply_record
from notcharch.partitions.interface import Command, CommandResult, StateMachine
from notcharch.partitions.records import (
    CommandCodec,
    CommandRecord,
    encode_record,
    snapshot_parts,
)
from notcharch.partitions.replay import Replay
from notcharch.values.identifiers import Epoch, PartitionNumber

RETRY_SECONDS = 0.2
MAX_PENDING_COMMANDS = 10_000
"""Further commands are refused until pending ones are durable."""
SNAPSHOT_LOG_BYTES = 1024 * 1024
"""Minimum bytes of commands before a snapshot is due by size."""

ProposalResult = Result[CommandResult, Problem]


class PartitionDependencies(msgspec.Struct, frozen=True):
    """The dependencies of all partitions of a daemon."""

    service: LogService
    clock: IReactorTime
    random: Random
    codec: CommandCodec
    new_state: Callable[[PartitionNumber], StateMachine]
    commit_seconds: float
    """Timeout for a command to become durable."""
    snapshot_seconds: float
    """Maximum age of a snapshot; the log service deletes old records."""


class Proposal:
    """A command that is being journalled."""

    def __init__(self, record: CommandRecord) -> None:
        """Create a proposal without a result."""
        self.record = record
        self.completion: Deferred[ProposalResult] = Deferred()
        self.timer: IDelayedCall | None = None

    def resolve(self, result: ProposalResult) -> None:
        """Complete the proposal; later calls have no effect."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.completion.called:
            self.completion.callback(result)


class LedPartition:
    """A partition whose journal this daemon owns or is taking over."""

    def __init__(
        self,
        dependencies: PartitionDependencies,
        assignment: PartitionAssignment,
        *,
        on_fenced: Callable[["LedPartition"], None],
        on_leading: Callable[["LedPartition", bool], None],
    ) -> None:
        """`on_leading` is called when leading starts or ends, `on_fenced` if fenced."""
        self._dependencies = dependencies
        self.assignment = assignment
        self._on_fenced = on_fenced
        self._on_leading = on_leading
        self.number = PartitionNumber(assignment.number)
        self.epoch = Epoch(assignment.epoch)
        self._replay = Replay(
            lambda: dependencies.new_state(self.number), dependencies.codec
        )
        self._journal = PartitionJournal(
            dependencies.service,
            dependencies.clock,
            dependencies.random,
            assignment,
            target=self._replay,
            on_fenced=self._handle_fenced,
        )
        self.is_leading = False
        self.waiting = 0
        """Number of commands that aren't durable yet."""
        self.snapshot_covers_to = 0
        self._snapshot_at = 0.0
        self._snapshot_bytes = 0
        self._command_bytes = 0
        self._is_snapshotting = False

    @property
    def state(self) -> StateMachine:
        """The state after all durable commands."""
        return self._replay.state

    @property
    def end(self) -> int:
        """The end of the commands that are whole in the journal of this leader."""
        return self._journal.writer.complete_end

    @inlineCallbacks
    def take_over(self) -> Generator["Deferred[Any]", Any, None]:
        """Fence the previous leader and replay the journal."""
        began = self._dependencies.clock.seconds()
        is_read = yield self._journal.take_over()
        if not is_read:
            return
        if not self._replay.is_complete:
            emit(StateUnreadable(self.number, self.epoch, self.end))
            return
        seconds = self._dependencies.clock.seconds() - began
        self.snapshot_covers_to = self._replay.snapshot_covers_to
        self._snapshot_at = self._replay.snapshot_at
        self.is_leading = True
        emit(
            LeadershipTaken(
                self.number, self.epoch, self._journal.records, round(seconds, 4)
            )
        )
        self._on_leading(self, True)

    # Commands

    def propose(self, command: Command) -> "Deferred[ProposalResult]":
        """Journal a command and apply it once it is durable."""
        encoded = self._dependencies.codec.encode(command)
        proposal = Proposal(CommandRecord(self.epoch, encoded))
        if self.waiting >= MAX_PENDING_COMMANDS:
            proposal.resolve(
                Err(self._unavailable("too many commands are pending", Ran.NO))
            )
            return proposal.completion
        self.waiting += 1
        proposal.timer = self._dependencies.clock.callLater(
            self._dependencies.commit_seconds, self._expire, proposal
        )
        data = encode_record(proposal.record)
        self._command_bytes += len(data)
        self._journal.writer.write(data, partial(self._on_written, proposal))
        return proposal.completion

    def _on_written(self, proposal: Proposal, outcome: Outcome) -> None:
        self.waiting -= 1
        if outcome is Outcome.DURABLE:
            proposal.resolve(Ok(self._apply(proposal.record)))
            return
        if outcome is Outcome.REFUSED:
            problem = self._problem(
                ProblemCode.BODY_TOO_LARGE, "the log service refuses the command"
            )
            proposal.resolve(Err(problem))
            return
        ran = Ran.NO if outcome is Outcome.NOT_WRITTEN else Ran.UNKNOWN
        proposal.resolve(
            Err(self._unavailable("another daemon has taken over the leadership", ran))
        )

    def _apply(self, record: CommandRecord) -> CommandResult:
        applied = apply_record(self.state, self._dependencies.codec, record)
        if applied.failure is not None:
            emit(CommandFailed(self.number, self.end, applied.failure))
        return applied.result

    def _expire(self, proposal: Proposal) -> None:
        problem = self._unavailable(
            "the log service did not respond in time", Ran.UNKNOWN
        )
        proposal.resolve(Err(problem))

    def _unavailable(self, reason: str, ran: Ran) -> Problem:
        return Problem.of(
            ProblemCode.UNAVAILABLE,
            f"partition {self.number}: {reason}",
            ran=ran,
            retry_after=RETRY_SECONDS,
        )

    def _problem(self, code: ProblemCode, reason: str) -> Problem:
        return Problem.of(code, f"partition {self.number}: {reason}", ran=Ran.NO)

    # Snapshots

    def snapshot_if_due(self) -> None:
        """Write a snapshot if the last one is too old or too many bytes follow it."""
        if not self.is_leading or self._is_snapshotting or not self.end:
            return
        limit = max(SNAPSHOT_LOG_BYTES, 2 * self._snapshot_bytes)
        age = self._dependencies.clock.seconds() - self._snapshot_at
        if self._command_bytes >= limit or age >= self._dependencies.snapshot_seconds:
            self._write_snapshot()

    def _write_snapshot(self) -> None:
        """Journal the state, then trim the records that the snapshot replaces.

        Commands that aren't durable yet precede the snapshot in the journal but aren't
        part of it, so the snapshot stores the offset that it covers.
        """
        covers_to = self.end
        snapshot = self.state.snapshot()
        self._is_snapshotting = True
        self._snapshot_at = self._dependencies.clock.seconds()
        self._snapshot_bytes = len(snapshot)
        self._command_bytes = 0
        *parts, last = snapshot_parts(snapshot, covers_to, self._snapshot_at)
        for part in parts:
            self._journal.writer.write(encode_record(part), lambda _: None)
        self._journal.writer.write(
            encode_record(last), partial(self._on_snapshot_written, covers_to)
        )

    def _on_snapshot_written(self, covers_to: int, outcome: Outcome) -> None:
        self._is_snapshotting = False
        if outcome is Outcome.DURABLE:
            self.snapshot_covers_to = covers_to
            log = self.assignment.log
            self._dependencies.service.trim(log.topic, log.number, covers_to)

    # Leadership loss and handover

    def _handle_fenced(self) -> None:
        self._stop_leading("fenced by a higher epoch")
        self._on_fenced(self)

    def _stop_leading(self, cause: str) -> None:
        if not self.is_leading:
            return
        self.is_leading = False
        emit(LeadershipLost(self.number, self.epoch, cause))
        self._on_leading(self, False)

    @inlineCallbacks
    def hand_over(self) -> Generator["Deferred[Any]", Any, None]:
        """Stop leading; release the partition once all commands are durable."""
        self._stop_leading("handed over")
        yield self._journal.writer.when_idle()
        self.close()

    def close(self) -> None:
        """Release the partition immediately."""
        self._stop_leading("released")
        self._journal.close()
