"""Follows a keyed topic: reads a snapshot of all keys, then each change."""

from collections.abc import Callable, Generator
from random import Random
from typing import Any

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.feed_faults import FeedFaults
from notcharch.events.process import DependencyLost, DependencyRegained, FollowingFailed
from notcharch.journal.interface import (
    KeyedRecord,
    LogFault,
    LogProblem,
    LogService,
    NewestPage,
    Records,
)
from notcharch.journal.paged_snapshot import PagedSnapshot
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.values.decoding import DECODING_ERRORS

RETRY_SECONDS = 0.1
"""Delay before the first retry of a failed read."""
MAX_RETRY_SECONDS = 0.8
"""Bounds how late changes are read after an outage."""
RETRY_GROWTH_FACTOR = 1.6
HANDLING = "handling"
"""Names the handling of all values among the parts of the topic."""
FOLLOWING = "following"
"""Names everything else that a program does to follow the topic."""


class PollTiming(msgspec.Struct, frozen=True):
    """How often and how long a topic is polled."""

    wait_seconds: float
    """How long the service may delay a read until there is a record (long polling)."""
    pause_seconds: float
    """Pause between two reads."""
    page_pause_seconds: float = 0.0
    """Mean pause between two pages of a snapshot; 0 reads all pages at once.

    When many daemons start together, reading a large topic at once would overload the
    service; the first page is enough to start with.
    """


class KeyedFollower:
    """Keeps the newest value of each key of a keyed topic."""

    def __init__(
        self,
        service: LogService,
        clock: IReactorTime,
        random: Random,
        topic: str,
        *,
        timing: PollTiming,
        on_change: Callable[[dict[str, bytes]], None],
        recovery: RecoverySignal | None = None,
        on_confirmed: Callable[[float], None] = lambda _: None,
        on_snapshot: Callable[[], None] = lambda: None,
        immediate_share: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Call `on_change` with all keys after each change.

        `on_snapshot` is called before a snapshot is read, which shows no key that came and
        went since the last read. `on_confirmed` is called with a time, in clock seconds, at
        which the reported keys were up to date. `immediate_share` returns the share of reads
        without long polling, which confirm a more recent time than a delayed read.

        `recovery` ends waits when the service is available again: a read that was
        delayed or lost in an outage is repeated immediately.
        """
        self._service = service
        self._clock = clock
        self._topic = topic
        self._timing = timing
        self._random = random
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._on_snapshot = on_snapshot
        self._immediate_share = immediate_share
        self._recovery = recovery or RecoverySignal(clock)
        self._snapshot = PagedSnapshot({})
        self._first_page_end = -1
        self._next_page_at = 0.0
        self._offset = -1
        """Offset of the next read; negative before the first snapshot."""
        self._is_running = False
        self._retry_seconds = RETRY_SECONDS
        self._unavailable_since: float | None = None
        self._faults = FeedFaults(topic)
        self._is_report_due = False
        """Whether the last change could not be handled."""

    @property
    def position(self) -> int:
        """Return the end of what was read; negative before the first snapshot."""
        return self._offset

    def start(self) -> None:
        """Start following the topic."""
        self._is_running = True
        self._follow().addErrback(self._on_failure)

    def _on_failure(self, failure: Failure) -> None:
        """Start again with a new snapshot after an unexpected exception."""
        traceback = failure.getTraceback()
        if self._faults.is_new(FOLLOWING, traceback):
            emit(FollowingFailed(self._topic, traceback))
        self._offset = -1
        self._clock.callLater(MAX_RETRY_SECONDS, self.start)

    @inlineCallbacks
    def confirm(self) -> Generator["Deferred[Any]", Any, None]:
        """Read once without long polling, and report if all keys are up to date.

        A long poll confirms only the time at which it was sent, some seconds ago. Changes
        are left to the poll in flight.
        """
        offset, requested_at = self._offset, self._clock.seconds()
        if offset < 0 or not self._snapshot.is_complete:
            return
        response: Result[Records, LogProblem] = yield self._service.read(
            self._topic, 0, offset, 0.0
        )
        is_current = isinstance(response, Ok) and response.ok_value.end <= offset
        is_current = is_current and not self._is_report_due
        if is_current and self._offset == offset:
            self._on_confirmed(requested_at)

    def stop(self) -> None:
        """Stop after the read in flight."""
        self._is_running = False

    @inlineCallbacks
    def _follow(self) -> Generator["Deferred[Any]", Any, None]:
        while self._is_running:
            problem = yield self._step()
            self._report_availability(problem)
            if problem is None:
                self._retry_seconds = RETRY_SECONDS
                yield self._sleep(self._timing.pause_seconds)
            elif problem.fault is LogFault.GONE:
                self._offset = -1
            else:
                if problem.fault is LogFault.UNREADABLE:
                    self._offset = -1  # a snapshot shows what is behind the record
                jitter = 0.5 + self._random.random()
                yield self._recovery.pause(self._retry_seconds * jitter)
                next_retry = self._retry_seconds * RETRY_GROWTH_FACTOR
                self._retry_seconds = min(next_retry, MAX_RETRY_SECONDS)

    def _report_availability(self, problem: LogProblem | None) -> None:
        """Log once that the topic can't be read, and once that it can again."""
        now = self._clock.seconds()
        if problem is None:
            if self._unavailable_since is not None:
                seconds = round(now - self._unavailable_since, 3)
                emit(DependencyRegained(self._topic, seconds))
            self._unavailable_since = None
        elif self._unavailable_since is None and problem.fault is not LogFault.GONE:
            self._unavailable_since = now
            emit(DependencyLost(self._topic, problem.fault.value))

    def _sleep(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._clock, seconds, lambda: None)

    @inlineCallbacks
    def _step(self) -> Generator["Deferred[Any]", Any, LogProblem | None]:
        problem: LogProblem | None
        if self._offset < 0:
            problem = yield self._begin_snapshot()
            return problem
        problem = yield self._read_changes()
        is_page_due = self._clock.seconds() >= self._next_page_at
        if problem is None and is_page_due and not self._snapshot.is_complete:
            problem = yield self._read_page()
            self._report_change()
        elif problem is None and self._is_report_due:
            self._report_change()
        return problem

    def _report_change(self) -> None:
        """Report all values; those that could not be handled are reported again."""
        values = self._snapshot.values
        self._is_report_due = not self._faults.isolate(
            HANDLING, lambda: self._on_change(values)
        )

    @inlineCallbacks
    def _begin_snapshot(self) -> Generator["Deferred[Any]", Any, LogProblem | None]:
        """Read all pages, or only the first one if pages are spread over time.

        Changes are then read from the end offset of the first page.
        """
        self._on_snapshot()
        self._snapshot = PagedSnapshot(self._snapshot.values)
        self._first_page_end = -1
        requested_at = self._clock.seconds()
        while not self._snapshot.is_complete:
            problem: LogProblem | None = yield self._read_page()
            if problem is not None:
                return problem
            if self._timing.page_pause_seconds:
                break
        self._offset = self._first_page_end
        self._report_change()
        if self._snapshot.is_complete and not self._is_report_due:
            self._on_confirmed(requested_at)
        return None

    @inlineCallbacks
    def _read_page(self) -> Generator["Deferred[Any]", Any, LogProblem | None]:
        response: Result[NewestPage, LogProblem] = yield self._service.newest(
            self._topic, 0, self._snapshot.after
        )
        if isinstance(response, Err):
            return response.err_value
        page = response.ok_value
        self._snapshot.add_page(page)
        if self._first_page_end < 0:
            self._first_page_end = page.end
        pause = self._timing.page_pause_seconds * (0.5 + self._random.random())
        self._next_page_at = self._clock.seconds() + pause
        return None

    @inlineCallbacks
    def _read_changes(self) -> Generator["Deferred[Any]", Any, LogProblem | None]:
        # The first read after a fault returns at once, to detect the recovery early.
        is_immediate = self._unavailable_since is not None or (
            self._random.random() < self._immediate_share()
        )
        wait_seconds = 0.0 if is_immediate else self._timing.wait_seconds
        requested_at = self._clock.seconds()
        reading = self._service.read(self._topic, 0, self._offset, wait_seconds)
        response: Result[Records, LogProblem] = yield self._recovery.guard(reading)
        if isinstance(response, Err):
            return response.err_value
        found = response.ok_value
        if found.records:
            self._snapshot.apply_changes(self._readable(found))
            self._offset = found.first + len(found.records)
            self._report_change()
        is_current = self._offset >= found.end and self._snapshot.is_complete
        if is_current and not self._is_report_due:
            self._on_confirmed(requested_at)
        return None

    def _readable(self, found: Records) -> list[KeyedRecord]:
        """Return the records whose keys can be read; the others are skipped."""
        readable: list[KeyedRecord] = []
        for offset, record in enumerate(found.records, start=found.first):
            try:
                readable.append(KeyedRecord(*split_keyed(record), offset))
            except DECODING_ERRORS as error:
                self._faults.report(f"offset {offset}", f"{error}")
        return readable


def split_keyed(record: bytes) -> tuple[str, bytes]:
    """Split a keyed record: one byte with the key's length, the key, the value.

    Raises `ValueError` for a record that is cut, or a key that is no UTF-8.
    """
    end = 1 + record[0] if record else 1
    if end > len(record):
        message = "the key was cut"
        raise ValueError(message)
    return record[1:end].decode(), record[end:]


def join_keyed(key: str, value: bytes) -> bytes:
    """Encode a keyed record; an empty value removes the key."""
    name = key.encode()
    return bytes((len(name),)) + name + value
