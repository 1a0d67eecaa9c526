"""Stores the outcomes of attempts, with retries while the leader is unreachable.

A caller waits for a bounded time only; the delivery then continues in the background.
Delivery is idempotent.
"""

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.leader_client import LeaderClient, expect, is_transient
from notcharch.wire.messages.programs import FinishCall, FinishRecorded

DELIVERY_SECONDS = 600.0
"""Delivery stops after this time; the leader has abandoned the attempt by then."""

RETRY_AFTER_SECONDS = 1.0


class OutcomeDelivery:
    """Delivers `FinishCall`s to leaders."""

    def __init__(self, leader: LeaderClient, clock: IReactorTime) -> None:
        """Deliver through `leader`."""
        self._leader = leader
        self._clock = clock
        self._pending = 0
        self._waiters: list[Deferred[None]] = []

    def when_all_delivered(self) -> "Deferred[None]":
        """Return a Deferred that fires when no delivery is in flight."""
        if not self._pending:
            return succeed(None)
        waiter: Deferred[None] = Deferred(self._waiters.remove)
        self._waiters.append(waiter)
        return waiter

    def deliver(
        self, outcome: FinishCall, wait_seconds: float
    ) -> "Deferred[Result[FinishRecorded, Problem]]":
        """Store an outcome; UNAVAILABLE after `wait_seconds`, but retries go on."""
        waiting: Deferred[Result[FinishRecorded, Problem]] = Deferred()
        timer = self._clock.callLater(
            wait_seconds, lambda: waiting.callback(Err(_not_stored()))
        )

        def delivered(result: Result[FinishRecorded, Problem]) -> None:
            if timer.active():
                timer.cancel()
                waiting.callback(result)

        delivery = Deferred.fromCoroutine(self._deliver(outcome))
        delivery.addCallback(delivered)
        return waiting

    async def _deliver(self, outcome: FinishCall) -> Result[FinishRecorded, Problem]:
        self._pending += 1
        deadline = self._clock.seconds() + DELIVERY_SECONDS
        failures = 0
        try:
            while True:
                reply = await self._leader.request(outcome.program, outcome)
                if isinstance(reply, Ok) or not _may_be_stored_later(reply.err_value):
                    return expect(reply, FinishRecorded)
                failures += 1
                if self._clock.seconds() >= deadline:
                    return Err(reply.err_value)
                await self._leader.pause(failures)
        finally:
            self._ended()

    def _ended(self) -> None:
        self._pending -= 1
        if self._pending:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)


def _may_be_stored_later(problem: Problem) -> bool:
    """Return whether to repeat a delivery; a busy daemon did not look at it."""
    return is_transient(problem) or problem.is_code(ProblemCode.OVERLOADED)


def _not_stored() -> Problem:
    return Problem.of(
        ProblemCode.UNAVAILABLE,
        "the outcome could not be written to the journal before the deadline",
        ran=Ran.YES,
        retry_after=RETRY_AFTER_SECONDS,
    )
