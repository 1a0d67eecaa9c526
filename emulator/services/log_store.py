"""The append-only log service: streams of records with offsets."""

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.clients.ports import LogPage, LogRecord, StoredRecord
from notcharch.values.identifiers import LogOffset


@attrs.define(eq=False)
class _WaitingRead:
    offset: LogOffset
    limit: int
    answered: "Deferred[LogPage]"
    deadline: IDelayedCall | None = None


class LogStore:
    """Keeps everything appended; appends are not deduplicated."""

    def __init__(self, clock: IReactorTime) -> None:
        """Begin without streams."""
        self._clock = clock
        self._streams: dict[str, list[StoredRecord]] = {}
        self._waiting: dict[str, list[_WaitingRead]] = {}
        self.append_count = 0

    def append(self, stream: str, records: tuple[LogRecord, ...]) -> LogOffset:
        """Append in order; gives the first offset."""
        self.append_count += 1
        stored = self._streams.setdefault(stream, [])
        first = len(stored)
        for offset, record in enumerate(records, start=first):
            stored.append(StoredRecord(LogOffset(offset), record.id, record.data))
        if records:
            self._wake(stream)
        return LogOffset(first)

    def read(self, stream: str, offset: LogOffset, limit: int) -> LogPage:
        """Give records from an offset on; an unknown stream is empty."""
        stored = self._streams.get(stream, [])
        found = tuple(stored[offset : offset + limit])
        end = LogOffset(len(stored))
        return LogPage(found, LogOffset(offset + len(found)), end)

    def read_waiting(
        self, stream: str, offset: LogOffset, limit: int, wait_seconds: float
    ) -> "Deferred[LogPage]":
        """Give records, waiting for the first; an empty page after the wait."""
        waiting = _WaitingRead(offset, limit, Deferred())
        page = self.read(stream, offset, limit)
        if page.records or wait_seconds <= 0:
            waiting.answered.callback(page)
            return waiting.answered
        waiting.deadline = self._clock.callLater(
            wait_seconds, self._give_up, stream, waiting
        )
        self._waiting.setdefault(stream, []).append(waiting)
        return waiting.answered

    def stream_lengths(self) -> dict[str, int]:
        """Count the records of each stream."""
        return {name: len(records) for name, records in self._streams.items()}

    def _wake(self, stream: str) -> None:
        for waiting in self._waiting.pop(stream, []):
            page = self.read(stream, waiting.offset, waiting.limit)
            if not page.records:
                self._waiting.setdefault(stream, []).append(waiting)
                continue
            if waiting.deadline is not None:
                waiting.deadline.cancel()
            waiting.answered.callback(page)

    def _give_up(self, stream: str, waiting: _WaitingRead) -> None:
        self._waiting[stream].remove(waiting)
        waiting.answered.callback(self.read(stream, waiting.offset, waiting.limit))
