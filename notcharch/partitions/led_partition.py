"""One partition as its leader keeps it: replayed, led, handed over."""

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
from notcharch.journal.interface import LogService
from notcharch.journal.partition_journal import PartitionAssignment, PartitionJournal
from notcharch.journal.writer import Outcome
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
"""More commands than this don't wait for the log."""
SNAPSHOT_LOG_BYTES = 1024 * 1024
"""A snapshot follows after so many bytes of commands, or twice the last one's size."""

ProposalResult = Result[CommandResult, Problem]


class PartitionDependencies(msgspec.Struct, frozen=True):
    """What every partition of a daemon works with."""

    service: LogService
    clock: IReactorTime
    random: Random
    codec: CommandCodec
    new_state: Callable[[PartitionNumber], StateMachine]
    commit_seconds: float
    """The longest wait for a command to be durable."""
    snapshot_seconds: float
    """A snapshot is never older: the log drops records by their age."""


class Proposal:
    """A command on its way into the journal."""

    def __init__(self, record: CommandRecord) -> None:
        """Wait for its outcome."""
        self.record = record
        self.answer: Deferred[ProposalResult] = Deferred()
        self.timer: IDelayedCall | None = None

    def decide(self, result: ProposalResult) -> None:
        """Give the outcome, once."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.answer.called:
            self.answer.callback(result)


class LedPartition:
    """A partition whose journal this daemon owns, or is taking over."""

    def __init__(
        self,
        dependencies: PartitionDependencies,
        assignment: PartitionAssignment,
        *,
        on_fenced: Callable[["LedPartition"], None],
        on_leading: Callable[["LedPartition", bool], None],
    ) -> None:
        """`on_leading` hears when leading begins and ends; `on_fenced`, when fenced."""
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
            on_fenced=self._fenced,
        )
        self.is_leading = False
        self.waiting = 0
        """Commands that are not durable yet."""
        self.snapshot_covers_to = 0
        self._snapshot_at = 0.0
        self._snapshot_bytes = 0
        self._bytes_since = 0
        self._is_snapshotting = False

    @property
    def state(self) -> StateMachine:
        """The state with all durable commands."""
        return self._replay.state

    @property
    def end(self) -> int:
        """The end of the journal as of our last append."""
        return self._journal.writer.end

    @inlineCallbacks
    def take_over(self) -> Generator["Deferred[Any]", Any, None]:
        """Fence the former leader and replay what it journalled."""
        began = self._dependencies.clock.seconds()
        is_read = yield self._journal.take_over()
        if not is_read:
            return
        if not self._replay.is_whole:
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
        """Journal a command; it is applied when it is durable."""
        encoded = self._dependencies.codec.encode(command)
        proposal = Proposal(CommandRecord(self.epoch, encoded))
        if self.waiting >= MAX_PENDING_COMMANDS:
            proposal.decide(Err(self._unavailable("too much waits", Ran.NO)))
            return proposal.answer
        self.waiting += 1
        proposal.timer = self._dependencies.clock.callLater(
            self._dependencies.commit_seconds, self._expire, proposal
        )
        data = encode_record(proposal.record)
        self._bytes_since += len(data)
        self._journal.writer.write(data, partial(self._written, proposal))
        return proposal.answer

    def _written(self, proposal: Proposal, outcome: Outcome) -> None:
        self.waiting -= 1
        if outcome is Outcome.DURABLE:
            proposal.decide(Ok(self._apply(proposal.record)))
            return
        ran = Ran.NO if outcome is Outcome.NOT_WRITTEN else Ran.UNKNOWN
        proposal.decide(Err(self._unavailable("another daemon leads it now", ran)))

    def _apply(self, record: CommandRecord) -> CommandResult:
        applied = apply_record(self.state, self._dependencies.codec, record)
        if applied.failure is not None:
            emit(CommandFailed(self.number, self.end, applied.failure))
        return applied.result

    def _expire(self, proposal: Proposal) -> None:
        problem = self._unavailable("the log did not answer in time", Ran.UNKNOWN)
        proposal.decide(Err(problem))

    def _unavailable(self, reason: str, ran: Ran) -> Problem:
        return Problem.of(
            ProblemCode.UNAVAILABLE,
            f"partition {self.number}: {reason}",
            ran=ran,
            retry_after=RETRY_SECONDS,
        )

    # Snapshots

    def tidy(self) -> None:
        """Write a snapshot when the last one is old or much was written since."""
        if not self.is_leading or self._is_snapshotting or not self.end:
            return
        limit = max(SNAPSHOT_LOG_BYTES, 2 * self._snapshot_bytes)
        age = self._dependencies.clock.seconds() - self._snapshot_at
        if self._bytes_since >= limit or age >= self._dependencies.snapshot_seconds:
            self._write_snapshot()

    def _write_snapshot(self) -> None:
        """Journal the state; then drop the records that it makes needless.

        Commands that wait to be durable come before it in the journal and are not in
        it, so it says how far it reaches.
        """
        covers_to = self.end
        snapshot = self.state.snapshot()
        self._is_snapshotting = True
        self._snapshot_at = self._dependencies.clock.seconds()
        self._snapshot_bytes = len(snapshot)
        self._bytes_since = 0
        *parts, last = snapshot_parts(snapshot, covers_to, self._snapshot_at)
        for part in parts:
            self._journal.writer.write(encode_record(part), lambda _: None)
        self._journal.writer.write(
            encode_record(last), partial(self._snapshot_written, covers_to)
        )

    def _snapshot_written(self, covers_to: int, outcome: Outcome) -> None:
        self._is_snapshotting = False
        if outcome is Outcome.DURABLE:
            self.snapshot_covers_to = covers_to
            log = self.assignment.log
            self._dependencies.service.trim(log.topic, log.number, covers_to)

    # The end

    def _fenced(self) -> None:
        self._end_leading("a higher epoch writes it")
        self._on_fenced(self)

    def _end_leading(self, cause: str) -> None:
        if not self.is_leading:
            return
        self.is_leading = False
        emit(LeadershipLost(self.number, self.epoch, cause))
        self._on_leading(self, False)

    @inlineCallbacks
    def hand_over(self) -> Generator["Deferred[Any]", Any, None]:
        """Take no more commands; give the partition up when all are durable."""
        self._end_leading("handed over")
        yield self._journal.writer.when_idle()
        self.close()

    def close(self) -> None:
        """Give the partition up at once."""
        self._end_leading("given up")
        self._journal.close()
