"""The journal of one partition: fenced, replayed to the end, then appended to."""

from collections.abc import Callable, Generator
from random import Random
from typing import Any, Protocol

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.journal.fragments import FragmentAssembler
from notcharch.journal.interface import (
    LogFault,
    LogPartition,
    LogProblem,
    LogService,
    Records,
)
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.writer import PartitionWriter

READ_RETRY_SECONDS = 0.08
"""Delay before a failed read is retried; short, since a takeover waits for it, but many
times the 4 ms in which a healthy log service responds."""

REFUSED_READ_RETRY_SECONDS = 1.0
"""Delay before a read is repeated that the log service refuses for good."""


class PartitionAssignment(msgspec.Struct, frozen=True):
    """An assigned partition, and the epoch of its new owner."""

    number: int
    """Number among the partitions of all topics."""
    log: LogPartition
    epoch: int


class ReplayTarget(Protocol):
    """Receives the entries of a journal during a replay."""

    def skip_to(self, offset: int) -> None:
        """Discard the state: the records before an offset are no longer stored."""

    def replay_record(self, offset: int, record: bytes) -> None:
        """Apply the entry whose last record has an offset."""


class PartitionJournal:
    """Replays the records of earlier owners, then appends under a higher epoch."""

    def __init__(
        self,
        service: LogService,
        clock: IReactorTime,
        random: Random,
        assignment: PartitionAssignment,
        *,
        target: ReplayTarget,
        on_fenced: Callable[[], None],
        recovery: RecoverySignal | None = None,
    ) -> None:
        """Build the writer; `on_fenced` is called once when a higher epoch writes."""
        self._service = service
        self._clock = clock
        self._recovery = recovery or RecoverySignal(clock)
        self._log_partition = assignment.log
        self._target = target
        self.writer = PartitionWriter(
            service,
            clock,
            random,
            assignment.log,
            epoch=assignment.epoch,
            on_fenced=on_fenced,
            recovery=self._recovery,
        )
        self.records = 0
        """Number of replayed records."""
        self._next_offset = 0
        self._assembler = FragmentAssembler()

    @inlineCallbacks
    def take_over(self) -> Generator["Deferred[Any]", Any, bool]:
        """Fence the previous owner and replay; False if this owner is fenced."""
        is_claimed = yield self.writer.claim()
        if not is_claimed:
            return False
        yield self._replay_to(self.writer.end)
        return self.writer.is_open

    @inlineCallbacks
    def _replay_to(self, end: int) -> Generator["Deferred[Any]", Any, None]:
        while self._next_offset < end and self.writer.is_open:
            response: Result[Records, LogProblem] = yield self._service.read(
                self._log_partition.topic, self._log_partition.number, self._next_offset
            )
            if isinstance(response, Err):
                yield self._handle_problem(response.err_value)
                continue
            found = response.ok_value
            for offset, record in enumerate(found.records, start=found.first):
                entry = self._assembler.add(record)
                if entry is not None:
                    self._target.replay_record(offset, entry)
            self.records += len(found.records)
            self._next_offset = found.first + len(found.records)
            if not found.records and found.end <= self._next_offset:
                return

    @inlineCallbacks
    def _handle_problem(self, problem: LogProblem) -> Generator[Any, Any, None]:
        if problem.fault is LogFault.GONE and problem.offset > self._next_offset:
            self._next_offset = problem.offset
            self._assembler.reset()
            self._target.skip_to(problem.offset)
            return
        is_refused = problem.fault is LogFault.REJECTED
        yield self._recovery.pause(
            REFUSED_READ_RETRY_SECONDS if is_refused else READ_RETRY_SECONDS
        )

    def close(self) -> None:
        """Stop writing."""
        self.writer.close()
