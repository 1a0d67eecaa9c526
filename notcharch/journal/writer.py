"""Appends to one partition under an epoch: in batches, in order, each once."""

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
"""In one append: an eighth of what the platform takes in a call."""
RETRY_SECONDS = 0.05
"""Before the first repetition of an append: calls wait for it."""
LONGEST_RETRY_SECONDS = 0.6
"""Heartbeats find out sooner that the service is back and end the pause."""
RETRY_GROWTH = 2.0
"""Times the pause before: four repetitions until the longest."""
LOST_FAULTS = (LogFault.FENCED, LogFault.OUT_OF_ORDER, LogFault.MOVED_ON)
"""After these, somebody else writes the partition."""


class Outcome(Enum):
    """What became of an entry."""

    DURABLE = "durable"
    LOST = "lost"
    """The partition is not ours any more; the entry may or may not be kept."""
    NOT_WRITTEN = "not written"
    """The partition is not ours any more; the entry certainly isn't kept."""


class Entry(msgspec.Struct, frozen=True):
    """A record, and who hears that it is durable."""

    record: bytes
    """Nothing asks whether this is still the only writer."""
    done: Callable[[Outcome], None]


class PartitionWriter:
    """The one writer of a partition, until a higher epoch fences it."""

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

        `recovery` ends waits early when the service is back.
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
        """The end of the partition as of our last append."""

    @inlineCallbacks
    def claim(self) -> Generator["Deferred[Any]", Any, bool]:
        """Fence former writers; False if a higher epoch was there first."""
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
        """Find out whether this is still the newest writer."""
        done: Deferred[Outcome] = Deferred()
        self.write(b"", done.callback)
        return done

    @inlineCallbacks
    def _write(self) -> Generator["Deferred[Any]", Any, None]:
        """Write what waits, one batch after another."""
        self._is_writing = True
        while self._queue and self.is_open:
            batch = self._next_batch()
            records = tuple(entry.record for entry in batch if entry.record)
            if records:
                outcome = yield self._append(records)
            else:
                is_alone = yield self._is_alone()
                outcome = Outcome.DURABLE if is_alone else Outcome.LOST
            for entry in batch:
                entry.done(outcome)
        self._is_writing = False
        self._tell_idle()

    def when_idle(self) -> "Deferred[None]":
        """Give a Deferred that fires when nothing waits to be written."""
        waiting: Deferred[None] = Deferred()
        self._idle_waiters.append(waiting)
        if not self._is_writing:
            self._tell_idle()
        return waiting

    def _tell_idle(self) -> None:
        waiters, self._idle_waiters = self._idle_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    @inlineCallbacks
    def _is_alone(self) -> Generator[Any, Any, bool]:
        """Read on from our own end: a record there is another writer's.

        An append of nothing would not do: it doesn't count in the sequence.
        """
        while self.is_open:
            answer: Result[Records, LogProblem] = yield self._service.read(
                self._topic, self._partition, self.end
            )
            if not isinstance(answer, Err):
                if answer.ok_value.end <= self.end:
                    return True
                self._give_up()
                return False
            yield self._pause(RETRY_SECONDS)
        return False

    def _give_up(self) -> None:
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
        """Append until there is an answer: one sequence number is written once."""
        if records:
            self._sequence += 1
        producer = Producer(self._topic, self._epoch, self._sequence)
        delay = RETRY_SECONDS
        recoveries = self._recovery.count
        began = self._clock.seconds()
        may_be_written = False
        while self.is_open:
            sent = self._service.append(self._topic, self._partition, records, producer)
            answer: Result[Appended, LogProblem] = yield self._recovery.guard(sent)
            if not isinstance(answer, Err):
                APPENDS.labels("done").inc()
                APPEND_SECONDS.observe(self._clock.seconds() - began)
                self.end = answer.ok_value.end
                return Outcome.DURABLE
            fault = answer.err_value.fault
            APPENDS.labels(fault.value).inc()
            may_be_written = may_be_written or fault is LogFault.UNKNOWN
            if fault in LOST_FAULTS:
                self._give_up()
                break
            if self._recovery.count != recoveries:
                recoveries = self._recovery.count
                delay = RETRY_SECONDS
            yield self._pause(delay)
            delay = min(delay * RETRY_GROWTH, LONGEST_RETRY_SECONDS)
        return Outcome.LOST if may_be_written else Outcome.NOT_WRITTEN

    def close(self) -> None:
        """Write no more; whoever waits hears that the partition is lost."""
        self.is_open = False
        waiting = tuple(self._queue)
        self._queue.clear()
        BACKLOG.dec(len(waiting))
        for entry in waiting:
            entry.done(Outcome.NOT_WRITTEN)
