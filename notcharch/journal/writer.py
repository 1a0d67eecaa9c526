"""Appends records to a partition under an epoch: batched, in order, exactly once."""

from collections import deque
from collections.abc import Callable, Generator
from enum import Enum
from random import Random
from typing import Any

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.journal.interface import (
    Appended,
    LogFault,
    LogPartition,
    LogProblem,
    LogService,
    Producer,
    Records,
)
from notcharch.journal.metrics import APPEND_SECONDS, APPENDS, BACKLOG
from notcharch.journal.recovery_signal import RecoverySignal

BATCH_BYTES = 256 * 1024
"""Size at which a batch is sent; an eighth of the platform's limit per call."""
RETRY_SECONDS = 0.05
"""Delay before the first retry of a failed append or read."""
MAX_RETRY_SECONDS = 0.6
"""Upper bound of the delay; a recovery signal ends it earlier."""
RETRY_GROWTH_FACTOR = 2.0
FENCING_FAULTS = (LogFault.FENCED, LogFault.OUT_OF_ORDER, LogFault.MOVED_ON)
"""Faults which show that another writer owns the partition."""


class Outcome(Enum):
    """Outcome of writing an entry."""

    DURABLE = "durable"
    LOST = "lost"
    """Fenced by another writer; the entry may or may not be stored."""
    NOT_WRITTEN = "not written"
    """Fenced by another writer; the entry is certainly not stored."""


class Entry(msgspec.Struct, frozen=True):
    """A record, and the callback for its outcome."""

    record: bytes
    """Empty for an entry that only checks that this is still the sole writer."""
    done: Callable[[Outcome], None]


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
    ) -> None:
        """Write under an epoch; `on_fenced` is called once when it is fenced.

        `recovery` ends waits early when the service is available again.
        """
        self._service = service
        self._clock = clock
        self._random = random
        self._topic = place.topic
        self._partition = place.number
        self._epoch = epoch
        self._on_fenced = on_fenced
        self._recovery = recovery or RecoverySignal(clock)
        self._sequence = 0
        self._queue: deque[Entry] = deque()
        self._is_writing = False
        self._idle_waiters: list[Deferred[None]] = []
        self.is_open = True
        self.end = 0
        """End of the partition after the last append of this writer."""

    @inlineCallbacks
    def claim(self) -> Generator["Deferred[Any]", Any, bool]:
        """Fence earlier writers; False if a higher epoch has already claimed."""
        outcome = yield self._append(())
        return outcome is Outcome.DURABLE

    def write(self, record: bytes, done: Callable[[Outcome], None]) -> None:
        """Append a record; `done` is called with its outcome."""
        if not self.is_open:
            done(Outcome.NOT_WRITTEN)
            return
        self._queue.append(Entry(record, done))
        BACKLOG.inc()
        if not self._is_writing:
            self._write()

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
            batch = self._next_batch()
            records = tuple(entry.record for entry in batch if entry.record)
            if records:
                outcome = yield self._append(records)
            else:
                is_sole = yield self._is_sole_writer()
                outcome = Outcome.DURABLE if is_sole else Outcome.LOST
            for entry in batch:
                entry.done(outcome)
        self._is_writing = False
        self._notify_idle()

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
            yield self._pause(RETRY_SECONDS)
        return False

    def _close_fenced(self) -> None:
        self.close()
        self._on_fenced()

    def _pause(self, seconds: float) -> "Deferred[None]":
        jitter = 0.5 + self._random.random()
        return self._recovery.pause(seconds * jitter)

    def _next_batch(self) -> list[Entry]:
        batch: list[Entry] = []
        size = 0
        while self._queue and size < BATCH_BYTES:
            entry = self._queue.popleft()
            BACKLOG.dec()
            size += len(entry.record)
            batch.append(entry)
        return batch

    @inlineCallbacks
    def _append(self, records: tuple[bytes, ...]) -> Generator[Any, Any, Outcome]:
        """Retry an append until its outcome is known; its sequence number stays."""
        if records:
            self._sequence += 1
        producer = Producer(self._topic, self._epoch, self._sequence)
        delay = RETRY_SECONDS
        recoveries = self._recovery.recovery_count
        began = self._clock.seconds()
        may_be_written = False
        while self.is_open:
            sent = self._service.append(self._topic, self._partition, records, producer)
            response: Result[Appended, LogProblem] = yield self._recovery.guard(sent)
            if not isinstance(response, Err):
                APPENDS.labels("done").inc()
                APPEND_SECONDS.observe(self._clock.seconds() - began)
                self.end = response.ok_value.end
                return Outcome.DURABLE
            fault = response.err_value.fault
            APPENDS.labels(fault.value).inc()
            may_be_written = may_be_written or fault is LogFault.UNKNOWN
            if fault in FENCING_FAULTS:
                self._close_fenced()
                break
            if self._recovery.recovery_count != recoveries:
                recoveries = self._recovery.recovery_count
                delay = RETRY_SECONDS
            yield self._pause(delay)
            delay = min(delay * RETRY_GROWTH_FACTOR, MAX_RETRY_SECONDS)
        return Outcome.LOST if may_be_written else Outcome.NOT_WRITTEN

    def close(self) -> None:
        """Stop writing; queued entries end with NOT_WRITTEN."""
        self.is_open = False
        waiting = tuple(self._queue)
        self._queue.clear()
        BACKLOG.dec(len(waiting))
        for entry in waiting:
            entry.done(Outcome.NOT_WRITTEN)
