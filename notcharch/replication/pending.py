"""Proposals that wait for a majority."""

from collections import deque

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.replication.effects import Applied
from notcharch.replication.interface import CommandResult
from notcharch.values.identifiers import Epoch, PartitionNumber

RETRY_SECONDS = 0.2

Outcome = Result[CommandResult, Problem]


class _Place(msgspec.Struct, frozen=True):
    partition: PartitionNumber
    epoch: Epoch
    index: int


class PendingProposals:
    """The Deferreds of proposals, by partition, epoch and index."""

    def __init__(self, wait_seconds: float) -> None:
        """Give up on a proposal after `wait_seconds`."""
        self._wait_seconds = wait_seconds
        self._waiting: dict[_Place, Deferred[Outcome]] = {}
        self._deadlines: deque[tuple[float, _Place]] = deque()

    def add(
        self, partition: PartitionNumber, epoch: Epoch, index: int, now: float
    ) -> "Deferred[Outcome]":
        """Await the entry at `index`, proposed in `epoch`."""
        place = _Place(partition, epoch, index)
        answer: Deferred[Outcome] = Deferred()
        self._waiting[place] = answer
        self._deadlines.append((now + self._wait_seconds, place))
        return answer

    def applied(self, partition: PartitionNumber, applied: Applied) -> None:
        """Answer the proposal that was applied, if it still waits."""
        place = _Place(partition, applied.epoch, applied.index)
        answer = self._waiting.pop(place, None)
        if answer is not None:
            answer.callback(Ok(applied.result))

    def leadership_lost(self, partition: PartitionNumber) -> None:
        """Answer all of a partition: a new leader may or may not have them."""
        lost = [place for place in self._waiting if place.partition == partition]
        for place in lost:
            self._give_up(place, "leadership was lost before a majority answered")

    def stop(self) -> None:
        """Answer all: the daemon stops before it learns their outcome."""
        for place in tuple(self._waiting):
            self._give_up(place, "this daemon stops")

    def expire(self, now: float) -> None:
        """Answer those that waited too long."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, place = self._deadlines.popleft()
            self._give_up(place, "no majority answered in time")
        while self._deadlines and self._deadlines[0][1] not in self._waiting:
            self._deadlines.popleft()

    def _give_up(self, place: _Place, reason: str) -> None:
        answer = self._waiting.pop(place, None)
        if answer is None:
            return
        problem = Problem.of(
            ProblemCode.UNAVAILABLE,
            f"partition {place.partition}: {reason}",
            ran=Ran.UNKNOWN,
            retry_after=RETRY_SECONDS,
        )
        answer.callback(Err(problem))
