"""Runs one call: performs the steps of its `CallLife`, one after another.

A run belongs to no HTTP request: a caller may go away, and others may come to
wait for the same outcome.
"""

import attrs
import msgspec
from result import Err, Ok, Result

from notcharch.errors import Problem, ProblemCode
from notcharch.gateway.call_life import CallLife, CallLifeCore, CallLifeMachine
from notcharch.gateway.call_outcome import (
    MOST_ATTEMPTS,
    may_repeat,
    problem_of_lost_stream,
)
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
from notcharch.gateway.call_tools import CallTools, Slot
from notcharch.gateway.leader_client import expect, for_caller, unexpected
from notcharch.gateway.outcome_delivery import OutcomeDelivery
from notcharch.gateway.stream_relay import StreamSink
from notcharch.platform.ports import EngineRequest, StreamEnd
from notcharch.table.interface import ServiceRow
from notcharch.values.chat import Answer, ChatMessage, TokenUsage
from notcharch.values.identifiers import (
    CallSequence,
    EngineName,
    Epoch,
    ProgramId,
    RequestId,
    TenantName,
)
from notcharch.wire.messages.engines import CallGranted
from notcharch.wire.messages.programs import (
    AdmitCall,
    AwaitAnswer,
    CallAdmitted,
    CallAnswered,
    CallFailed,
    CallInProgress,
    DispatchCall,
    DispatchRecorded,
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


@attrs.frozen(kw_only=True)
class CallOrder:
    """One call as its caller ordered it."""

    program: ProgramId
    tenant: TenantName
    sequence: CallSequence
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    repeatable: bool
    digest: str


class CallRun:
    """One call at this gateway, from its admission to its outcome."""

    def __init__(
        self,
        order: CallOrder,
        tools: CallTools,
        delivery: OutcomeDelivery,
        sink: StreamSink | None,
    ) -> None:
        """Run `order`; the bytes of its stream go to `sink`, if there is one."""
        self.order = order
        self._tools = tools
        self._delivery = delivery
        self._sink = sink
        self._core = CallLifeCore()
        self._life: CallLife = CallLifeMachine(self._core)
        self._admitted: CallAdmitted | None = None
        self._epoch: Epoch | None = None
        self._slot: Slot | None = None
        self._grant: CallGranted | None = None
        self._started_at = tools.clock.seconds()

    async def run(self) -> Result[Answer, Problem]:
        """Give the answer, stored by a majority, or the problem for the caller."""
        step = self._life.begin()
        try:
            while True:
                if isinstance(step, GiveAnswer):
                    return Ok(step.answer)
                if isinstance(step, GiveProblem):
                    return Err(for_caller(step.problem))
                step = await self._perform(step)
        finally:
            self._release(None, engine_failed=False)

    async def _perform(self, step: Step) -> Step:
        match step:
            case Admit():
                return await self._admit()
            case AwaitOther():
                return await self._await_other()
            case TakeSlot():
                return await self._take_slot()
            case Place(avoid):
                return await self._place(avoid)
            case OpenStream():
                return await self._stream()
            case CommitAnswer(answer):
                return await self._commit_answer(answer)
            case CommitFailure(problem):
                return await self._commit_failure(problem)
        raise TypeError(type(step).__name__)

    async def _admit(self) -> Step:
        order = self.order
        message = AdmitCall(
            program=order.program,
            tenant=order.tenant,
            sequence=order.sequence,
            body_digest=order.digest,
            messages=order.messages,
            max_tokens=order.max_tokens,
            repeatable=order.repeatable,
            gateway=self._tools.own_member,
        )
        reply = await self._tools.leader.ask(
            order.program,
            message,
            tries=ADMISSION_TRIES,
            timeout_seconds=ADMISSION_SECONDS,
        )
        if isinstance(reply, Err):
            return self._life.refused(reply.err_value)
        match reply.ok_value:
            case CallAdmitted() as admitted:
                self._admitted = admitted
                return self._life.admitted()
            case CallInProgress():
                return self._life.in_progress()
            case CallAnswered(_, answer):
                return self._life.answered(answer)
            case CallFailed(_, problem):
                return self._life.refused(problem)
        return self._life.refused(unexpected(reply.ok_value))

    async def _await_other(self) -> Step:
        order = self.order
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
        row = self._row()
        if row is None:
            return self._life.slot_refused(_no_row())
        result = await self._tools.slots.acquire(
            row.service, row.priority, row.max_wait_seconds
        )
        if isinstance(result, Err):
            return self._life.slot_refused(result.err_value)
        self._slot = result.ok_value
        return self._life.slot_taken()

    async def _place(self, avoid: frozenset[EngineName]) -> Step:
        row = self._row()
        if row is None:
            return self._life.placing_refused(_no_row())
        admitted = _without_prefix_on(self._current(), avoid)
        result = await self._tools.placer.place(admitted, row, self.order.max_tokens)
        if isinstance(result, Err):
            return self._life.placing_refused(result.err_value)
        self._grant = result.ok_value
        return await self._record_dispatch(result.ok_value)

    async def _record_dispatch(self, grant: CallGranted) -> Step:
        admitted = self._current()
        message = DispatchCall(
            admitted.program, admitted.sequence, admitted.attempt, grant.engine
        )
        reply = expect(
            await self._tools.leader.ask(
                admitted.program, message, tries=ADMISSION_TRIES
            ),
            DispatchRecorded,
        )
        if isinstance(reply, Err):
            return self._life.placing_refused(reply.err_value)
        self._epoch = reply.ok_value.epoch
        return self._life.placed(grant.engine)

    async def _stream(self) -> Step:
        grant, row = self._grant, self._row()
        if grant is None or row is None:
            return self._life.stream_lost(_no_row())
        self._tools.metrics.admission_seconds.observe(self._elapsed())
        sink = self._sink
        on_bytes = _discard if sink is None else sink.on_bytes
        stream = self._tools.engines.open_stream(
            grant.address, self._engine_request(row), on_bytes
        )
        if sink is not None:
            sink.attach(stream)
        result: Result[StreamEnd, Problem] = await stream.finished
        if sink is not None:
            sink.detach()
        if isinstance(result, Ok):
            self._release(result.ok_value.usage, engine_failed=False)
            return self._life.stream_ended(result.ok_value)
        self._release(None, engine_failed=True)
        return self._stream_lost(result.err_value)

    def _stream_lost(self, problem: Problem) -> Step:
        repeatable = self.order.repeatable
        if self._sink is not None:
            self._sink.stream_lost(problem)
        is_eligible = may_repeat(
            problem, repeatable=repeatable, attempts=self._core.attempts
        )
        if is_eligible and self._tools.retry_budget.take_retry():
            self._tools.metrics.repeated_attempts.inc()
            return self._life.stream_lost_for_now(problem)
        return self._life.stream_lost(
            problem_of_lost_stream(problem, repeatable=repeatable)
        )

    async def _commit_answer(self, answer: Answer) -> Step:
        result = await self._deliver(ANSWER_COMMIT_SECONDS, answer=answer)
        if isinstance(result, Ok):
            return self._life.committed()
        if result.err_value.is_code(ProblemCode.STALE_EPOCH):
            return self._life.superseded()
        return self._life.commit_failed(result.err_value)

    async def _commit_failure(self, problem: Problem) -> Step:
        self._release(None, engine_failed=False)
        result = await self._deliver(REFUSAL_COMMIT_SECONDS, problem=problem)
        if isinstance(result, Ok):
            if result.ok_value.problem is not None:
                self._core.problem = result.ok_value.problem
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
        admitted = self._current()
        outcome = FinishCall(
            program=admitted.program,
            sequence=admitted.sequence,
            attempt=admitted.attempt,
            answer=answer,
            problem=problem,
        )
        return await self._delivery.deliver(outcome, wait_seconds)

    def _engine_request(self, row: ServiceRow) -> EngineRequest:
        admitted = self._current()
        name = f"{admitted.program}/{admitted.sequence}/{admitted.attempt}"
        return EngineRequest(
            request_id=RequestId(name),
            pool=row.pool,
            program=admitted.program,
            epoch=self._epoch or admitted.epoch,
            priority=row.priority,
            messages=admitted.history + self.order.messages,
            max_tokens=self.order.max_tokens,
        )

    def _release(self, usage: TokenUsage | None, *, engine_failed: bool) -> None:
        grant, self._grant = self._grant, None
        if grant is not None:
            self._tools.placer.give_back(grant, usage, engine_failed)
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.release()

    def _row(self) -> ServiceRow | None:
        return self._tools.table.row(self._current().service)

    def _current(self) -> CallAdmitted:
        if self._admitted is None:
            raise RuntimeError("the call is not admitted")
        return self._admitted

    def _elapsed(self) -> float:
        return self._tools.clock.seconds() - self._started_at


def _discard(data: bytes) -> None:
    """Take bytes that no caller waits for."""


def _no_row() -> Problem:
    message = "the service has no row in the table any more"
    return Problem.of(ProblemCode.NOT_FOUND, message)


def _without_prefix_on(
    admitted: CallAdmitted, avoid: frozenset[EngineName]
) -> CallAdmitted:
    """Hide a prefix that lies on an engine which has just failed."""
    prefix = admitted.prefix
    if prefix is None or prefix.engine not in avoid:
        return admitted
    return msgspec.structs.replace(admitted, prefix=None)
