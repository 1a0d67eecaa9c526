"""A stand-in of a platform's log service: fenced appends, keyed topics, groups.

It implements the port `notcharch.journal.interface.LogService` in memory on a clock,
with the faults of a real one: refusals, lost answers (the call was done, or is done
late), outages, history that is dropped, partitions that are dealt anew.
"""

import contextlib
import enum
import math
from collections import deque
from collections.abc import Callable
from itertools import accumulate, takewhile
from random import Random
from typing import TypeVar

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from emulator.services.log_groups import Groups
from notcharch.journal.interface import (
    Appended,
    GroupName,
    KeyedRecord,
    LogFault,
    LogLimits,
    LogProblem,
    Membership,
    NewestPage,
    Ownership,
    Producer,
    Records,
)
from notcharch.journal.keyed_follower import split_keyed

Value = TypeVar("Value")

ANSWER_SECONDS = 0.004
LOST_SECONDS = 1.5
"""A caller takes an answer for lost after this time."""
LATE_SECONDS = 3.0
REMEMBERED_ANSWERS = 5
PAGE_ITEMS = 500
KEYED_PREFIX = "keyed."
READ_BYTES = 1024 * 1024
"""A read gives records up to this size, and one at least."""


class Trouble(enum.Enum):
    """What happens to the next calls."""

    NONE = "none"
    REFUSE = "refuse"
    """503: nothing is done."""
    LOSE_ANSWER = "lose answer"
    """Done, and not answered."""
    LOSE_CALL = "lose call"
    """Not done, and not answered."""
    DONE_LATE = "done late"
    """Not answered; done some seconds later."""


class Partition:
    """The records of one partition, and who may write it."""

    def __init__(self) -> None:
        """Begin empty."""
        self.first = 0
        self.records: list[bytes] = []
        self.epoch = -1
        self.sequence: int | None = None
        """The last of the epoch; None before its first record."""
        self.answers: dict[int, Appended] = {}
        self._ends: deque[tuple[float, int]] = deque()
        """When records were appended, and the end after them."""

    @property
    def end(self) -> int:
        """Give the offset after the last record."""
        return self.first + len(self.records)

    def append(
        self, records: tuple[bytes, ...], producer: Producer | None
    ) -> Result[Appended, LogProblem]:
        """Append, if the producer may."""
        if producer is not None:
            refusal = self._check(producer)
            if refusal is not None:
                return refusal
        answer = Appended(self.end, self.end + len(records))
        self.records.extend(records)
        if producer is not None:
            self.epoch = producer.epoch
        if producer is not None and records:
            self.sequence = producer.sequence
            self.answers[producer.sequence] = answer
            self.answers.pop(producer.sequence - REMEMBERED_ANSWERS, None)
        return Ok(answer)

    def _check(self, producer: Producer) -> Result[Appended, LogProblem] | None:
        if producer.epoch < self.epoch:
            return Err(LogProblem(LogFault.FENCED))
        if producer.epoch > self.epoch:
            self.answers = {}
            self.sequence = None
            return None
        if producer.sequence in self.answers:
            return Ok(self.answers[producer.sequence])
        if self.sequence is not None and producer.sequence != self.sequence + 1:
            return Err(LogProblem(LogFault.OUT_OF_ORDER))
        return None

    def note_end(self, now: float) -> None:
        """Note that the records up to the end are stored by now."""
        if not self._ends or self._ends[-1][1] < self.end:
            self._ends.append((now, self.end))

    def drop_older(self, limit: float) -> None:
        """Drop the records that were appended before a time."""
        while self._ends and self._ends[0][0] < limit:
            self.drop_before(self._ends.popleft()[1])

    def drop_before(self, offset: int) -> None:
        """Drop the oldest records."""
        dropped = max(0, min(offset, self.end) - self.first)
        self.records = self.records[dropped:]
        self.first += dropped


def first_records(records: list[bytes]) -> tuple[bytes, ...]:
    """Give what one read returns of some records."""
    sizes = accumulate(map(len, records))
    count = sum(1 for _ in takewhile(lambda size: size <= READ_BYTES, sizes))
    return tuple(records[: max(count, 1)])


class Waiting(msgspec.Struct, frozen=True):
    """A read that waits for a record."""

    place: tuple[str, int]
    wake: Callable[[], None]


class PartitionedLog:
    """The log service, in memory."""

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        partitions: int,
        limits: LogLimits = LogLimits(),  # noqa: B008
        retention_seconds: float = math.inf,
    ) -> None:
        """Start with empty topics that have `partitions` partitions each.

        Records of topics without keys go after `retention_seconds`.
        """
        self._retention_seconds = retention_seconds
        self.limits = limits
        self.refused_bytes: list[int] = []
        """Sizes of the appends that were larger than the limits."""
        self._clock = clock
        self._random = random
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._waiting: list[Waiting] = []
        self.groups = Groups(clock, partitions)
        self.trouble = Trouble.NONE
        self.calls = 0

    def partition(self, topic: str, number: int) -> Partition:
        """Give a partition, which is made at its first use."""
        partition = self._partitions.setdefault((topic, number), Partition())
        if not topic.startswith(KEYED_PREFIX):
            now = self._clock.seconds()
            partition.note_end(now)
            partition.drop_older(now - self._retention_seconds)
        return partition

    def _answer(
        self, act: Callable[[], Result[Value, LogProblem]]
    ) -> "Deferred[Result[Value, LogProblem]]":
        """Do a call as the trouble of the moment has it."""
        self.calls += 1
        answered: Deferred[Result[Value, LogProblem]] = Deferred()
        later = self._clock.callLater
        trouble = self.trouble
        if trouble is Trouble.NONE:
            later(ANSWER_SECONDS, lambda: answered.callback(act()))
        elif trouble is Trouble.REFUSE:
            refusal: Result[Value, LogProblem] = Err(LogProblem(LogFault.NOT_DONE))
            later(ANSWER_SECONDS, answered.callback, refusal)
        else:
            unknown: Result[Value, LogProblem] = Err(LogProblem(LogFault.UNKNOWN))
            later(LOST_SECONDS, answered.callback, unknown)
            if trouble is Trouble.LOSE_ANSWER:
                later(ANSWER_SECONDS, act)
            elif trouble is Trouble.DONE_LATE:
                later(LATE_SECONDS, act)
        return answered

    def append(
        self,
        topic: str,
        partition: int,
        records: tuple[bytes, ...],
        producer: Producer | None = None,
    ) -> "Deferred[Result[Appended, LogProblem]]":
        """Append records, all or none."""

        def act() -> Result[Appended, LogProblem]:
            if not self._fits(records):
                self.refused_bytes.append(sum(map(len, records)))
                return Err(LogProblem(LogFault.REJECTED))
            answer = self.partition(topic, partition).append(records, producer)
            self.partition(topic, partition)
            self._wake((topic, partition))
            return answer

        return self._answer(act)

    def _fits(self, records: tuple[bytes, ...]) -> bool:
        largest = max(map(len, records), default=0)
        total = sum(self.limits.call_size(len(record)) for record in records)
        return largest <= self.limits.record_bytes and total <= self.limits.call_bytes

    def put(self, topic: str, partition: int, record: bytes) -> None:
        """Write a record for a caller whom the trouble doesn't concern."""
        self.partition(topic, partition).append((record,), None)
        self._wake((topic, partition))

    def _wake(self, place: tuple[str, int]) -> None:
        woken = [waiting for waiting in self._waiting if waiting.place == place]
        self._waiting = [waiting for waiting in self._waiting if waiting not in woken]
        for waiting in woken:
            waiting.wake()

    def read(
        self, topic: str, partition: int, offset: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[Records, LogProblem]]":
        """Read records from an offset, waiting for the first if need be."""

        def act() -> Result[Records, LogProblem]:
            found = self.partition(topic, partition)
            if offset < found.first:
                return Err(LogProblem(LogFault.GONE, found.first))
            records = first_records(found.records[offset - found.first :])
            return Ok(Records(offset, records, found.end))

        if not wait_seconds or self.partition(topic, partition).end > offset:
            return self._answer(act)
        answered: Deferred[Result[Records, LogProblem]] = Deferred()

        def wake() -> None:
            if timer.active():
                timer.cancel()
            self._answer(act).chainDeferred(answered)

        waiting = Waiting((topic, partition), wake)
        self._waiting.append(waiting)

        def expire() -> None:
            self._waiting.remove(waiting)
            self._answer(act).chainDeferred(answered)

        timer = self._clock.callLater(wait_seconds, expire)
        return answered

    def trim(
        self, topic: str, partition: int, before: int
    ) -> "Deferred[Result[None, LogProblem]]":
        """Drop the records that lie before an offset."""

        def act() -> Result[None, LogProblem]:
            self.partition(topic, partition).drop_before(before)
            return Ok(None)

        return self._answer(act)

    def newest(
        self, topic: str, partition: int, after: str = ""
    ) -> "Deferred[Result[NewestPage, LogProblem]]":
        """Read a page of the newest value of each key."""

        def act() -> Result[NewestPage, LogProblem]:
            found = self.partition(topic, partition)
            newest: dict[str, KeyedRecord] = {}
            for place, record in enumerate(found.records, start=found.first):
                with contextlib.suppress(ValueError):  # a key that nobody can read
                    key, value = split_keyed(record)
                    newest[key] = KeyedRecord(key, value, place)
            items = [item for key, item in sorted(newest.items()) if key > after]
            items = [item for item in items if item.value]
            page = tuple(items[:PAGE_ITEMS])
            return Ok(NewestPage(page, len(items) > PAGE_ITEMS, found.end))

        return self._answer(act)

    def join(
        self,
        group: GroupName,
        member: str,
        lease_seconds: float,
        generation: int,
    ) -> "Deferred[Result[Membership, LogProblem]]":
        """Join a group, or stay in it."""
        return self._answer(
            lambda: Ok(self.groups.join(group, member, lease_seconds, generation))
        )

    def leave(self, group: str, member: str) -> "Deferred[Result[None, LogProblem]]":
        """Leave a group."""

        def act() -> Result[None, LogProblem]:
            self.groups.leave(group, member)
            return Ok(None)

        return self._answer(act)

    def owners(
        self, group: str
    ) -> "Deferred[Result[tuple[Ownership, ...], LogProblem]]":
        """Return the owner of each partition."""
        return self._answer(lambda: Ok(self.groups.owners(group)))
