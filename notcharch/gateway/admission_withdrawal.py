"""Withdraws admissions whose replies were lost.

A request that may have been admitted, without this gateway having learnt it, would keep
its tokens reserved at the leader for as long as an admitted call may wait. The admission
is therefore repeated, which replaces the attempt that the leader holds, and the attempt
that it names is ended as not run.
"""

import attrs
from result import Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.leader_client import LeaderClient, is_transient
from notcharch.gateway.outcome_delivery import OutcomeDelivery
from notcharch.values.identifiers import CallSequence, ProgramId
from notcharch.wire.messages.programs import AdmitCall, CallAdmitted, FinishCall

WITHDRAWAL_SECONDS = 600.0
"""Attempts to withdraw end after this time; the leader has abandoned the call by then."""

ADMISSION_SECONDS = 10.0
"""Timeout of one request; includes the leader's wait for the previous call."""

RETRY_AFTER_SECONDS = 0.5
"""Retry delay for requests that wait for the call at other gateways."""

COMMIT_SECONDS = 1.0
"""Limit of the wait for the outcome; `OutcomeDelivery` continues after it."""


@attrs.define(eq=False)
class _Withdrawal:
    """A withdrawal in progress."""

    request: AdmitCall
    is_cancelled: bool = False


class AdmissionWithdrawals:
    """The admissions that this gateway is withdrawing, at most one per call."""

    def __init__(
        self, leader: LeaderClient, delivery: OutcomeDelivery, clock: IReactorTime
    ) -> None:
        """Ask `leader`; outcomes are stored through `delivery`."""
        self._leader = leader
        self._delivery = delivery
        self._clock = clock
        self._current: dict[tuple[ProgramId, CallSequence], _Withdrawal] = {}
        self._waiters: list[Deferred[None]] = []

    def withdraw(self, request: AdmitCall) -> None:
        """End what the leader may have admitted for `request`, in the background."""
        self.cancel(request.program, request.sequence)
        withdrawal = _Withdrawal(request)
        self._current[(request.program, request.sequence)] = withdrawal
        Deferred.fromCoroutine(self._run(withdrawal))

    def cancel(self, program: ProgramId, sequence: CallSequence) -> bool:
        """Stop withdrawing a call; return whether that was in progress.

        The next admission of the call replaces the lost one. A reply that is under way
        is still handled.
        """
        withdrawal = self._current.pop((program, sequence), None)
        if withdrawal is None:
            return False
        withdrawal.is_cancelled = True
        self._notify_if_done()
        return True

    def when_all_done(self) -> "Deferred[None]":
        """Return a Deferred that fires when no withdrawal is in progress."""
        if not self._current:
            return succeed(None)
        waiter: Deferred[None] = Deferred(self._waiters.remove)
        self._waiters.append(waiter)
        return waiter

    async def _run(self, withdrawal: _Withdrawal) -> None:
        try:
            await self._withdraw(withdrawal)
        finally:
            if not withdrawal.is_cancelled:
                request = withdrawal.request
                del self._current[(request.program, request.sequence)]
                self._notify_if_done()

    async def _withdraw(self, withdrawal: _Withdrawal) -> None:
        request = withdrawal.request
        deadline = self._clock.seconds() + WITHDRAWAL_SECONDS
        failures = 0
        while not withdrawal.is_cancelled and self._clock.seconds() < deadline:
            reply = await self._leader.request(
                request.program, request, timeout_seconds=ADMISSION_SECONDS
            )
            if isinstance(reply, Ok) and isinstance(reply.ok_value, CallAdmitted):
                await self._finish(reply.ok_value)
                return
            if isinstance(reply, Ok) or not _may_succeed_later(reply.err_value):
                return
            failures += 1
            await self._leader.pause(failures)

    async def _finish(self, admitted: CallAdmitted) -> None:
        problem = Problem.of(
            ProblemCode.UNAVAILABLE,
            "the reply to the admission was lost, and the call was not sent",
            ran=Ran.NO,
            retry_after=RETRY_AFTER_SECONDS,
        )
        outcome = FinishCall(
            program=admitted.program,
            sequence=admitted.sequence,
            attempt=admitted.attempt,
            problem=problem,
        )
        await self._delivery.deliver(outcome, COMMIT_SECONDS)

    def _notify_if_done(self) -> None:
        if self._current:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)


def _may_succeed_later(problem: Problem) -> bool:
    """Return whether the leader may still hold the call after this refusal."""
    return is_transient(problem) or problem.retry_after is not None
