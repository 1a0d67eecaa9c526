"""Keeps the histories of the led partitions within their memory limit.

Turns are dropped only after the log service confirmed the append. Pages of an append
without a response are written again later.
"""

from collections.abc import Callable

from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.programs import HistoriesPagedOut, PageOutDelayed
from notcharch.programs.background import run_in_background
from notcharch.programs.commands import PageOut, PagesDropped
from notcharch.programs.led_programs import LedPrograms
from notcharch.programs.page_log import PageLog
from notcharch.programs.paging_plan import DraftedPage, plan_page_out
from notcharch.programs.record import ProgramRecord
from notcharch.values.identifiers import LogOffset, PartitionNumber

CHECK_INTERVAL_SECONDS = 5.0
"""Interval of size checks while the histories are within the limit."""

MAX_PARTITIONS_IN_FLIGHT = 8
DELAY_REPORT_INTERVAL_SECONDS = 60.0


class PagingService:
    """Pages out the histories of idle programs while the limit is exceeded."""

    def __init__(
        self,
        led: LedPrograms,
        pages: PageLog,
        now: Callable[[], float],
        limit_bytes: int,
    ) -> None:
        """Start with nothing in flight."""
        self._led = led
        self._pages = pages
        self._now = now
        self._limit_bytes = limit_bytes
        self._in_flight: set[PartitionNumber] = set()
        self._next_check = 0.0
        self._next_report = 0.0

    def step(self) -> None:
        """Check the size of the histories if due, and page out the excess."""
        now = self._now()
        if now < self._next_check:
            return
        self._next_check = now + CHECK_INTERVAL_SECONDS
        plan = plan_page_out(self._led.led_states(), self._limit_bytes)
        if plan.used_bytes > self._limit_bytes:
            self._next_check = now
        for partition, records in plan.programs.items():
            if len(self._in_flight) >= MAX_PARTITIONS_IN_FLIGHT:
                return
            if partition not in self._in_flight:
                self._in_flight.add(partition)
                run_in_background(self._page_out(partition, records, plan.used_bytes))

    async def _page_out(
        self,
        partition: PartitionNumber,
        records: list[ProgramRecord],
        used_bytes: int,
    ) -> None:
        try:
            drafts = [DraftedPage.of(record) for record in records]
            written = tuple(draft.log_record() for draft in drafts)
            offset = await self._pages.append(partition, written)
            if offset is None:
                self._report_delay(used_bytes)
            else:
                await self._drop(partition, drafts, offset)
        except ProblemError:
            # No longer led here or not committed; the leader plans again.
            return
        finally:
            self._in_flight.discard(partition)

    def _report_delay(self, used_bytes: int) -> None:
        now = self._now()
        self._next_check = now + CHECK_INTERVAL_SECONDS
        if now >= self._next_report:
            self._next_report = now + DELAY_REPORT_INTERVAL_SECONDS
            emit(PageOutDelayed(used_bytes, self._limit_bytes))

    async def _drop(
        self, partition: PartitionNumber, drafts: list[DraftedPage], first: LogOffset
    ) -> None:
        pages = tuple(
            draft.written_at(LogOffset(first + index))
            for index, draft in enumerate(drafts)
        )
        for draft in drafts:
            # Calls that are being admitted read the page from the cache.
            self._pages.cache(draft.digest, draft.draft.plain)
        result = await self._led.propose_to(partition, PageOut(self._now(), pages))
        if isinstance(result, PagesDropped):
            size = sum(len(draft.draft.plain) for draft in drafts)
            emit(HistoriesPagedOut(partition, result.count, size))
