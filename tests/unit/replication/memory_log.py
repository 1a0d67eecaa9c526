"""A log service in memory, with the faults that it may have."""

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from notcharch.clients.ports import LogPage, LogRecord, StoredRecord
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.values.identifiers import LogOffset

DELAY_SECONDS = 0.003


class MemoryLog:
    """Implements LogPort. `down` refuses; `lose_answers` appends and loses the answer."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self.streams: dict[str, list[StoredRecord]] = {}
        self.is_down = False
        self.lose_answers = 0
        self.appends = 0
        self.reads = 0

    def append(self, stream: str, records: tuple[LogRecord, ...]):
        self.appends += 1
        if self.is_down:
            return self._later(Err(self._problem(Ran.NO)))
        kept = self.streams.setdefault(stream, [])
        first = LogOffset(len(kept))
        for record in records:
            kept.append(StoredRecord(LogOffset(len(kept)), record.id, record.data))
        if self.lose_answers:
            self.lose_answers -= 1
            return self._later(Err(self._problem(Ran.UNKNOWN)))
        return self._later(Ok(first))

    def read(self, stream: str, offset: LogOffset, limit: int, wait_seconds=0.0):
        self.reads += 1
        if self.is_down:
            return self._later(Err(self._problem(Ran.NO)))
        kept = self.streams.get(stream, [])
        page = tuple(kept[offset : offset + limit])
        end = LogOffset(len(kept))
        return self._later(Ok(LogPage(page, LogOffset(offset + len(page)), end)))

    def _later(self, result: Result) -> Deferred:
        answer: Deferred = Deferred()
        self._clock.callLater(DELAY_SECONDS, answer.callback, result)
        return answer

    def _problem(self, ran: Ran) -> Problem:
        return Problem.of(ProblemCode.UNAVAILABLE, "log service down", ran=ran)
