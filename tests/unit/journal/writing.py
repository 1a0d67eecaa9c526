"""Writers of one partition, and the entries that a replay of it finds."""

from random import Random

from result import Err
from twisted.internet.task import Clock

from emulator.services.partitioned_log import PartitionedLog
from notcharch.journal.entries import Outcome
from notcharch.journal.interface import (
    LogFault,
    LogLimits,
    LogPartition,
    LogProblem,
)
from notcharch.journal.partition_journal import PartitionAssignment, PartitionJournal
from notcharch.journal.writer import PartitionWriter
from notcharch.values.memory_pool import PoolHolder

SMALL_LIMITS = LogLimits(record_bytes=100, call_bytes=250)
PLACE = LogPartition("t", 0)


class MisinformedLog:
    """A log service whose limits are smaller than those that its callers know."""

    def __init__(self, log: PartitionedLog, known: LogLimits) -> None:
        self._log = log
        self.limits = known

    def __getattr__(self, name):
        return getattr(self._log, name)


class ClosingLog(MisinformedLog):
    """A log service that closes the connection of an append which is too large."""

    def append(self, topic, partition, records, producer=None):
        appended = self._log.append(topic, partition, records, producer)
        return appended.addCallback(without_answer_if_rejected)


def without_answer_if_rejected(result):
    is_rejected = isinstance(result, Err) and (
        result.err_value.fault is LogFault.REJECTED
    )
    return Err(LogProblem(LogFault.FAILED)) if is_rejected else result


class ReplayedEntries:
    """Collects what a replay finds."""

    def __init__(self) -> None:
        self.entries: list[bytes] = []

    def skip_to(self, offset: int) -> None:
        self.entries.clear()

    def replay_record(self, offset: int, record: bytes) -> None:
        self.entries.append(record)


class Writing:
    """Writers of partition 0, and the outcomes of their entries."""

    def __init__(
        self, limits: LogLimits | None = None, known: LogLimits | None = None
    ) -> None:
        """Give writers `known` limits in place of those of the log."""
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 1, limits or LogLimits())
        self.service = MisinformedLog(self.log, known or self.log.limits)
        self.outcomes: list[Outcome] = []
        self.fenced: list[int] = []
        self.held: PoolHolder | None = None
        """Bounds what waits at the next writers."""

    def writer(self, epoch: int) -> PartitionWriter:
        return PartitionWriter(
            self.service,
            self.clock,
            Random(1),
            PLACE,
            epoch=epoch,
            on_fenced=lambda: self.fenced.append(epoch),
            held=self.held,
        )

    def claimed(self, epoch: int) -> PartitionWriter:
        writer = self.writer(epoch)
        writer.claim()
        self.run(0.1)
        return writer

    def write(self, writer, *entries: bytes) -> None:
        for entry in entries:
            writer.write(entry, self.outcomes.append)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    @property
    def records(self) -> list[bytes]:
        return self.log.partition("t", 0).records

    def replayed(self, epoch: int = 1000) -> list[bytes]:
        """Take the partition over, and return the entries that are whole."""
        target = ReplayedEntries()
        journal = PartitionJournal(
            self.service,
            self.clock,
            Random(1),
            PartitionAssignment(0, PLACE, epoch),
            target=target,
            on_fenced=lambda: self.fenced.append(epoch),
        )
        journal.take_over()
        self.run(1.0)
        return target.entries
