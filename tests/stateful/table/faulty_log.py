"""An in-memory log with fault injection and one port per daemon."""

import enum

import attrs
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import LogPage, LogRecord, StoredRecord
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.values.identifiers import LogOffset


class AppendFault(enum.Enum):
    """The fault of the next append through a port."""

    REFUSED = "refused"
    ACKNOWLEDGEMENT_LOST = "acknowledgement lost"
    LATE = "acknowledgement lost, effect delayed"
    NEVER = "acknowledgement lost, no effect"
    TWICE = "appended twice"


LATE_SECONDS = 7.0
RESPONSE_DELAY_SECONDS = 0.002


@attrs.define(eq=False)
class _Reader:
    offset: LogOffset
    limit: int
    response: "Deferred[Result[LogPage, Problem]]"


class LogStore:
    """The stream shared by all ports."""

    def __init__(self, clock: IReactorTime) -> None:
        self.clock = clock
        self.records: list[StoredRecord] = []
        self._readers: list[_Reader] = []

    def append(self, records: tuple[LogRecord, ...]) -> LogOffset:
        first = LogOffset(len(self.records))
        for record in records:
            offset = LogOffset(len(self.records))
            self.records.append(StoredRecord(offset, record.id, record.data))
        readers, self._readers = self._readers, []
        for reader in readers:
            if not reader.response.called:
                reader.response.callback(Ok(self.page(reader.offset, reader.limit)))
        return first

    def page(self, offset: LogOffset, limit: int) -> LogPage:
        found = tuple(self.records[offset : offset + limit])
        end = LogOffset(len(self.records))
        return LogPage(found, LogOffset(offset + len(found)), end)

    def read(
        self, offset: LogOffset, limit: int, wait_seconds: float
    ) -> "Deferred[Result[LogPage, Problem]]":
        page = self.page(offset, limit)
        if page.records or wait_seconds <= 0:
            return succeed(Ok(page))
        reader = _Reader(offset, limit, Deferred())
        self._readers.append(reader)
        self.clock.callLater(wait_seconds, self._on_poll_timeout, reader)
        return reader.response

    def _on_poll_timeout(self, reader: _Reader) -> None:
        if reader in self._readers:
            self._readers.remove(reader)
            reader.response.callback(Ok(self.page(reader.offset, reader.limit)))


class FaultyLogPort:
    """One daemon's `LogPort`, with faults set by the tests.

    A port that is down refuses requests immediately; a silent port never responds.
    """

    def __init__(self, store: LogStore, clock: IReactorTime) -> None:
        self.store = store
        self.clock = clock
        self.is_down = False
        self.is_silent = False
        self.append_faults: list[AppendFault] = []

    def append(
        self, stream: str, records: tuple[LogRecord, ...]
    ) -> "Deferred[Result[LogOffset, Problem]]":
        assert stream == "table"
        if self.is_silent:
            return Deferred()
        fault = self.append_faults.pop(0) if self.append_faults else None
        if self.is_down or fault is AppendFault.REFUSED:
            return self._later(Err(_problem(Ran.NO)))
        if fault is AppendFault.LATE:
            self.store.clock.callLater(LATE_SECONDS, self.store.append, records)
        elif fault is not AppendFault.NEVER:
            first = self.store.append(records)
        if fault is AppendFault.TWICE:
            self.store.append(records)
        if fault in (
            AppendFault.LATE,
            AppendFault.NEVER,
            AppendFault.ACKNOWLEDGEMENT_LOST,
        ):
            return self._later(Err(_problem(Ran.UNKNOWN)))
        return self._later(Ok(first))

    def read(
        self, stream: str, offset: LogOffset, limit: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[LogPage, Problem]]":
        assert stream == "table"
        if self.is_silent:
            return Deferred()
        if self.is_down:
            return self._later(Err(_problem(Ran.NO)))
        response = Deferred()
        page = self.store.read(offset, limit, wait_seconds)
        page.addCallback(
            lambda found: self._respond(response, self._page_unless_down(found))
        )
        return response

    def _page_unless_down(
        self, page: "Result[LogPage, Problem]"
    ) -> "Result[LogPage, Problem]":
        return Err(_problem(Ran.UNKNOWN)) if self.is_down else page

    def _later(self, result):
        response = Deferred()
        self._respond(response, result)
        return response

    def _respond(self, response, result):
        """Respond after a delay on the daemon's clock, unless the request timed out."""

        def fire():
            if not response.called:
                response.callback(result)

        self.clock.callLater(RESPONSE_DELAY_SECONDS, fire)


def _problem(ran: Ran) -> Problem:
    return Problem.of(ProblemCode.UNAVAILABLE, "the log is down", ran=ran)
