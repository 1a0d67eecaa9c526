"""Runs one call: performs the steps of its `CallLifecycle` one after another.

A run is independent of HTTP requests: it continues when its caller disconnects, and
several requests may wait for its outcome.
"""

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.admission_withdrawal import (
    ADMISSION_SECONDS,
    AdmissionWithdrawals,
)
from notcharch.gateway.call_lifecycle import (
    CallLifecycle,
    CallLifecycleCore,
    CallLifecycleMachine,
)
from notcharch.gateway.call_outcome import (
    MAX_ATTEMPTS,
    may_retry,
    problem_of_failed_stream,
)
from notcharch.gateway.call_parameters import parameter_tokens
from notcharch.gateway.call_spec import CallSpec
from notcharch.gateway.call_steps import (
    AcquireSlot,
    Admit,
    AwaitOtherGateway,
    CommitAnswer,
    CommitFailure,
    OpenStream,
    Place,
    ReturnAnswer,
    ReturnProblem,
    Step,
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
AWAIT_SECONDS = 10.0
AWAIT_FAILURES = 4
"""Failure count that sets the delay after a failed request; see `RetryPolicy`."""

NETWORK_MARGIN_SECONDS = 2.0
ANSWER_COMMIT_SECONDS = 30.0
"""Limit of the caller's wait until its complete answer is stored."""

REFUSAL_COMMIT_SECONDS = 1.0
"""Limit of the caller's wait for a refusal to be stored; storing continues."""


class CallRun:
    """Runs one call at this gateway, from admission to outcome."""

    def __init__(
        self,
        spec: CallSpec,
        tools: CallTools,
        delivery: OutcomeDelivery,
        withdrawals: AdmissionWithdrawals,
        sink: StreamSink | None,
    ) -> None:
        """Run `spec`; the bytes of its stream go to `sink`, if any."""
        self._spec = spec
        self._tools = tools
        self._delivery = delivery
        self._withdrawals = withdrawals
        self._sink = sink
        self._core = CallLifecycleCore()
        self._lifecycle: CallLifecycle = CallLifecycleMachine(self._core)
        self._attempt: EngineAttempt | None = None
        self._has_lost_admission = False
        """Whether the leader may hold an attempt that this gateway has not learnt of."""
        self._started_at = tools.clock.seconds()

    async def run(self) -> Result[Answer, Problem]:
        """Return the answer once it is journalled, or the problem for the caller."""
        step = self._lifecycle.begin()
        try:
            while True:
                if isinstance(step, ReturnAnswer):
                    return Ok(step.answer)
                if isinstance(step, ReturnProblem):
                    return Err(for_caller(step.problem))
                step = await self._perform(step)
        except Exception:
            self._abandon()
            raise

    async def _perform(self, step: Step) -> Step:
        match step:
            case Admit():
                return await self._admit()
            case AwaitOtherGateway():
                return await self._await_other_gateway()
            case AcquireSlot():
                return await self._acquire_slot()
            case Place(avoid):
                placed = await self._current_attempt().place(avoid)
                if isinstance(placed, Err):
                    return self._lifecycle.placing_refused(placed.err_value)
                return self._lifecycle.placed(placed.ok_value)
            case OpenStream():
                return await self._stream()
            case CommitAnswer(answer):
                return await self._commit_answer(answer)
            case CommitFailure(problem):
                return await self._commit_failure(problem)
        raise TypeError(type(step).__name__)

    async def _admit(self) -> Step:
        spec = self._spec
        message = AdmitCall(
            program=spec.program,
            tenant=spec.tenant,
            sequence=spec.sequence,
            body_digest=spec.digest,
            messages=spec.messages,
            max_tokens=spec.max_tokens,
            repeatable=spec.repeatable,
            gateway=self._tools.own_member,
            parameter_tokens=parameter_tokens(spec.parameters),
        )
        # This admission replaces one that an earlier request may have left behind.
        if self._withdrawals.cancel(spec.program, spec.sequence):
            self._admission_lost()
        reply = await self._tools.leader.request(
            spec.program,
            message,
            tries=ADMISSION_TRIES,
            timeout_seconds=ADMISSION_SECONDS,
            on_lost_reply=self._admission_lost,
        )
        if isinstance(reply, Err):
            if self._has_lost_admission:
                self._withdrawals.withdraw(message)
            return self._lifecycle.refused(scope_ran_to_call(reply.err_value))
        self._has_lost_admission = False
        match reply.ok_value:
            case CallAdmitted() as admitted:
                self._attempt = EngineAttempt(spec, admitted, self._tools, self._sink)
                return self._lifecycle.admitted(admitted.ran_before)
            case CallInProgress():
                return self._lifecycle.in_progress()
            case CallAnswered(_, answer):
                return self._lifecycle.answered(answer)
            case CallFailed(_, problem):
                return self._lifecycle.refused(problem)
        return self._lifecycle.refused(unexpected(reply.ok_value))

    def _admission_lost(self) -> None:
        self._has_lost_admission = True

    async def _await_other_gateway(self) -> Step:
        spec = self._spec
        message = AwaitAnswer(spec.program, spec.tenant, spec.sequence, AWAIT_SECONDS)
        reply = await self._tools.leader.request(
            spec.program,
            message,
            timeout_seconds=AWAIT_SECONDS + NETWORK_MARGIN_SECONDS,
        )
        if isinstance(reply, Err):
            await self._tools.leader.pause(AWAIT_FAILURES)
            return self._lifecycle.in_progress()
        match reply.ok_value:
            case CallAnswered(_, answer):
                return self._lifecycle.answered(answer)
            case CallFailed(_, problem):
                return self._other_attempt_failed(problem)
        return self._lifecycle.in_progress()

    def _other_attempt_failed(self, problem: Problem) -> Step:
        is_temporary = problem.retry_after is not None
        if is_temporary and self._core.attempts < MAX_ATTEMPTS:
            return self._lifecycle.in_progress()
        return self._lifecycle.refused(problem)

    async def _acquire_slot(self) -> Step:
        acquired = await self._current_attempt().acquire_slot()
        if isinstance(acquired, Err):
            return self._lifecycle.slot_refused(acquired.err_value)
        return self._lifecycle.slot_acquired()

    async def _stream(self) -> Step:
        elapsed = self._tools.clock.seconds() - self._started_at
        self._tools.metrics.admission_seconds.observe(elapsed)
        result = await self._current_attempt().stream()
        if isinstance(result, Ok):
            return self._lifecycle.stream_ended(result.ok_value)
        return self._stream_failed(result.err_value)

    def _stream_failed(self, problem: Problem) -> Step:
        repeatable = self._spec.repeatable
        reported_problem = problem_of_failed_stream(problem, repeatable=repeatable)
        if self._sink is not None:
            self._sink.stream_failed(reported_problem)
        is_eligible = may_retry(
            problem, repeatable=repeatable, attempts=self._core.attempts
        )
        if is_eligible and self._tools.retry_budget.take_retry():
            self._tools.metrics.repeated_attempts.inc()
            return self._lifecycle.stream_failed_retrying(reported_problem)
        return self._lifecycle.stream_failed(reported_problem)

    async def _commit_answer(self, answer: Answer) -> Step:
        result = await self._deliver(ANSWER_COMMIT_SECONDS, answer=answer)
        if isinstance(result, Ok):
            return self._lifecycle.committed()
        if result.err_value.is_code(ProblemCode.STALE_EPOCH):
            return self._lifecycle.superseded()
        return self._lifecycle.commit_failed(result.err_value)

    async def _commit_failure(self, problem: Problem) -> Step:
        self._current_attempt().release(None, engine_failed=False)
        result = await self._deliver(REFUSAL_COMMIT_SECONDS, problem=problem)
        if isinstance(result, Ok):
            # The `ran` of the stored problem covers the earlier attempts, too.
            self._core.problem = result.ok_value.problem or problem
            return self._lifecycle.committed()
        if result.err_value.is_code(ProblemCode.STALE_EPOCH):
            return self._lifecycle.superseded()
        return self._lifecycle.commit_failed(result.err_value)

    async def _deliver(
        self,
        wait_seconds: float,
        *,
        answer: Answer | None = None,
        problem: Problem | None = None,
    ) -> Result[FinishRecorded, Problem]:
        admitted = self._current_attempt().admitted
        outcome = FinishCall(
            program=admitted.program,
            sequence=admitted.sequence,
            attempt=admitted.attempt,
            answer=answer,
            problem=problem,
        )
        return await self._delivery.deliver(outcome, wait_seconds)

    def _abandon(self) -> None:
        """Release an attempt after an internal error and store its failure."""
        attempt = self._attempt
        if attempt is None:
            return
        attempt.release(None, engine_failed=False)
        ran = Ran.UNKNOWN if attempt.was_opened else Ran.NO
        problem = Problem.of(ProblemCode.INTERNAL, "an internal error", ran=ran)
        delivery = self._deliver(REFUSAL_COMMIT_SECONDS, problem=problem)
        Deferred.fromCoroutine(delivery)

    def _current_attempt(self) -> EngineAttempt:
        if self._attempt is None:
            raise RuntimeError("the call is not admitted")
        return self._attempt
