"""Reads histories at the leader, from memory and from the log service.

A read takes place once all pages it needs are fetched. Turns that are paged out in
the meantime are fetched as well.
"""

import msgspec
from twisted.internet.defer import Deferred, FirstError, gatherResults

from notcharch.errors import Ran
from notcharch.errors.problem import ProblemError
from notcharch.programs.led_programs import LedPrograms
from notcharch.programs.page_log import PageLog
from notcharch.programs.pages import PageReference
from notcharch.programs.record import ProgramRecord
from notcharch.programs.turns import Turn
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import CallSequence


class HistoryReader:
    """Reads messages and turns; raises ProblemError if a page is unavailable."""

    def __init__(self, led: LedPrograms, pages: PageLog) -> None:
        """Read paged-out turns through `pages`."""
        self._led = led
        self._pages = pages

    async def fetch_all(self, record: ProgramRecord) -> dict[bytes, bytes]:
        """Fetch all pages of a history, by digest, for `messages`."""
        fetched: dict[bytes, bytes] = {}
        await self._fetch(record, record.history.pages, fetched, record.ran_so_far)
        return fetched

    async def messages(
        self,
        record: ProgramRecord,
        start: int,
        limit: int,
        fetched: dict[bytes, bytes] | None = None,
    ) -> tuple[ChatMessage, ...]:
        """Return up to `limit` messages from message `start` (0-based).

        `fetched` has the pages that were fetched before, by digest.
        """
        fetched = {} if fetched is None else fetched
        while True:
            needed = record.history.pages_of_messages(start, limit)
            if all(page.digest in fetched for page in needed):
                return record.history.messages(start, limit, fetched)
            await self._fetch(record, needed, fetched, record.ran_so_far)

    async def turn(self, record: ProgramRecord, sequence: CallSequence) -> Turn:
        """Return the turn of a finished call; a refusal has the `ran` of the call."""
        fetched: dict[bytes, bytes] = {}
        while True:
            page = record.history.page_of_turn(sequence)
            if page is None or page.digest in fetched:
                return record.history.turn(sequence, fetched)
            problem = record.history.stub(sequence).problem
            ran = Ran.YES if problem is None else problem.ran
            await self._fetch(record, (page,), fetched, ran)

    async def _fetch(
        self,
        record: ProgramRecord,
        pages: tuple[PageReference, ...],
        fetched: dict[bytes, bytes],
        ran: Ran,
    ) -> None:
        """Read the pages missing from `fetched` concurrently, and add them."""
        missing = [page for page in pages if page.digest not in fetched]
        reads = [Deferred.fromCoroutine(self._read(record, page)) for page in missing]
        try:
            found = await gatherResults(reads, consumeErrors=True)
        except FirstError as error:
            raise _refusal(error, ran) from error
        fetched.update(
            (page.digest, plain) for page, plain in zip(missing, found, strict=True)
        )

    async def _read(self, record: ProgramRecord, page: PageReference) -> bytes:
        partition = self._led.partition_of(record.program)
        return await self._pages.read(partition, record.program, page)


def _refusal(error: FirstError, ran: Ran) -> BaseException:
    """Return the error with `ran` set for the call that needs the page."""
    cause = error.subFailure.value
    if not isinstance(cause, ProblemError):
        return error
    return ProblemError(msgspec.structs.replace(cause.problem, ran=ran))
