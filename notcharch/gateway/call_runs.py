"""Calls in flight at this gateway, by program and sequence number."""

import attrs
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.events.event import emit
from notcharch.events.gateway import CallEnded, CallRunFailed
from notcharch.gateway.admission_withdrawal import AdmissionWithdrawals
from notcharch.gateway.call_run import CallRun
from notcharch.gateway.call_spec import CallSpec
from notcharch.gateway.call_tools import CallTools
from notcharch.gateway.leader_client import not_found
from notcharch.gateway.outcome_delivery import OutcomeDelivery
from notcharch.gateway.stream_relay import StreamSink
from notcharch.values.chat import Answer
from notcharch.values.identifiers import CallSequence, ProgramId, TenantName

Outcome = Result[Answer, Problem]


@attrs.frozen
class CallKey:
    """Identifies a call of a program."""

    program: ProgramId
    sequence: CallSequence


class RunningCall:
    """A run in flight and the waiters for its outcome."""

    def __init__(self, spec: CallSpec) -> None:
        """Start without waiters."""
        self.spec = spec
        self._waiters: list[Deferred[Outcome]] = []
        self._outcome: Outcome | None = None

    def outcome(self) -> "Deferred[Outcome]":
        """Return a Deferred of the outcome; each caller gets a separate one."""
        if self._outcome is not None:
            return succeed(self._outcome)
        waiter: Deferred[Outcome] = Deferred(self._waiters.remove)
        self._waiters.append(waiter)
        return waiter

    def complete(self, outcome: Outcome) -> None:
        """Pass the outcome to all waiters."""
        self._outcome = outcome
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(outcome)


class CallRuns:
    """Starts runs and joins those in flight."""

    def __init__(self, tools: CallTools) -> None:
        """Run calls with `tools`."""
        self._tools = tools
        self._delivery = OutcomeDelivery(tools.leader, tools.clock)
        self._withdrawals = AdmissionWithdrawals(
            tools.leader, self._delivery, tools.clock
        )
        self._running: dict[CallKey, RunningCall] = {}

    def __len__(self) -> int:
        """Return the number of runs in flight."""
        return len(self._running)

    def find(
        self, program: ProgramId, sequence: CallSequence, tenant: TenantName
    ) -> RunningCall | None:
        """Return a tenant's run in flight at this gateway, if any."""
        running = self._running.get(CallKey(program, sequence))
        if running is None or running.spec.tenant != tenant:
            return None
        return running

    def join(self, spec: CallSpec) -> Result[RunningCall, Problem] | None:
        """Return the run of the same call; None if none is in flight here."""
        running = self._running.get(CallKey(spec.program, spec.sequence))
        if running is None:
            return None
        if running.spec.tenant != spec.tenant:
            return Err(not_found())
        if running.spec.digest != spec.digest:
            return Err(_body_mismatch(spec.sequence))
        return Ok(running)

    def start(self, spec: CallSpec, sink: StreamSink | None) -> RunningCall:
        """Start a run, which continues even if nobody waits for it."""
        running = RunningCall(spec)
        key = CallKey(spec.program, spec.sequence)
        self._running[key] = running
        metrics = self._tools.metrics
        metrics.running.inc()
        self._tools.retry_budget.tried()
        started_at = self._tools.clock.seconds()

        def on_finished(outcome: Outcome) -> None:
            del self._running[key]
            metrics.running.dec()
            self._record_outcome(
                spec, outcome, self._tools.clock.seconds() - started_at
            )
            running.complete(outcome)

        run = CallRun(spec, self._tools, self._delivery, self._withdrawals, sink)
        finished = Deferred.fromCoroutine(run.run())

        def on_error(failure: Failure) -> Outcome:
            return _internal_error(spec, repr(failure.value))

        finished.addErrback(on_error)
        finished.addCallback(on_finished)
        return running

    async def when_idle(self) -> None:
        """Return when no run, withdrawal or delivery of an outcome is left."""
        while self._running:
            running = next(iter(self._running.values()))
            await running.outcome()
        await self._withdrawals.when_all_done()
        await self._delivery.when_all_delivered()

    def _record_outcome(self, spec: CallSpec, outcome: Outcome, seconds: float) -> None:
        metrics = self._tools.metrics
        if isinstance(outcome, Err):
            problem = outcome.err_value
            metrics.calls.labels(problem.code).inc()
            emit(
                CallEnded(
                    spec.program, spec.sequence, problem.code, problem.ran, seconds
                )
            )
            return
        usage = outcome.ok_value.usage
        metrics.calls.labels("answered").inc()
        metrics.call_seconds.observe(seconds)
        metrics.prompt_tokens.inc(usage.prompt_tokens)
        metrics.cached_tokens.inc(usage.cached_tokens)
        metrics.relayed_tokens.inc(usage.completion_tokens)


def _internal_error(spec: CallSpec, error: str) -> Outcome:
    emit(CallRunFailed(spec.program, spec.sequence, error))
    problem = Problem.of(
        ProblemCode.INTERNAL, "the call failed with an internal error", ran=Ran.UNKNOWN
    )
    return Err(problem)


def _body_mismatch(sequence: CallSequence) -> Problem:
    message = f"call {sequence} was already sent with another body"
    return Problem.of(ProblemCode.SEQUENCE_CONFLICT, message)
