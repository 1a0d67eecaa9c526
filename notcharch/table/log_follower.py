"""Reads the log's stream `table` for a replica, from the last checkpoint on.

At startup it searches growing ranges before the end of the stream for the newest
checkpoint, and replays the records after it. No version comes into force until the
replay reaches the end that the stream had at startup, so a restarted daemon does not
expose old versions. It then follows the stream by long polling. Failed reads are retried with exponential backoff and
jitter; the version in force stays.
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
LONG_POLL_SECONDS = 10.0
"""How long the log delays its response if there are no new records."""

READ_TIMEOUT_SECONDS = 10.0
"""Timeout of a read, in addition to the long poll delay."""

CHECKPOINT_RECORDS = 512
"""Number of records after which a publisher writes a checkpoint."""

SEARCH_RECORDS = 2 * CHECKPOINT_RECORDS
"""Initial distance from the end to search for a checkpoint; doubled if none is found."""

MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 4.0


class RecordConsumer(Protocol):
    """The replica that receives the records."""

    @property
    def state(self) -> ReplayState:
        """The state after the replayed records."""

    def apply_records(
        self, records: tuple[StoredRecord, ...], *, put_in_force: bool
    ) -> None:
        """Replay records in log order."""

    def install_state(self, state: ReplayState, source: TableSource) -> None:
        """Install a later state."""


class LogFollower:
    """Reads the stream for one replica."""

    def __init__(
        self,
        clock: IReactorTime,
        log: LogPort,
        random: Random,
        consumer: RecordConsumer,
    ) -> None:
        """Initialize; reading begins with `start`."""
        self._clock = clock
        self._log = log
        self._random = random
        self._consumer = consumer
        self._running: Deferred[None] | None = None
        self._retry_seconds = 0.0
        self._catch_up_offset: LogOffset | None = None
        self._caught_up_at: float | None = None

    @property
    def age_seconds(self) -> float | None:
        """Seconds since the stream was last read to its end; None if never."""
        if self._caught_up_at is None:
            return None
        return self._clock.seconds() - self._caught_up_at

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._retry_seconds > 0

    def start(self) -> None:
        """Start following the stream."""
        if self._running is None:
            self._running = Deferred.fromCoroutine(self._run())
            self._running.addErrback(report_failure)

    def stop(self) -> None:
        """Stop, and cancel a read in flight."""
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
        """Read and apply one page; return False on failure."""
        wait_seconds = LONG_POLL_SECONDS if self._is_caught_up() else 0.0
        next_offset = self._consumer.state.next_offset
        read = await self._read(next_offset, wait_seconds, PAGE_RECORDS)
        try:
            return isinstance(read, Ok) and self._apply_page(read.ok_value)
        except Exception:
            # An error in replaying a page must not stop the follower.
            eliot.write_traceback()
            return False

    async def _start_from_checkpoint(self) -> bool:
        """Install the newest checkpoint, if any; return False if the log is unreadable."""
        read = await self._read(LogOffset(0), 0.0, 1)
        if isinstance(read, Err):
            return False
        end = read.ok_value.end_offset
        self._catch_up_offset = end
        distance = SEARCH_RECORDS
        while end - distance > self._consumer.state.next_offset:
            found = await self._newest_checkpoint(LogOffset(end - distance), end)
            if isinstance(found, Err):
                return False
            if found.ok_value is not None:
                self._consumer.install_state(found.ok_value, TableSource.LOG)
                return True
            distance *= 2
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
        return end is None or self._consumer.state.next_offset >= end

    def _apply_page(self, page: LogPage) -> bool:
        """Apply a page; return False if the stream ends before the replayed offset."""
        next_offset = self._consumer.state.next_offset
        if page.end_offset < next_offset:
            emit(TableLogWentBack(next_offset, page.end_offset))
            return False
        self._retry_seconds = 0.0
        first_unread = page.next_offset
        catch_up_target = min(self._catch_up_offset or page.end_offset, page.end_offset)
        put_in_force = self._catch_up_offset is None or first_unread >= catch_up_target
        self._consumer.apply_records(page.records, put_in_force=put_in_force)
        if put_in_force:
            self._catch_up_offset = None
        if self._consumer.state.next_offset >= page.end_offset:
            self._caught_up_at = self._clock.seconds()
        return bool(page.records) or first_unread >= page.end_offset

    async def _read(
        self, offset: LogOffset, wait_seconds: float, limit: int
    ) -> Result[LogPage, Problem]:
        reading = self._log.read(STREAM, offset, limit, wait_seconds)
        reading.addTimeout(wait_seconds + READ_TIMEOUT_SECONDS, self._clock)
        try:
            result = await reading
        except DeferredTimeoutError:
            problem = Problem.of(
                ProblemCode.TIMED_OUT,
                "the log did not respond in time",
                ran=Ran.UNKNOWN,
            )
            result = Err(problem)
        if isinstance(result, Err) and not self._retry_seconds:
            emit(TableLogUnreadable(offset, result.err_value.code))
        return result

    async def _wait_to_retry(self) -> None:
        next_seconds = max(MIN_RETRY_SECONDS, 2 * self._retry_seconds)
        self._retry_seconds = min(MAX_RETRY_SECONDS, next_seconds)
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
        emit(
            TableContentRefused(
                f"checkpoint {record.offset}", "covers offsets after its own record"
            )
        )
        return None
    return state.ok_value


def report_failure(failure: Failure) -> None:
    """Log the failure of a background task, unless it was cancelled."""
    if not failure.check(CancelledError):
        eliot.write_failure(failure)
