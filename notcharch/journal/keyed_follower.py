"""Follows a keyed topic: a picture of all keys, then each change."""

from collections.abc import Callable, Generator
from random import Random
from typing import Any

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.process import DependencyLost, DependencyRegained, FollowingFailed
from notcharch.journal.growing_picture import GrowingPicture
from notcharch.journal.interface import (
    KeyedRecord,
    LogFault,
    LogProblem,
    LogService,
    NewestPage,
    Records,
)
from notcharch.journal.recovery_signal import RecoverySignal

RETRY_SECONDS = 0.1
"""Before the first repetition of a read that failed. Each failed call is priced, so the
times grow."""
LONGEST_RETRY_SECONDS = 0.8
"""Changes have to be known within some seconds of the end of an outage."""
RETRY_GROWTH = 1.6
"""Times the pause before: five repetitions until the longest."""


class PollTiming(msgspec.Struct, frozen=True):
    """How often a topic is asked for."""

    wait_seconds: float
    """So long the service may hold a read until there is a record."""
    pause_seconds: float
    """Between two reads."""
    page_pause_seconds: float = 0.0
    """Between two pages of a picture, on average; with 0 they are read at once.

    Where very many daemons start together, whole pictures of a large topic would take
    all that the service can give; the first page is enough to begin with.
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
        immediate_share: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Call `on_change` with all keys after each change.

        `on_confirmed` is called with an instant, clock seconds, at which the keys that were
        told last were certainly the newest. `immediate_share` gives the share of reads that
        are not held: what they prove is not as old as a held read takes.

        `recovery` ends waits early when the service is back: a read that was held, or
        lost, in an outage is repeated at once.
        """
        self._service = service
        self._clock = clock
        self._topic = topic
        self._timing = timing
        self._random = random
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._immediate_share = immediate_share
        self._recovery = recovery or RecoverySignal(clock)
        self._picture = GrowingPicture({})
        self._first_page_end = -1
        self._next_page_at = 0.0
        self._offset = -1
        """Where the next read begins; negative before a picture."""
        self._is_running = False
        self._retry_seconds = RETRY_SECONDS
        self._lost_at: float | None = None

    @property
    def position(self) -> int:
        """Give up to where the topic was read; negative before that."""
        return self._offset

    def start(self) -> None:
        """Begin to follow."""
        self._is_running = True
        self._follow().addErrback(self._failed)

    def _failed(self, failure: Failure) -> None:
        """Begin anew after a fault of this program: never stop following."""
        emit(FollowingFailed(self._topic, failure.getTraceback()))
        self._offset = -1
        self._clock.callLater(LONGEST_RETRY_SECONDS, self.start)

    def stop(self) -> None:
        """Stop after the read under way."""
        self._is_running = False

    @inlineCallbacks
    def _follow(self) -> Generator["Deferred[Any]", Any, None]:
        while self._is_running:
            problem = yield self._step()
            self._note(problem)
            if problem is None:
                self._retry_seconds = RETRY_SECONDS
                yield self._sleep(self._timing.pause_seconds)
            elif problem.fault is LogFault.GONE:
                self._offset = -1
            else:
                jitter = 0.5 + self._random.random()
                yield self._recovery.pause(self._retry_seconds * jitter)
                longer = self._retry_seconds * RETRY_GROWTH
                self._retry_seconds = min(longer, LONGEST_RETRY_SECONDS)

    def _note(self, problem: LogProblem | None) -> None:
        """Tell once that the topic can't be read, and once that it can again."""
        now = self._clock.seconds()
        if problem is None:
            if self._lost_at is not None:
                seconds = round(now - self._lost_at, 3)
                emit(DependencyRegained(self._topic, seconds))
            self._lost_at = None
        elif self._lost_at is None and problem.fault is not LogFault.GONE:
            self._lost_at = now
            emit(DependencyLost(self._topic, problem.fault.value))

    def _sleep(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._clock, seconds, lambda: None)

    @inlineCallbacks
    def _step(self) -> Generator["Deferred[Any]", Any, LogProblem | None]:
        problem: LogProblem | None
        if self._offset < 0:
            problem = yield self._begin_picture()
            return problem
        problem = yield self._take_changes()
        is_page_due = self._clock.seconds() >= self._next_page_at
        if problem is None and is_page_due and not self._picture.is_whole:
            problem = yield self._take_page()
            self._on_change(self._picture.values)
        return problem

    @inlineCallbacks
    def _begin_picture(self) -> Generator["Deferred[Any]", Any, LogProblem | None]:
        """Read all keys, or the first page if the others may come later.

        Changes meanwhile are read again after the first page's end.
        """
        self._picture = GrowingPicture(self._picture.values)
        self._first_page_end = -1
        asked_at = self._clock.seconds()
        while not self._picture.is_whole:
            problem: LogProblem | None = yield self._take_page()
            if problem is not None:
                return problem
            if self._timing.page_pause_seconds:
                break
        self._offset = self._first_page_end
        self._on_change(self._picture.values)
        if self._picture.is_whole:
            self._on_confirmed(asked_at)
        return None

    @inlineCallbacks
    def _take_page(self) -> Generator["Deferred[Any]", Any, LogProblem | None]:
        answer: Result[NewestPage, LogProblem] = yield self._service.newest(
            self._topic, 0, self._picture.after
        )
        if isinstance(answer, Err):
            return answer.err_value
        page = answer.ok_value
        self._picture.take_page(page)
        if self._first_page_end < 0:
            self._first_page_end = page.end
        pause = self._timing.page_pause_seconds * (0.5 + self._random.random())
        self._next_page_at = self._clock.seconds() + pause
        return None

    @inlineCallbacks
    def _take_changes(self) -> Generator["Deferred[Any]", Any, LogProblem | None]:
        # The first read after a fault isn't held: its answer shows that the topic is back.
        is_quick = self._lost_at is not None or (
            self._random.random() < self._immediate_share()
        )
        wait_seconds = 0.0 if is_quick else self._timing.wait_seconds
        asked_at = self._clock.seconds()
        reading = self._service.read(self._topic, 0, self._offset, wait_seconds)
        answer: Result[Records, LogProblem] = yield self._recovery.guard(reading)
        if isinstance(answer, Err):
            return answer.err_value
        found = answer.ok_value
        if found.records:
            self._picture.take_changes(
                KeyedRecord(*split_keyed(record), offset)
                for offset, record in enumerate(found.records, start=found.first)
            )
            self._offset = found.first + len(found.records)
            self._on_change(self._picture.values)
        if self._offset >= found.end and self._picture.is_whole:
            self._on_confirmed(asked_at)
        return None


def split_keyed(record: bytes) -> tuple[str, bytes]:
    """Give the key and the value of a keyed record (length of the key in a byte)."""
    end = 1 + record[0]
    return record[1:end].decode(), record[end:]


def join_keyed(key: str, value: bytes) -> bytes:
    """Give the record of a key and its value; no value drops the key."""
    name = key.encode()
    return bytes((len(name),)) + name + value
