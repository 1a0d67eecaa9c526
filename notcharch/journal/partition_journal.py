"""The journal of one partition: fenced, replayed to the end, then appended to."""

from collections.abc import Callable, Generator
from random import Random
from typing import Any, Protocol, TypeVar

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from notcharch.events.feed_faults import FeedFaults
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
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.memory_pool import PoolHolder

READ_RETRY_SECONDS = 0.08
"""Delay before a failed read is retried; short, since a takeover waits for it, but many
times the 4 ms in which a healthy log service responds."""

REFUSED_READ_RETRY_SECONDS = 1.0
"""Delay before a read is repeated that the log service refuses for good, or whose
answer can't be read."""


class PartitionAssignment(msgspec.Struct, frozen=True):
    """An assigned partition, and the epoch of its new owner."""

    number: int
    """Number among the partitions of all topics."""
    log: LogPartition
    epoch: int
    skips_failing_entries: bool = False
    """Whether entries are left out whose handling raises an exception."""


class UnreadableEntryError(Exception):
    """An entry of a journal can't be decoded."""


EntryT = TypeVar("EntryT")


def decode_entry(decoder: "msgspec.msgpack.Decoder[EntryT]", entry: bytes) -> EntryT:
    """Decode an entry; raises `UnreadableEntryError` if it can't be read."""
    try:
        return decoder.decode(entry)
    except DECODING_ERRORS as error:
        raise UnreadableEntryError(str(error)) from error


class ReplayTarget(Protocol):
    """Receives the entries of a journal during a replay."""

    def skip_to(self, offset: int) -> None:
        """Discard the state: the records before an offset are no longer stored."""

    def replay_record(self, offset: int, record: bytes) -> None:
        """Apply the entry whose last record has an offset.

        Raises `UnreadableEntryError` if it can't be decoded.
        """

    def entry_lost(self) -> None:
        """Note that an entry could not be read or applied."""


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
        held: PoolHolder | None = None,
    ) -> None:
        """Build the writer; `on_fenced` is called once when a higher epoch writes.

        `held` bounds the memory of the entries that wait to be appended.
        """
        self._service = service
        self._clock = clock
        self._recovery = recovery or RecoverySignal(clock)
        self._log_partition = assignment.log
        self._skips_failing_entries = assignment.skips_failing_entries
        self._target = target
        self.writer = PartitionWriter(
            service,
            clock,
            random,
            assignment.log,
            epoch=assignment.epoch,
            on_fenced=on_fenced,
            recovery=self._recovery,
            held=held,
        )
        self.records = 0
        """Number of replayed records."""
        self.entry_offset = 0
        """Offset of the first record of the entry that is being replayed."""
        self._faults = FeedFaults("journal")
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
            is_at_end = self._replay_records(response.ok_value)
            # Each partition would hold a page while it waits for the next one.
            del response
            if is_at_end:
                return

    def _replay_records(self, found: Records) -> bool:
        """Apply what was read; return whether nothing follows."""
        for offset, record in enumerate(found.records, start=found.first):
            self._replay(offset, record)
        self.records += len(found.records)
        self._next_offset = found.first + len(found.records)
        return not found.records and found.end <= self._next_offset

    def _replay(self, offset: int, record: bytes) -> None:
        """Apply the entry that a record completes.

        One that can't be read is left out. One whose handling fails ends the takeover, and is
        left out, too, when takeovers have failed before.
        """
        entry = self._assembler.add(record)
        if entry is None:
            return
        self.entry_offset = offset - self._assembler.entry_records + 1
        part = f"{self._log_partition.topic}/{self._log_partition.number} at {offset}"
        try:
            self._target.replay_record(offset, entry)
        except UnreadableEntryError as error:
            self._faults.report(part, str(error))
            self._target.entry_lost()
        except Exception:
            if not self._skips_failing_entries:
                raise
            self._faults.report(part, Failure().getTraceback())
            self._target.entry_lost()

    @inlineCallbacks
    def _handle_problem(self, problem: LogProblem) -> Generator[Any, Any, None]:
        if problem.fault is LogFault.GONE and problem.offset > self._next_offset:
            self._next_offset = problem.offset
            self._assembler.reset()
            self._target.skip_to(problem.offset)
            return
        is_refused = problem.fault in (LogFault.REJECTED, LogFault.UNREADABLE)
        yield self._recovery.pause(
            REFUSED_READ_RETRY_SECONDS if is_refused else READ_RETRY_SECONDS
        )

    def close(self) -> None:
        """Stop writing."""
        self.writer.close()
