"""The calls that this gateway is running, found by program and sequence."""

import attrs
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.events.event import emit
from notcharch.events.gateway import CallEnded, CallRunFailed
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
    """Names a call of a program."""

    program: ProgramId
    sequence: CallSequence


class RunningCall:
    """A run under way and those who wait for its outcome."""

    def __init__(self, order: CallSpec) -> None:
        """Begin without waiters."""
        self.order = order
        self._waiters: list[Deferred[Outcome]] = []
        self._outcome: Outcome | None = None

    def outcome(self) -> "Deferred[Outcome]":
        """Give the outcome as soon as it is there; may be asked by many."""
        if self._outcome is not None:
            return succeed(self._outcome)
        waiter: Deferred[Outcome] = Deferred(self._waiters.remove)
        self._waiters.append(waiter)
        return waiter

    def end(self, outcome: Outcome) -> None:
        """Give the outcome to everyone who waits."""
        self._outcome = outcome
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(outcome)


class CallRuns:
    """Starts runs, and joins those that are under way."""

    def __init__(self, tools: CallTools) -> None:
        """Run calls with `tools`."""
        self._tools = tools
        self._delivery = OutcomeDelivery(tools.leader, tools.clock)
        self._running: dict[CallKey, RunningCall] = {}

    def __len__(self) -> int:
        """Count the runs under way."""
        return len(self._running)

    def find(
        self, program: ProgramId, sequence: CallSequence, tenant: TenantName
    ) -> RunningCall | None:
        """Give a tenant's run under way, if it is here."""
        running = self._running.get(CallKey(program, sequence))
        if running is None or running.order.tenant != tenant:
            return None
        return running

    def join(self, order: CallSpec) -> Result[RunningCall, Problem] | None:
        """Give the run of the same call; None when none is under way here."""
        running = self._running.get(CallKey(order.program, order.sequence))
        if running is None:
            return None
        if running.order.tenant != order.tenant:
            return Err(not_found())
        if running.order.digest != order.digest:
            return Err(_other_body(order.sequence))
        return Ok(running)

    def start(self, order: CallSpec, sink: StreamSink | None) -> RunningCall:
        """Start a run; it goes on whether or not anyone waits for it."""
        running = RunningCall(order)
        key = CallKey(order.program, order.sequence)
        self._running[key] = running
        metrics = self._tools.metrics
        metrics.running.inc()
        self._tools.retry_budget.tried()
        started_at = self._tools.clock.seconds()

        def ended(outcome: Outcome) -> None:
            del self._running[key]
            metrics.running.dec()
            self._record(order, outcome, self._tools.clock.seconds() - started_at)
            running.end(outcome)

        run = CallRun(order, self._tools, self._delivery, sink)
        finished = Deferred.fromCoroutine(run.run())

        def crashed(failure: Failure) -> Outcome:
            return _crashed(order, repr(failure.value))

        finished.addErrback(crashed)
        finished.addCallback(ended)
        return running

    async def when_idle(self) -> None:
        """Return when no run is under way and no outcome is to be delivered."""
        while self._running:
            running = next(iter(self._running.values()))
            await running.outcome()
        await self._delivery.when_none()

    def _record(self, order: CallSpec, outcome: Outcome, seconds: float) -> None:
        metrics = self._tools.metrics
        if isinstance(outcome, Err):
            problem = outcome.err_value
            metrics.calls.labels(problem.code).inc()
            emit(
                CallEnded(
                    order.program, order.sequence, problem.code, problem.ran, seconds
                )
            )
            return
        usage = outcome.ok_value.usage
        metrics.calls.labels("answered").inc()
        metrics.call_seconds.observe(seconds)
        metrics.prompt_tokens.inc(usage.prompt_tokens)
        metrics.cached_tokens.inc(usage.cached_tokens)
        metrics.relayed_tokens.inc(usage.completion_tokens)


def _crashed(order: CallSpec, error: str) -> Outcome:
    emit(CallRunFailed(order.program, order.sequence, error))
    problem = Problem.of(
        ProblemCode.INTERNAL, "the call ended by an internal error", ran=Ran.UNKNOWN
    )
    return Err(problem)


def _other_body(sequence: CallSequence) -> Problem:
    message = f"call {sequence} was already sent with another body"
    return Problem.of(ProblemCode.SEQUENCE_CONFLICT, message)
