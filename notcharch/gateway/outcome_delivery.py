"""Has the end of an attempt stored, however long the leader cannot be reached.

The caller is not kept waiting for that: after a bound it gets its answer or
refusal, while the delivery goes on. Delivering twice is harmless.
"""

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.leader_client import LeaderClient, expect, is_transient
from notcharch.wire.messages.programs import FinishCall, FinishRecorded

DELIVERY_SECONDS = 600.0
"""A leader that was not reached for so long has given the attempt up itself."""

RETRY_AFTER_SECONDS = 1.0


class OutcomeDelivery:
    """Delivers `FinishCall`s to leaders."""

    def __init__(self, leader: LeaderClient, clock: IReactorTime) -> None:
        """Deliver through `leader`."""
        self._leader = leader
        self._clock = clock
        self.pending = 0
        """Deliveries under way, also those that nobody waits for."""

    def deliver(
        self, outcome: FinishCall, wait_seconds: float
    ) -> "Deferred[Result[FinishRecorded, Problem]]":
        """Store an outcome; gives UNAVAILABLE after `wait_seconds`, and goes on."""
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
        self.pending += 1
        deadline = self._clock.seconds() + DELIVERY_SECONDS
        failures = 0
        try:
            while True:
                reply = await self._leader.ask(outcome.program, outcome)
                if isinstance(reply, Ok) or not is_transient(reply.err_value):
                    return expect(reply, FinishRecorded)
                failures += 1
                if self._clock.seconds() >= deadline:
                    return Err(reply.err_value)
                await self._leader.pause(failures)
        finally:
            self.pending -= 1


def _not_stored() -> Problem:
    return Problem.of(
        ProblemCode.UNAVAILABLE,
        "no majority of the program's replicas could be reached in time",
        ran=Ran.YES,
        retry_after=RETRY_AFTER_SECONDS,
    )
