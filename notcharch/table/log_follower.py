"""Reads the log's stream `table` for a replica, from the last checkpoint on.

At the start it looks for the newest checkpoint near the end of the stream and
replays from there; nothing of that is put in force before the end of the stream as
it was at the start, so a restarted daemon does not go through old versions. Then it
follows by long polls. When the log is down or slow it waits longer and longer,
with a random part, and the version in force stays.
"""

from random import Random
from typing import Protocol

import eliot
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from notcharch.clients.ports import LogPage, LogPort, StoredRecord
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.events.event import emit
from notcharch.events.table import (
    TableContentRefused,
    TableLogUnreadable,
    TableLogWentBack,
)
from notcharch.table.interface import TableSource
from notcharch.table.publication import STREAM, Checkpoint, decode_record
from notcharch.table.replay import ReplayState, decode_state
from notcharch.values.identifiers import LogOffset

PAGE_RECORDS = 256
POLL_SECONDS = 10.0
"""How long the log holds a poll when there is nothing new."""

READ_SECONDS = 10.0
"""Limit of a read beyond the time that the log may hold it."""

CHECKPOINT_RECORDS = 512
"""Records after which a publisher writes a checkpoint."""

SEARCH_RECORDS = 2 * CHECKPOINT_RECORDS
"""How far before the end the search for a checkpoint begins; it then doubles."""

FIRST_RETRY_SECONDS = 0.25
LAST_RETRY_SECONDS = 4.0


class RecordTaker(Protocol):
    """The replica that a follower feeds."""

    @property
    def state(self) -> ReplayState:
        """The judged state."""

    def take_records(
        self, records: tuple[StoredRecord, ...], *, put_in_force: bool
    ) -> None:
        """Judge records in their order."""

    def take_state(self, state: ReplayState, source: TableSource) -> None:
        """Take over a later state."""


class LogFollower:
    """One replica's reading of the stream."""

    def __init__(
        self, clock: IReactorTime, log: LogPort, random: Random, taker: RecordTaker
    ) -> None:
        """Take what it reads from and whom it feeds; nothing runs before `start`."""
        self._clock = clock
        self._log = log
        self._random = random
        self._taker = taker
        self._running: Deferred[None] | None = None
        self._retry_seconds = 0.0
        self._catch_up_offset: LogOffset | None = None
        self._read_at: float | None = None

    @property
    def age_seconds(self) -> float | None:
        """How long ago the stream was last read to its end; None if never."""
        if self._read_at is None:
            return None
        return self._clock.seconds() - self._read_at

    @property
    def is_failing(self) -> bool:
        """Tell whether the last read failed."""
        return self._retry_seconds > 0

    def start(self) -> None:
        """Begin to follow."""
        if self._running is None:
            self._running = Deferred.fromCoroutine(self._run())
            self._running.addErrback(report_failure)

    def stop(self) -> None:
        """Stop; a read under way is cancelled."""
        if self._running is not None:
            self._running.cancel()
            self._running = None

    async def _run(self) -> None:
        while not await self._start_from_checkpoint():
            await self._wait_to_retry()
        while True:
            if not await self._follow():
                await self._wait_to_retry()

    async def _follow(self) -> bool:
        """Read and feed one page; False when that failed."""
        wait_seconds = POLL_SECONDS if self._is_caught_up() else 0.0
        next_offset = self._taker.state.next_offset
        read = await self._read(next_offset, wait_seconds, PAGE_RECORDS)
        try:
            return isinstance(read, Ok) and self._take_page(read.ok_value)
        except Exception:
            # A fault in judging a page must not end the following for good.
            eliot.write_traceback()
            return False

    async def _start_from_checkpoint(self) -> bool:
        """Take the newest checkpoint, if any; False when the log cannot be read."""
        read = await self._read(LogOffset(0), 0.0, 1)
        if isinstance(read, Err):
            return False
        end = read.ok_value.end_offset
        self._catch_up_offset = end
        reach = SEARCH_RECORDS
        while end - reach > self._taker.state.next_offset:
            found = await self._newest_checkpoint(LogOffset(end - reach), end)
            if isinstance(found, Err):
                return False
            if found.ok_value is not None:
                self._taker.take_state(found.ok_value, TableSource.LOG)
                return True
            reach *= 2
        return True

    async def _newest_checkpoint(
        self, start: LogOffset, end: LogOffset
    ) -> Result[ReplayState | None, Problem]:
        newest: ReplayState | None = None
        offset = start
        while offset < end:
            read = await self._read(offset, 0.0, PAGE_RECORDS)
            if isinstance(read, Err):
                return read
            page = read.ok_value
            if page.next_offset <= offset:
                break
            for record in page.records:
                newest = _state_of_checkpoint(record) or newest
            offset = page.next_offset
        return Ok(newest)

    def _is_caught_up(self) -> bool:
        end = self._catch_up_offset
        return end is None or self._taker.state.next_offset >= end

    def _take_page(self, page: LogPage) -> bool:
        """Feed a page; False when the stream ends before what was applied."""
        next_offset = self._taker.state.next_offset
        if page.end_offset < next_offset:
            emit(TableLogWentBack(next_offset, page.end_offset))
            return False
        self._retry_seconds = 0.0
        first_unread = page.next_offset
        gate = min(self._catch_up_offset or page.end_offset, page.end_offset)
        put_in_force = self._catch_up_offset is None or first_unread >= gate
        self._taker.take_records(page.records, put_in_force=put_in_force)
        if put_in_force:
            self._catch_up_offset = None
        if self._taker.state.next_offset >= page.end_offset:
            self._read_at = self._clock.seconds()
        return bool(page.records) or first_unread >= page.end_offset

    async def _read(
        self, offset: LogOffset, wait_seconds: float, limit: int
    ) -> Result[LogPage, Problem]:
        reading = self._log.read(STREAM, offset, limit, wait_seconds)
        reading.addTimeout(wait_seconds + READ_SECONDS, self._clock)
        try:
            result = await reading
        except DeferredTimeoutError:
            problem = Problem.of(
                ProblemCode.TIMED_OUT, "the log did not answer", ran=Ran.UNKNOWN
            )
            result = Err(problem)
        if isinstance(result, Err) and not self._retry_seconds:
            emit(TableLogUnreadable(offset, result.err_value.code))
        return result

    async def _wait_to_retry(self) -> None:
        longest = max(FIRST_RETRY_SECONDS, 2 * self._retry_seconds)
        self._retry_seconds = min(LAST_RETRY_SECONDS, longest)
        delay = self._retry_seconds * (0.5 + self._random.random() / 2)
        await deferLater(self._clock, delay)


def _state_of_checkpoint(record: StoredRecord) -> ReplayState | None:
    decoded = decode_record(record.data)
    if isinstance(decoded, Err) or not isinstance(decoded.ok_value, Checkpoint):
        return None
    state = decode_state(decoded.ok_value.state)
    if isinstance(state, Err):
        emit(TableContentRefused(f"checkpoint {record.offset}", state.err_value))
        return None
    if state.ok_value.next_offset > record.offset:
        emit(TableContentRefused(f"checkpoint {record.offset}", "is from the future"))
        return None
    return state.ok_value


def report_failure(failure: Failure) -> None:
    """Log the failure of a background task, unless it was cancelled."""
    if not failure.check(CancelledError):
        eliot.write_failure(failure)
