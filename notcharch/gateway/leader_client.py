"""Typed requests to the leaders of the partitions of programs.

All requests are idempotent: one with an unknown outcome is retried with exponential
delays before its problem is returned.
"""

import random
from collections.abc import Callable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.placement.interface import Router
from notcharch.placement.partitions import partition_of_program
from notcharch.scheduling.retry import RetryPolicy
from notcharch.values.identifiers import PartitionNumber, ProgramId
from notcharch.wire.messages.base import Message

REQUEST_SECONDS = 5.0
"""Timeout of one reply."""

UNKNOWN_PROGRAM = "there is no such program"
RETRY_AFTER_SECONDS = 1.0

MessageT = TypeVar("MessageT", bound=Message)


class LeaderClient:
    """Sends requests to leaders through the router."""

    def __init__(
        self,
        router: Router,
        clock: IReactorTime,
        chance: random.Random,
        *,
        region: str,
        partition_count: int,
    ) -> None:
        """Send through `router`; only program ids of `region` are valid."""
        self._router = router
        self._clock = clock
        self._chance = chance
        self._region = region
        self._partition_count = partition_count
        self._policy = RetryPolicy()

    def partition_of(self, program: ProgramId) -> Result[PartitionNumber, Problem]:
        """Return the partition of a program; NOT_FOUND if it cannot exist here."""
        partition = partition_of_program(program)
        is_of_region = program.rsplit("-", 2)[0] == self._region
        if partition is None or not is_of_region:
            return Err(not_found())
        if not 0 <= partition < self._partition_count:
            return Err(not_found())
        return Ok(partition)

    async def request(
        self,
        program: ProgramId,
        message: Message,
        *,
        tries: int = 1,
        timeout_seconds: float = REQUEST_SECONDS,
        on_lost_reply: Callable[[], None] | None = None,
    ) -> Result[Message, Problem]:
        """Send a request to the program's leader; retries on transient problems.

        `on_lost_reply` is called after each try that the leader may have carried out
        although it failed.
        """
        partition = self.partition_of(program)
        if isinstance(partition, Err):
            return Err(partition.err_value)
        failures = 0
        while True:
            reply = await self._router.to_partition(
                partition.ok_value, message, timeout_seconds
            )
            if on_lost_reply is not None and _is_lost_reply(reply):
                on_lost_reply()
            if isinstance(reply, Ok) or not is_transient(reply.err_value):
                return reply
            failures += 1
            if failures >= tries:
                return reply
            await self.pause(failures)

    def pause(self, failures: int) -> "Deferred[None]":
        """Return a Deferred that fires after the retry delay for `failures`."""
        delay = self._policy.delay_seconds(failures, self._chance)
        return deferLater(self._clock, delay, lambda: None)


def _is_lost_reply(reply: Result[Message, Problem]) -> bool:
    return isinstance(reply, Err) and reply.err_value.ran is not Ran.NO


def is_transient(problem: Problem) -> bool:
    """Return whether a retry of the same request may succeed."""
    return any(
        problem.is_code(code)
        for code in (
            ProblemCode.UNAVAILABLE,
            ProblemCode.TIMED_OUT,
            ProblemCode.NOT_LEADER,
        )
    )


def scope_ran_to_call(problem: Problem) -> Problem:
    """Return the problem with `ran` for the whole call instead of this request.

    Another gateway may have run the same call for an earlier request. Only the leader
    knows, so `ran` is unknown if the leader could not be reached, or if its daemon was
    too busy to look at the request.
    """
    if not is_transient(problem) and not problem.is_code(ProblemCode.OVERLOADED):
        return problem
    return msgspec.structs.replace(problem, ran=Ran.UNKNOWN)


def not_found() -> Problem:
    """Return the problem of a program that does not exist for this caller."""
    return Problem.of(ProblemCode.NOT_FOUND, UNKNOWN_PROGRAM)


def expect(
    reply: Result[Message, Problem], expected: type[MessageT]
) -> Result[MessageT, Problem]:
    """Narrow a reply to its expected type."""
    if isinstance(reply, Err):
        return Err(reply.err_value)
    if isinstance(reply.ok_value, expected):
        return Ok(reply.ok_value)
    return Err(unexpected(reply.ok_value))


def unexpected(message: Message) -> Problem:
    """Return the problem of a reply of an unexpected type."""
    return Problem.of(
        ProblemCode.INTERNAL,
        f"unexpected reply {type(message).__name__}",
        ran=Ran.UNKNOWN,
    )


def for_caller(problem: Problem) -> Problem:
    """Replace problems that only concern daemons by UNAVAILABLE."""
    is_internal = any(
        problem.is_code(code)
        for code in (
            ProblemCode.NOT_LEADER,
            ProblemCode.NOT_STEWARD,
            ProblemCode.STALE_EPOCH,
            ProblemCode.TIMED_OUT,
            ProblemCode.UNAVAILABLE,
        )
    )
    if not is_internal:
        return problem
    return Problem.of(
        ProblemCode.UNAVAILABLE,
        problem.message,
        ran=problem.ran,
        retry_after=problem.retry_after or RETRY_AFTER_SECONDS,
    )
