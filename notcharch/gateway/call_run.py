"""Runs one call: performs the steps of its `CallLife`, one after another.

A run belongs to no HTTP request: a caller may go away, and others may come to
wait for the same outcome.
"""

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.call_life import CallLife, CallLifeCore, CallLifeMachine
from notcharch.gateway.call_outcome import (
    MOST_ATTEMPTS,
    may_repeat,
    problem_of_lost_stream,
)
from notcharch.gateway.call_parameters import parameter_tokens
from notcharch.gateway.call_spec import CallSpec
from notcharch.gateway.call_steps import (
    Admit,
    AwaitOther,
    CommitAnswer,
    CommitFailure,
    GiveAnswer,
    GiveProblem,
    OpenStream,
    Place,
    Step,
    TakeSlot,
)
from notcharch.gateway.call_tools import CallTools
from notcharch.gateway.engine_attempt import EngineAttempt
from notcharch.gateway.leader_client import (
    for_caller,
    scope_ran_to_call,
    unexpected,
)
from notcharch.gateway.outcome_delivery import OutcomeDelivery
from notcharch.gateway.stream_relay import StreamSink
from notcharch.values.chat import Answer
from notcharch.wire.messages.programs import (
    AdmitCall,
    AwaitAnswer,
    CallAdmitted,
    CallAnswered,
    CallFailed,
    CallInProgress,
    FinishCall,
    FinishRecorded,
)

ADMISSION_TRIES = 3
ADMISSION_SECONDS = 10.0
"""Wait for an admission; the leader lets a call that came early wait a little."""

AWAIT_SECONDS = 10.0
AWAIT_FAILURES = 4
"""Sets the pause after a leader could not be asked; see `RetryPolicy`."""

NETWORK_MARGIN_SECONDS = 2.0
ANSWER_COMMIT_SECONDS = 30.0
"""How long a caller waits for its finished answer to be stored."""

REFUSAL_COMMIT_SECONDS = 1.0
"""How long a caller waits for its admission to be undone; it goes on after."""


class CallRun:
    """One call at this gateway, from its admission to its outcome."""

    def __init__(
        self,
        order: CallSpec,
        tools: CallTools,
        delivery: OutcomeDelivery,
        sink: StreamSink | None,
    ) -> None:
        """Run `order`; the bytes of its stream go to `sink`, if there is one."""
        self._order = order
        self._tools = tools
        self._delivery = delivery
        self._sink = sink
        self._core = CallLifeCore()
        self._life: CallLife = CallLifeMachine(self._core)
        self._attempt: EngineAttempt | None = None
        self._started_at = tools.clock.seconds()

    async def run(self) -> Result[Answer, Problem]:
        """Give the answer, once it is in the journal, or the problem for the caller."""
        step = self._life.begin()
        try:
            while True:
                if isinstance(step, GiveAnswer):
                    return Ok(step.answer)
                if isinstance(step, GiveProblem):
                    return Err(for_caller(step.problem))
                step = await self._perform(step)
        except Exception:
            self._abandon()
            raise

    async def _perform(self, step: Step) -> Step:
        match step:
            case Admit():
                return await self._admit()
            case AwaitOther():
                return await self._await_other()
            case TakeSlot():
                return await self._take_slot()
            case Place(avoid):
                placed = await self._current().place(avoid)
                if isinstance(placed, Err):
                    return self._life.placing_refused(placed.err_value)
                return self._life.placed(placed.ok_value)
            case OpenStream():
                return await self._stream()
            case CommitAnswer(answer):
                return await self._commit_answer(answer)
            case CommitFailure(problem):
                return await self._commit_failure(problem)
        raise TypeError(type(step).__name__)

    async def _admit(self) -> Step:
        order = self._order
        message = AdmitCall(
            program=order.program,
            tenant=order.tenant,
            sequence=order.sequence,
            body_digest=order.digest,
            messages=order.messages,
            max_tokens=order.max_tokens,
            repeatable=order.repeatable,
            gateway=self._tools.own_member,
            parameter_tokens=parameter_tokens(order.parameters),
        )
        reply = await self._tools.leader.ask(
            order.program,
            message,
            tries=ADMISSION_TRIES,
            timeout_seconds=ADMISSION_SECONDS,
        )
        if isinstance(reply, Err):
            return self._life.refused(scope_ran_to_call(reply.err_value))
        match reply.ok_value:
            case CallAdmitted() as admitted:
                self._attempt = EngineAttempt(order, admitted, self._tools, self._sink)
                return self._life.admitted()
            case CallInProgress():
                return self._life.in_progress()
            case CallAnswered(_, answer):
                return self._life.answered(answer)
            case CallFailed(_, problem):
                return self._life.refused(problem)
        return self._life.refused(unexpected(reply.ok_value))

    async def _await_other(self) -> Step:
        order = self._order
        message = AwaitAnswer(
            order.program, order.tenant, order.sequence, AWAIT_SECONDS
        )
        reply = await self._tools.leader.ask(
            order.program,
            message,
            timeout_seconds=AWAIT_SECONDS + NETWORK_MARGIN_SECONDS,
        )
        if isinstance(reply, Err):
            await self._tools.leader.pause(AWAIT_FAILURES)
            return self._life.in_progress()
        match reply.ok_value:
            case CallAnswered(_, answer):
                return self._life.answered(answer)
            case CallFailed(_, problem):
                return self._other_failed(problem)
        return self._life.in_progress()

    def _other_failed(self, problem: Problem) -> Step:
        is_for_now = problem.retry_after is not None
        if is_for_now and self._core.attempts < MOST_ATTEMPTS:
            return self._life.in_progress()
        return self._life.refused(problem)

    async def _take_slot(self) -> Step:
        taken = await self._current().take_slot()
        if isinstance(taken, Err):
            return self._life.slot_refused(taken.err_value)
        return self._life.slot_taken()

    async def _stream(self) -> Step:
        elapsed = self._tools.clock.seconds() - self._started_at
        self._tools.metrics.admission_seconds.observe(elapsed)
        result = await self._current().stream()
        if isinstance(result, Ok):
            return self._life.stream_ended(result.ok_value)
        return self._stream_lost(result.err_value)

    def _stream_lost(self, problem: Problem) -> Step:
        repeatable = self._order.repeatable
        told = problem_of_lost_stream(problem, repeatable=repeatable)
        if self._sink is not None:
            self._sink.stream_lost(told)
        is_eligible = may_repeat(
            problem, repeatable=repeatable, attempts=self._core.attempts
        )
        if is_eligible and self._tools.retry_budget.take_retry():
            self._tools.metrics.repeated_attempts.inc()
            return self._life.stream_lost_for_now(told)
        return self._life.stream_lost(told)

    async def _commit_answer(self, answer: Answer) -> Step:
        result = await self._deliver(ANSWER_COMMIT_SECONDS, answer=answer)
        if isinstance(result, Ok):
            return self._life.committed()
        if result.err_value.is_code(ProblemCode.STALE_EPOCH):
            return self._life.superseded()
        return self._life.commit_failed(result.err_value)

    async def _commit_failure(self, problem: Problem) -> Step:
        self._current().release(None, engine_failed=False)
        result = await self._deliver(REFUSAL_COMMIT_SECONDS, problem=problem)
        if isinstance(result, Ok):
            # As it was stored: its `ran` speaks for earlier attempts, too.
            self._core.problem = result.ok_value.problem or problem
            return self._life.committed()
        if result.err_value.is_code(ProblemCode.STALE_EPOCH):
            return self._life.superseded()
        return self._life.commit_failed(result.err_value)

    async def _deliver(
        self,
        wait_seconds: float,
        *,
        answer: Answer | None = None,
        problem: Problem | None = None,
    ) -> Result[FinishRecorded, Problem]:
        admitted = self._current().admitted
        outcome = FinishCall(
            program=admitted.program,
            sequence=admitted.sequence,
            attempt=admitted.attempt,
            answer=answer,
            problem=problem,
        )
        return await self._delivery.deliver(outcome, wait_seconds)

    def _abandon(self) -> None:
        """End an attempt that failed by an error of this program."""
        attempt = self._attempt
        if attempt is None:
            return
        attempt.release(None, engine_failed=False)
        ran = Ran.UNKNOWN if attempt.was_opened else Ran.NO
        problem = Problem.of(ProblemCode.INTERNAL, "an internal error", ran=ran)
        delivery = self._deliver(REFUSAL_COMMIT_SECONDS, problem=problem)
        Deferred.fromCoroutine(delivery)

    def _current(self) -> EngineAttempt:
        if self._attempt is None:
            raise RuntimeError("the call is not admitted")
        return self._attempt
