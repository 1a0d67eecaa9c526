"""The pages of histories in the log service: written, read back, kept for a while.

A page is read at most once at a time, whoever asks. After a read failed, pages are
refused at once for `RETRY_SECONDS`: a call that cannot have its history is told when
to come back and does not wait for a log service that is down.
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
    """Pages by reference, through the log service."""

    def __init__(self, log: LogPort, clock: IReactorTime, region: RegionName) -> None:
        """Begin with an empty cache."""
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
        """Append records; the first offset, or None when it is not sure.

        An append whose answer was lost may have taken effect: the records then lie
        there for nothing, and the pages are written again.
        """
        appending = self._log.append(self._stream(partition), records)
        appending.addTimeout(APPEND_TIMEOUT_SECONDS, self._clock)
        try:
            appended = await appending
        except DeferredTimeoutError:
            return None
        return appended.ok_value if isinstance(appended, Ok) else None

    def cache(self, digest: bytes, plain: bytes) -> None:
        """Put a page's plain bytes into the cache."""
        self._cache.put(digest, plain)

    async def read(
        self, partition: PartitionNumber, program: ProgramId, page: PageReference
    ) -> bytes:
        """Give a page's plain bytes; ProblemError when it cannot be had now."""
        known = self._cache.get(page.digest)
        if known is not None:
            return known
        done: Deferred[PageResult] = Deferred()
        waiters = self._reading.get(page.digest)
        if waiters is not None:
            waiters.append(done)
        elif self._clock.seconds() < self._refuse_until:
            raise ProblemError(
                _history_unavailable("the log service failed just before")
            )
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
        result: PageResult = Err(_history_unavailable("reading it failed"))
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
            text = "the log service did not answer"
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
    """The pages read last, as plain bytes, up to a size."""

    def __init__(self, limit_bytes: int) -> None:
        """Begin empty."""
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._pages: OrderedDict[bytes, bytes] = OrderedDict()

    def get(self, digest: bytes) -> bytes | None:
        """Give a page and note that it was used."""
        plain = self._pages.get(digest)
        if plain is not None:
            self._pages.move_to_end(digest)
        return plain

    def put(self, digest: bytes, plain: bytes) -> None:
        """Keep a page, and drop those that were not used for longest."""
        if digest in self._pages:
            return
        self._pages[digest] = plain
        self._size_bytes += len(plain)
        while self._size_bytes > self._limit_bytes:
            _, dropped = self._pages.popitem(last=False)
            self._size_bytes -= len(dropped)


def _decode_record(found: LogPage, name: RecordId, page: PageReference) -> bytes:
    if not found.records or found.records[0].id != name:
        raise DamagedPageError("another record lies at its offset")
    return decode_page(found.records[0].data, page)


def _history_unavailable(reason: str) -> Problem:
    """Refuse at once: the history cannot be had now, and nothing was run for it."""
    text = f"a part of the history lies in the log service: {reason}"
    return Problem.of(ProblemCode.HISTORY_UNAVAILABLE, text, retry_after=RETRY_SECONDS)
