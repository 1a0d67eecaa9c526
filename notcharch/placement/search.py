"""One routed request: tries targets in rounds while nothing was run.

A target that refuses with NOT_LEADER or NOT_STEWARD may name a better one. A
problem that another target or a later try cannot change is returned at once, and
so is the last problem when the next try would come too late.
"""

from collections.abc import Callable
from random import Random

import msgspec
from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 0.5
HINTS_PER_ROUND = 3
"""Hints followed before the search waits: two daemons may name each other."""

SHORTEST_TRY_SECONDS = 0.01
"""A try with less time left than this is not begun."""

RETRY_AFTER_SECONDS = 1.0

REDIRECTING_CODES = (
    ProblemCode.NOT_LEADER,
    ProblemCode.NOT_STEWARD,
    ProblemCode.UNAVAILABLE,
    ProblemCode.DRAINING,
)
"""Problems of the target, not of the request: another or a later one may succeed."""

Reply = Result[Message, Problem]


class Search:
    """The search for the daemon that carries out one request."""

    def __init__(
        self,
        network: PeerNetwork,
        clock: IReactorTime,
        random: Random,
        targets: Callable[[], list[DaemonName]],
        learn: Callable[[DaemonName | None], None],
        *,
        patience_seconds: float | None = None,
    ) -> None:
        """`targets` gives the daemons to try; `learn` takes where to begin next.

        With `patience_seconds` the search ends that long after its first round in
        which nobody was responsible, however much time the request has.
        """
        self._patience_seconds = patience_seconds
        self._network = network
        self._clock = clock
        self._random = random
        self._targets = targets
        self._learn = learn

    async def run(self, message: Message, timeout_seconds: float) -> Reply:
        """Try until a final reply, or until no further try fits in the time."""
        deadline = self._clock.seconds() + timeout_seconds
        limit = FIRST_DELAY_SECONDS
        patient_until: float | None = None
        while True:
            reply = await self._round(message, deadline)
            if isinstance(reply, Ok) or not is_redirecting(reply.err_value):
                return reply
            now = self._clock.seconds()
            delay = limit * self._random.uniform(0.5, 1.0)
            limit = min(limit * 2, MAX_DELAY_SECONDS)
            if patient_until is None and self._patience_seconds is not None:
                patient_until = now + self._patience_seconds
            if patient_until is not None and now + delay > patient_until:
                return Err(_final(reply.err_value))
            if self._left(deadline) - delay < SHORTEST_TRY_SECONDS:
                return Err(_final(reply.err_value))
            await deferLater(self._clock, delay)

    async def _round(self, message: Message, deadline: float) -> Reply:
        reply: Reply = Err(Problem.of(ProblemCode.UNAVAILABLE, "no daemon is known"))
        waiting = self._targets()
        tried: set[DaemonName] = set()
        hints = 0
        while waiting and self._left(deadline) >= SHORTEST_TRY_SECONDS:
            target = waiting.pop(0)
            if target in tried:
                continue
            tried.add(target)
            reply = await self._network.request(target, message, self._left(deadline))
            if isinstance(reply, Ok) or not is_redirecting(reply.err_value):
                self._learn(target)
                return reply
            hint = _hint_of(reply.err_value)
            self._learn(hint)
            if hint is not None and hints < HINTS_PER_ROUND:
                hints += 1
                waiting.insert(0, hint)
        return reply

    def _left(self, deadline: float) -> float:
        return deadline - self._clock.seconds()


def is_redirecting(problem: Problem) -> bool:
    """Tell whether nothing was run and another target may do it."""
    is_of_target = any(problem.is_code(code) for code in REDIRECTING_CODES)
    return problem.ran is Ran.NO and is_of_target


def _hint_of(problem: Problem) -> DaemonName | None:
    return None if problem.hint is None else DaemonName(problem.hint)


def _final(problem: Problem) -> Problem:
    if problem.retry_after is not None:
        return problem
    return msgspec.structs.replace(problem, retry_after=RETRY_AFTER_SECONDS)
