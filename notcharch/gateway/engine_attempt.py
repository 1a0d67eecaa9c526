"""One attempt at an admitted call: its slot, its engine, its stream.

The attempt holds a slot and a grant only while it needs them, and gives both
back however it ends.
"""

import attrs
import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from notcharch.clients.ports import EngineRequest, StreamEnd
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.call_order import CallOrder
from notcharch.gateway.call_outcome import is_fault_of_engine
from notcharch.gateway.call_tools import CallTools, Slot
from notcharch.gateway.leader_client import expect
from notcharch.gateway.stream_relay import StreamSink
from notcharch.table.interface import ServiceRow
from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import EngineName, Epoch, RequestId
from notcharch.wire.messages.engines import CallGranted
from notcharch.wire.messages.programs import (
    CallAdmitted,
    DispatchCall,
    DispatchRecorded,
)

DISPATCH_TRIES = 3
LAPSED_RETRY_SECONDS = 1.0


@attrs.frozen
class EarlyDispatch:
    """A dispatch that is being recorded before the engine is granted."""

    engine: EngineName
    recorded: "Deferred[Result[DispatchRecorded, Problem]]"


class EngineAttempt:
    """Runs an admitted call on one engine; used once, method by method."""

    def __init__(
        self,
        order: CallOrder,
        admitted: CallAdmitted,
        tools: CallTools,
        sink: StreamSink | None,
    ) -> None:
        """Run `order` as `admitted`; bytes go to `sink`, if there is one."""
        self.admitted = admitted
        self.was_opened = False
        """Whether an engine may have got the request."""

        self._order = order
        self._tools = tools
        self._sink = sink
        self._slot: Slot | None = None
        self._grant: CallGranted | None = None
        self._epoch: Epoch = admitted.epoch
        self._give_up_at = 0.0

    async def take_slot(self) -> Result[None, Problem]:
        """Take one of the service's concurrency slots."""
        row = self._row()
        if row is None:
            return Err(_no_row())
        self._give_up_at = self._tools.clock.seconds() + row.max_wait_seconds
        slot = await self._tools.slots.acquire(
            row.service, row.priority, row.max_wait_seconds
        )
        if isinstance(slot, Err):
            return Err(slot.err_value)
        self._slot = slot.ok_value
        return Ok(None)

    async def place(self, avoid: frozenset[EngineName]) -> Result[EngineName, Problem]:
        """Get the grant of an engine, and have the dispatch recorded."""
        row = self._row()
        if row is None:
            return Err(_no_row())
        admitted = _without_prefix_on(self.admitted, avoid)
        early = self._dispatch_early(admitted)
        left = max(0.0, self._give_up_at - self._tools.clock.seconds())
        granted = await self._tools.placer.place(
            admitted, row, self._order.max_tokens, left, avoid
        )
        if isinstance(granted, Err):
            return Err(granted.err_value)
        self._grant = granted.ok_value
        recorded = await self._dispatched(granted.ok_value.engine, early)
        if isinstance(recorded, Err):
            return Err(recorded.err_value)
        if self._slot is None or not self._slot.may_start():
            return Err(_lease_lapsed())
        self._epoch = recorded.ok_value.epoch
        return Ok(granted.ok_value.engine)

    async def stream(self) -> Result[StreamEnd, Problem]:
        """Run the call on the granted engine; the end gives slot and grant back."""
        grant, row = self._grant, self._row()
        if grant is None or row is None:
            return Err(_no_row())
        self.was_opened = True
        sink = self._sink
        stream = self._tools.engines.open_stream(
            grant.address,
            self._engine_request(row),
            _discard if sink is None else sink.on_bytes,
        )
        if sink is not None:
            sink.attach(stream)
        result: Result[StreamEnd, Problem] = await stream.finished
        if sink is not None:
            sink.detach()
        if isinstance(result, Ok):
            self.release(result.ok_value.usage, engine_failed=False)
        else:
            is_fault = is_fault_of_engine(result.err_value)
            self.release(None, engine_failed=is_fault)
        return result

    def release(self, usage: TokenUsage | None, *, engine_failed: bool) -> None:
        """Give back the grant and the slot, whichever are held."""
        grant, self._grant = self._grant, None
        if grant is not None:
            self._tools.placer.return_grant(grant, usage, engine_failed)
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.release()

    def _dispatch_early(self, admitted: CallAdmitted) -> EarlyDispatch | None:
        """Record the expected engine while the call is still being placed.

        Not for an unrepeatable call: were this daemon to die meanwhile, nobody
        could tell any more that it certainly did not run.
        """
        if admitted.prefix is None or not self._order.repeatable:
            return None
        engine = admitted.prefix.engine
        return EarlyDispatch(engine, Deferred.fromCoroutine(self._dispatch(engine)))

    async def _dispatched(
        self, engine: EngineName, early: EarlyDispatch | None
    ) -> Result[DispatchRecorded, Problem]:
        if early is not None:
            recorded = await early.recorded
            if early.engine == engine and isinstance(recorded, Ok):
                return recorded
        return await self._dispatch(engine)

    async def _dispatch(self, engine: EngineName) -> Result[DispatchRecorded, Problem]:
        admitted = self.admitted
        message = DispatchCall(
            admitted.program, admitted.sequence, admitted.attempt, engine
        )
        reply = await self._tools.leader.ask(
            admitted.program, message, tries=DISPATCH_TRIES
        )
        return expect(reply, DispatchRecorded)

    def _engine_request(self, row: ServiceRow) -> EngineRequest:
        admitted = self.admitted
        name = f"{admitted.program}/{admitted.sequence}/{admitted.attempt}"
        return EngineRequest(
            request_id=RequestId(name),
            pool=row.pool,
            program=admitted.program,
            epoch=self._epoch,
            priority=row.priority,
            messages=admitted.history + self._order.messages,
            max_tokens=self._order.max_tokens,
            parameters=self._order.parameters,
        )

    def _row(self) -> ServiceRow | None:
        return self._tools.table.row(self.admitted.service)


def _discard(data: bytes) -> None:
    """Take bytes that no caller waits for."""


def _no_row() -> Problem:
    message = "the service has no row in the table any more"
    return Problem.of(ProblemCode.NOT_FOUND, message, ran=Ran.NO)


def _lease_lapsed() -> Problem:
    return Problem.of(
        ProblemCode.CONCURRENCY_EXHAUSTED,
        "the lease of the service's concurrency lapsed while the call waited",
        retry_after=LAPSED_RETRY_SECONDS,
    )


def _without_prefix_on(
    admitted: CallAdmitted, avoid: frozenset[EngineName]
) -> CallAdmitted:
    """Hide a prefix that lies on an engine which has just failed."""
    prefix = admitted.prefix
    if prefix is None or prefix.engine not in avoid:
        return admitted
    return msgspec.structs.replace(admitted, prefix=None)
