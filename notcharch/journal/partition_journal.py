"""The journal of one partition: fenced, read to its end, then written."""

from collections.abc import Callable, Generator
from random import Random
from typing import Any, Protocol

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

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
"""A takeover waits for its reads, so they are repeated soon: some times the answer of a
service that is well (4 ms)."""


class PartitionAssignment(msgspec.Struct, frozen=True):
    """Which partition, and under which epoch."""

    number: int
    """Among the partitions of all topics."""
    log: LogPartition
    epoch: int


class ReplayTarget(Protocol):
    """What is rebuilt from the records of a journal."""

    def skip_to(self, offset: int) -> None:
        """Hear that the records before an offset are not kept any more."""

    def replay_record(self, offset: int, record: bytes) -> None:
        """Take the record at an offset."""


class PartitionJournal:
    """Reads what earlier owners wrote, and writes on under a higher epoch."""

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
        """Prepare; `on_fenced` is called once when a higher epoch writes."""
        self._service = service
        self._clock = clock
        self._place = assignment.log
        self._target = target
        self.writer = PartitionWriter(
            service,
            clock,
            random,
            assignment.log,
            epoch=assignment.epoch,
            on_fenced=on_fenced,
            recovery=recovery,
        )
        self.records = 0
        """How many records were replayed."""
        self._read_to = 0

    @inlineCallbacks
    def take_over(self) -> Generator["Deferred[Any]", Any, bool]:
        """Fence the former owner and replay; False if the partition was lost."""
        is_claimed = yield self.writer.claim()
        if not is_claimed:
            return False
        yield self._replay_to(self.writer.end)
        return self.writer.is_open

    @inlineCallbacks
    def _replay_to(self, end: int) -> Generator["Deferred[Any]", Any, None]:
        while self._read_to < end and self.writer.is_open:
            answer: Result[Records, LogProblem] = yield self._service.read(
                self._place.topic, self._place.number, self._read_to
            )
            if isinstance(answer, Err):
                yield self._after_problem(answer.err_value)
                continue
            found = answer.ok_value
            for offset, record in enumerate(found.records, start=found.first):
                self._target.replay_record(offset, record)
            self.records += len(found.records)
            self._read_to = found.first + len(found.records)
            if not found.records and found.end <= self._read_to:
                return

    @inlineCallbacks
    def _after_problem(self, problem: LogProblem) -> Generator[Any, Any, None]:
        if problem.fault is LogFault.GONE and problem.offset > self._read_to:
            self._read_to = problem.offset
            self._target.skip_to(problem.offset)
            return
        yield deferLater(self._clock, READ_RETRY_SECONDS, lambda: None)

    def close(self) -> None:
        """Write no more."""
        self.writer.close()
