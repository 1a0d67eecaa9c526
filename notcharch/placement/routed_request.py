"""Sends one request to the responsible daemon, with redirects and retries.

A target that refuses with NOT_LEADER or NOT_STEWARD may name the responsible daemon. A
problem that another target or a later attempt cannot resolve is returned immediately, as
is the last problem if no further attempt fits before the deadline.
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
MAX_HINTS_PER_ROUND = 3
"""Maximum hints followed before a delay, because two daemons may name each other."""

MIN_ATTEMPT_SECONDS = 0.01
"""No attempt starts with less time left."""

RETRY_AFTER_SECONDS = 1.0

RETRYABLE_CODES = (
    ProblemCode.NOT_LEADER,
    ProblemCode.NOT_STEWARD,
    ProblemCode.UNAVAILABLE,
    ProblemCode.DRAINING,
)
"""Problems of the target, not of the request: another attempt may succeed."""

Reply = Result[Message, Problem]


class RoutedRequest:
    """A request that is retried until the responsible daemon handles it."""

    def __init__(
        self,
        network: PeerNetwork,
        clock: IReactorTime,
        random: Random,
        targets: Callable[[], list[DaemonName]],
        learn: Callable[[DaemonName | None], None],
        *,
        redirect_timeout_seconds: float | None = None,
    ) -> None:
        """`targets` returns the daemons to try; `learn` stores the one to try first.

        `redirect_timeout_seconds` bounds the time for retries after the first round in
        which no target was responsible, in addition to the deadline of the request.
        """
        self._redirect_timeout_seconds = redirect_timeout_seconds
        self._network = network
        self._clock = clock
        self._random = random
        self._targets = targets
        self._learn = learn

    async def run(self, message: Message, timeout_seconds: float) -> Reply:
        """Send until a final reply, or until no further attempt fits in the time."""
        deadline = self._clock.seconds() + timeout_seconds
        max_delay = FIRST_DELAY_SECONDS
        redirect_deadline: float | None = None
        while True:
            reply = await self._try_targets(message, deadline)
            if isinstance(reply, Ok) or not is_retryable(reply.err_value):
                return reply
            now = self._clock.seconds()
            delay = max_delay * self._random.uniform(0.5, 1.0)
            max_delay = min(max_delay * 2, MAX_DELAY_SECONDS)
            if redirect_deadline is None and self._redirect_timeout_seconds is not None:
                redirect_deadline = now + self._redirect_timeout_seconds
            if redirect_deadline is not None and now + delay > redirect_deadline:
                return Err(_with_retry_after(reply.err_value))
            if self._seconds_left(deadline) - delay < MIN_ATTEMPT_SECONDS:
                return Err(_with_retry_after(reply.err_value))
            await deferLater(self._clock, delay)

    async def _try_targets(self, message: Message, deadline: float) -> Reply:
        reply: Reply = Err(Problem.of(ProblemCode.UNAVAILABLE, "no daemon is known"))
        pending = self._targets()
        tried: set[DaemonName] = set()
        hints = 0
        while pending and self._seconds_left(deadline) >= MIN_ATTEMPT_SECONDS:
            target = pending.pop(0)
            if target in tried:
                continue
            tried.add(target)
            reply = await self._network.request(
                target, message, self._seconds_left(deadline)
            )
            if isinstance(reply, Ok) or not is_retryable(reply.err_value):
                self._learn(target)
                return reply
            hint = _hint_of(reply.err_value)
            self._learn(hint)
            if hint is not None and hints < MAX_HINTS_PER_ROUND:
                hints += 1
                pending.insert(0, hint)
        return reply

    def _seconds_left(self, deadline: float) -> float:
        return deadline - self._clock.seconds()


def is_retryable(problem: Problem) -> bool:
    """Return whether nothing was run and another attempt may succeed."""
    is_of_target = any(problem.is_code(code) for code in RETRYABLE_CODES)
    return problem.ran is Ran.NO and is_of_target


def _hint_of(problem: Problem) -> DaemonName | None:
    return None if problem.hint is None else DaemonName(problem.hint)


def _with_retry_after(problem: Problem) -> Problem:
    if problem.retry_after is not None:
        return problem
    return msgspec.structs.replace(problem, retry_after=RETRY_AFTER_SECONDS)
