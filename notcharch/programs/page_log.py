"""Writes and reads pages of histories through the log service, with a cache.

Concurrent reads of a page share one request. For `RETRY_SECONDS` after a failed read
reads of uncached pages are refused with a retry delay, without a request.
"""

from collections import OrderedDict

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import LogPage, LogPort, LogRecord
from notcharch.errors import Problem, ProblemCode
from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.programs import (
    PageDamaged,
    PagesReadable,
    PagesUnreadable,
)
from notcharch.programs.background import run_in_background
from notcharch.programs.pages import (
    DamagedPageError,
    PageReference,
    decode_page,
    page_record_id,
)
from notcharch.values.identifiers import (
    LogOffset,
    PartitionNumber,
    ProgramId,
    RecordId,
    RegionName,
)

READ_TIMEOUT_SECONDS = 2.0
APPEND_TIMEOUT_SECONDS = 10.0
RETRY_SECONDS = 2.0
CACHE_BYTES = 4 * 1024 * 1024

PageResult = Result[bytes, Problem]


class PageLog:
    """Reads and appends pages through the log service."""

    def __init__(self, log: LogPort, clock: IReactorTime, region: RegionName) -> None:
        """Start with an empty cache."""
        self._log = log
        self._clock = clock
        self._region = region
        self._cache = PageCache(CACHE_BYTES)
        self._reading: dict[bytes, list[Deferred[PageResult]]] = {}
        self._refuse_until = 0.0
        self._is_failing = False

    def _stream(self, partition: PartitionNumber) -> str:
        return f"history-{self._region}-{partition}"

    async def append(
        self, partition: PartitionNumber, records: tuple[LogRecord, ...]
    ) -> LogOffset | None:
        """Append records; return the first offset, or None if the outcome is unknown.

        An append without a response may have taken effect: its records then stay
        unused, and the pages are written again.
        """
        appending = self._log.append(self._stream(partition), records)
        appending.addTimeout(APPEND_TIMEOUT_SECONDS, self._clock)
        try:
            appended = await appending
        except DeferredTimeoutError:
            return None
        return appended.ok_value if isinstance(appended, Ok) else None

    def cache(self, digest: bytes, plain: bytes) -> None:
        """Add a page's uncompressed bytes to the cache."""
        self._cache.put(digest, plain)

    async def read(
        self, partition: PartitionNumber, program: ProgramId, page: PageReference
    ) -> bytes:
        """Return a page's uncompressed bytes; ProblemError if it is unavailable."""
        known = self._cache.get(page.digest)
        if known is not None:
            return known
        done: Deferred[PageResult] = Deferred()
        waiters = self._reading.get(page.digest)
        if waiters is not None:
            waiters.append(done)
        elif self._clock.seconds() < self._refuse_until:
            raise ProblemError(_history_unavailable("the log service failed recently"))
        else:
            self._reading[page.digest] = [done]
            run_in_background(self._read_for_all(partition, program, page))
        result = await done
        if isinstance(result, Err):
            raise ProblemError(result.err_value)
        return result.ok_value

    async def _read_for_all(
        self, partition: PartitionNumber, program: ProgramId, page: PageReference
    ) -> None:
        result: PageResult = Err(_history_unavailable("the read failed"))
        try:
            result = await self._read(partition, program, page)
        finally:
            for waiter in self._reading.pop(page.digest):
                waiter.callback(result)

    async def _read(
        self, partition: PartitionNumber, program: ProgramId, page: PageReference
    ) -> PageResult:
        found = await self._read_record(partition, page.offset)
        if isinstance(found, Err):
            self._note_failure(found.err_value)
            return Err(_history_unavailable(found.err_value.message))
        self._note_success()
        name = page_record_id(program, page.first_turn, page.digest)
        try:
            plain = _decode_record(found.ok_value, name, page)
        except DamagedPageError as error:
            emit(PageDamaged(partition, program, page.offset, str(error)))
            text = f"a page of the history of {program} is damaged"
            return Err(Problem.of(ProblemCode.INTERNAL, text))
        self.cache(page.digest, plain)
        return Ok(plain)

    async def _read_record(
        self, partition: PartitionNumber, offset: LogOffset
    ) -> Result[LogPage, Problem]:
        reading = self._log.read(self._stream(partition), offset, 1)
        reading.addTimeout(READ_TIMEOUT_SECONDS, self._clock)
        try:
            return await reading
        except DeferredTimeoutError:
            text = "the log service did not respond in time"
            return Err(Problem.of(ProblemCode.TIMED_OUT, text))

    def _note_failure(self, problem: Problem) -> None:
        self._refuse_until = self._clock.seconds() + RETRY_SECONDS
        if not self._is_failing:
            self._is_failing = True
            emit(PagesUnreadable(problem.message))

    def _note_success(self) -> None:
        self._refuse_until = 0.0
        if self._is_failing:
            self._is_failing = False
            emit(PagesReadable())


class PageCache:
    """LRU cache of uncompressed pages, limited by size."""

    def __init__(self, limit_bytes: int) -> None:
        """Start empty."""
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._pages: OrderedDict[bytes, bytes] = OrderedDict()

    def get(self, digest: bytes) -> bytes | None:
        """Return a page and mark it as most recently used."""
        plain = self._pages.get(digest)
        if plain is not None:
            self._pages.move_to_end(digest)
        return plain

    def put(self, digest: bytes, plain: bytes) -> None:
        """Add a page and evict the least recently used ones."""
        if digest in self._pages:
            return
        self._pages[digest] = plain
        self._size_bytes += len(plain)
        while self._size_bytes > self._limit_bytes:
            _, dropped = self._pages.popitem(last=False)
            self._size_bytes -= len(dropped)


def _decode_record(found: LogPage, name: RecordId, page: PageReference) -> bytes:
    if not found.records or found.records[0].id != name:
        raise DamagedPageError("its offset has another record")
    return decode_page(found.records[0].data, page)


def _history_unavailable(reason: str) -> Problem:
    """Return the problem of a call whose history is unavailable."""
    text = f"a part of the history is in the log service: {reason}"
    return Problem.of(ProblemCode.HISTORY_UNAVAILABLE, text, retry_after=RETRY_SECONDS)
