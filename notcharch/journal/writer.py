"""Appends records to a partition under an epoch: batched, in order, exactly once."""

from collections.abc import Callable, Generator, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.events.event import emit
from notcharch.events.journal import EntryRefused
from notcharch.journal.entries import BatchRecord, Entry, EntryQueue, Outcome
from notcharch.journal.fragments import FragmentSplitter
from notcharch.journal.interface import (
    UNCERTAIN_FAULTS,
    Appended,
    LogFault,
    LogPartition,
    LogProblem,
    LogService,
    Producer,
    Records,
)
from notcharch.journal.metrics import (
    APPEND_SECONDS,
    APPENDS,
    BACKLOG,
    REFUSED_ENTRIES,
)
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.values.memory_pool import HeldPart, PoolHolder, unbounded_holder

RETRY_SECONDS = 0.05
"""Delay before the first retry of a failed append or read."""
MAX_RETRY_SECONDS = 0.6
"""Upper bound of the delay; a recovery signal ends it earlier."""
RETRY_GROWTH_FACTOR = 2.0
SMALL_ENTRY_BYTES = 8 * 1024
"""An entry of this size, such as the one that confirms the ownership, may use the reserve."""
RESERVED_ENTRIES_BYTES = 256 * 1024
"""What small entries have beside the pool: 32 of the largest of them."""
ENTRY_BYTES = 1024
"""Memory of an entry that waits besides its records, with who waits for its outcome."""
SUSPICIOUS_FAILURES = 4
"""Failed tries of an append after which the service itself is checked."""
VAIN_TRIES = 3
"""Further ones, while the service answers reads, after which it refuses the append.

A service may refuse a call by closing the connection; an outage fails the reads, too."""
FENCING_FAULTS = (LogFault.FENCED, LogFault.OUT_OF_ORDER, LogFault.MOVED_ON)
"""Faults which show that another writer owns the partition."""

AppendResult = Result[Appended, Outcome]


class PartitionWriter:
    """The only writer of a partition, until a higher epoch fences it."""

    def __init__(
        self,
        service: LogService,
        clock: IReactorTime,
        random: Random,
        place: LogPartition,
        *,
        epoch: int,
        on_fenced: Callable[[], None],
        recovery: RecoverySignal | None = None,
        held: PoolHolder | None = None,
    ) -> None:
        """Write under an epoch; `on_fenced` is called once when it is fenced.

        `recovery` ends waits early when the service is available again. `held` bounds the
        memory of the entries that wait.
        """
        self._held = held or unbounded_holder()
        self._service = service
        self._clock = clock
        self._random = random
        self._topic = place.topic
        self._partition = place.number
        self._epoch = epoch
        self._on_fenced = on_fenced
        self._recovery = recovery or RecoverySignal(clock)
        self._sequence = 0
        limits = service.limits
        self._splitter = FragmentSplitter(epoch, limits.max_record_bytes)
        self._queue = EntryQueue(limits)
        self._is_writing = False
        self._is_collecting = False
        self.appended_bytes = 0
        """Bytes of the records that this writer appended."""
        self._idle_waiters: list[Deferred[None]] = []
        self.is_open = True
        self.end = 0
        """End of the partition after the last append of this writer."""
        self.complete_end = 0
        """End of the last whole entry, before the fragments of one that is not whole."""

    @inlineCallbacks
    def claim(self) -> Generator["Deferred[Any]", Any, bool]:
        """Fence earlier writers; False if a higher epoch has already claimed."""
        claimed: AppendResult = yield self._append(())
        if isinstance(claimed, Err):
            return False
        self.complete_end = self.end
        return True

    def write(
        self,
        entry: bytes,
        done: Callable[[Outcome], None],
        *,
        must_wait: bool = False,
    ) -> Entry | None:
        """Append an entry, in several records if need be; `done` gets its outcome.

        While too many bytes wait, as in an outage of the service, it is not written at
        all, unless it `must_wait`. Returns the entry if it waits or was appended.
        """
        if not self.is_open:
            done(Outcome.NOT_WRITTEN)
            return None
        records = self._splitter.split(entry)
        if not records:
            self._log_refused(len(entry), 0)
            done(Outcome.REFUSED)
            return None
        held = HeldPart(self._held, SMALL_ENTRY_BYTES)
        size = len(entry) + ENTRY_BYTES
        if must_wait:
            held.change(size)
        elif not held.take(size):
            done(Outcome.NOT_WRITTEN)
            return None
        waiting = Entry(records, done, held)
        self._queue.add(waiting)
        BACKLOG.inc()
        self._start()
        return waiting

    def _start(self) -> None:
        if self._queue and not self._is_writing and not self._is_collecting:
            self._write()

    @contextmanager
    def together(self) -> Iterator[None]:
        """Let what is written inside go into one append, as far as it fits."""
        self._is_collecting = True
        try:
            yield
        finally:
            self._is_collecting = False
            self._start()

    def confirm(self) -> "Deferred[Outcome]":
        """Check whether this is still the writer of the highest epoch."""
        done: Deferred[Outcome] = Deferred()
        self.write(b"", done.callback)
        return done

    @inlineCallbacks
    def _write(self) -> Generator["Deferred[Any]", Any, None]:
        """Write the queued entries in batches, one append at a time."""
        self._is_writing = True
        while self._queue and self.is_open:
            batch = self._queue.next_batch()
            BACKLOG.dec(sum(item.is_last for item in batch))
            yield self._write_batch(batch)
        self._is_writing = False
        self._notify_idle()

    @inlineCallbacks
    def _write_batch(
        self, batch: list[BatchRecord]
    ) -> Generator["Deferred[Any]", Any, None]:
        """Append a batch; one that is refused for good is halved to find the record."""
        batch = [item for item in batch if not item.entry.is_finished]
        records = tuple(item.record for item in batch if item.record)
        outcome = Outcome.DURABLE
        if records:
            appended: AppendResult = yield self._append(records)
            if not isinstance(appended, Err):
                self._on_appended(batch, appended.ok_value)
                return
            outcome = appended.err_value
        elif batch:
            is_sole = yield self._is_sole_writer()
            outcome = Outcome.DURABLE if is_sole else Outcome.LOST
        if outcome is Outcome.REFUSED and len(batch) > 1:
            middle = len(batch) // 2
            yield self._write_batch(batch[:middle])
            yield self._write_batch(batch[middle:])
            return
        for item in batch:
            self._end_entry(item, outcome)

    def _on_appended(self, batch: list[BatchRecord], appended: Appended) -> None:
        """Report the entries that are whole with a batch."""
        offset = appended.offset
        for item in batch:
            if item.entry.first_offset < 0 <= offset:
                item.entry.first_offset = offset
            offset += bool(item.record)
            if item.is_last:
                self.complete_end = offset
                item.entry.finish(Outcome.DURABLE)

    def _end_entry(self, item: BatchRecord, outcome: Outcome) -> None:
        """End an entry of a batch that was not appended, or is not known to be."""
        is_certainly_not_whole = outcome is Outcome.LOST and bool(item.entry.unwritten)
        BACKLOG.dec(self._queue.remove(item.entry))
        if outcome is Outcome.REFUSED:
            self._log_refused(item.entry.size, len(item.record))
        item.entry.finish(Outcome.NOT_WRITTEN if is_certainly_not_whole else outcome)

    def _log_refused(self, entry_bytes: int, record_bytes: int) -> None:
        REFUSED_ENTRIES.inc()
        emit(
            EntryRefused(
                self._topic, self._partition, self._epoch, entry_bytes, record_bytes
            )
        )

    def when_idle(self) -> "Deferred[None]":
        """Return a Deferred that fires when all entries are written."""
        waiting: Deferred[None] = Deferred()
        self._idle_waiters.append(waiting)
        if not self._is_writing:
            self._notify_idle()
        return waiting

    def _notify_idle(self) -> None:
        waiters, self._idle_waiters = self._idle_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    @inlineCallbacks
    def _is_sole_writer(self) -> Generator[Any, Any, bool]:
        """Read from the end of the last append: a record there is another writer's.

        An empty append can't check this: it doesn't advance the sequence number.
        """
        while self.is_open:
            response: Result[Records, LogProblem] = yield self._service.read(
                self._topic, self._partition, self.end
            )
            if not isinstance(response, Err):
                if response.ok_value.end <= self.end:
                    return True
                self._close_fenced()
                return False
            elif response.err_value.fault is LogFault.GONE:
                self._close_fenced()  # records after the own ones were stored, and dropped
                return False
            yield self._pause(RETRY_SECONDS)
        return False

    def _close_fenced(self) -> None:
        self.close()
        self._on_fenced()

    def _pause(self, seconds: float) -> "Deferred[None]":
        jitter = 0.5 + self._random.random()
        return self._recovery.pause(seconds * jitter)

    @inlineCallbacks
    def _append(self, records: tuple[bytes, ...]) -> Generator[Any, Any, AppendResult]:
        """Retry an append until its outcome is known; its sequence number stays."""
        if records:
            self._sequence += 1
        producer = Producer(self._topic, self._epoch, self._sequence)
        delay = RETRY_SECONDS
        recoveries = self._recovery.recovery_count
        began = self._clock.seconds()
        may_be_written = False
        failures = vain_tries = 0
        while self.is_open:
            sent = self._service.append(self._topic, self._partition, records, producer)
            response: Result[Appended, LogProblem] = yield self._recovery.guard(sent)
            if not isinstance(response, Err):
                APPENDS.labels("done").inc()
                APPEND_SECONDS.observe(self._clock.seconds() - began)
                self.end = response.ok_value.end
                self.appended_bytes += sum(map(len, records))
                return Ok(response.ok_value)
            fault = response.err_value.fault
            APPENDS.labels(fault.value).inc()
            may_be_written = may_be_written or fault in UNCERTAIN_FAULTS
            if fault in FENCING_FAULTS:
                self._close_fenced()
                break
            failures = failures + 1 if fault is LogFault.FAILED else 0
            is_suspicious = bool(records) and failures > SUSPICIOUS_FAILURES
            is_vain = is_suspicious and (yield self._fails_alone())
            vain_tries = vain_tries + 1 if is_vain else 0
            if records and (fault is LogFault.REJECTED or vain_tries >= VAIN_TRIES):
                return Err(self._refused(records, may_be_written=may_be_written))
            if self._recovery.recovery_count != recoveries:
                recoveries = self._recovery.recovery_count
                delay = RETRY_SECONDS
            yield self._pause(delay)
            delay = min(delay * RETRY_GROWTH_FACTOR, MAX_RETRY_SECONDS)
        return Err(Outcome.LOST if may_be_written else Outcome.NOT_WRITTEN)

    @inlineCallbacks
    def _fails_alone(self) -> Generator[Any, Any, bool]:
        """Return whether the service answers a read although an append fails."""
        response: Result[Records, LogProblem] = yield self._service.read(
            self._topic, self._partition, self.end
        )
        return not isinstance(response, Err) and response.ok_value.end == self.end

    def _refused(self, records: tuple[bytes, ...], *, may_be_written: bool) -> Outcome:
        """Return the outcome of an append that is refused for good.

        Its sequence number serves the next append. If an earlier try of the same append may
        still take effect, the number may be used by then: a higher epoch has to claim the
        partition, which shows by a replay what is written.
        """
        if not may_be_written:
            self._sequence -= 1
            return Outcome.REFUSED
        self._close_fenced()
        return Outcome.REFUSED if len(records) == 1 else Outcome.LOST

    def close(self) -> None:
        """Stop writing; queued entries end with NOT_WRITTEN."""
        self.is_open = False
        waiting = self._queue.clear()
        BACKLOG.dec(len(waiting))
        for entry in waiting:
            entry.finish(Outcome.NOT_WRITTEN)
