"""One attempt to run an admitted call: its slot, its engine grant and its stream.

The attempt releases the slot and the grant on every path.
"""

import attrs
import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from notcharch.clients.ports import EngineRequest, StreamEnd
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.call_outcome import is_engine_failure
from notcharch.gateway.call_spec import CallSpec
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
LEASE_EXPIRED_RETRY_SECONDS = 1.0


@attrs.frozen
class EarlyDispatch:
    """A dispatch whose record was requested before the engine is granted."""

    engine: EngineName
    recorded: "Deferred[Result[DispatchRecorded, Problem]]"


class EngineAttempt:
    """Runs an admitted call on one engine; each method is called once, in order."""

    def __init__(
        self,
        spec: CallSpec,
        admitted: CallAdmitted,
        tools: CallTools,
        sink: StreamSink | None,
    ) -> None:
        """Run `spec` as `admitted`; bytes go to `sink`, if any."""
        self.admitted = admitted
        self.was_opened = False
        """Whether an engine may have received the request."""

        self._spec = spec
        self._tools = tools
        self._sink = sink
        self._slot: Slot | None = None
        self._grant: CallGranted | None = None
        self._epoch: Epoch = admitted.epoch
        self._deadline = 0.0

    async def acquire_slot(self) -> Result[None, Problem]:
        """Acquire one of the service's concurrency slots."""
        row = self._row()
        if row is None:
            return Err(_no_row())
        self._deadline = self._tools.clock.seconds() + row.max_wait_seconds
        slot = await self._tools.slots.acquire(
            row.service, row.priority, row.max_wait_seconds
        )
        if isinstance(slot, Err):
            return Err(slot.err_value)
        self._slot = slot.ok_value
        return Ok(None)

    async def place(self, avoid: frozenset[EngineName]) -> Result[EngineName, Problem]:
        """Obtain the grant of an engine and record the dispatch."""
        row = self._row()
        if row is None:
            return Err(_no_row())
        admitted = _without_prefix_on(self.admitted, avoid)
        early = self._dispatch_early(admitted)
        remaining_seconds = max(0.0, self._deadline - self._tools.clock.seconds())
        granted = await self._tools.placer.place(
            admitted, row, self._spec.max_tokens, remaining_seconds, avoid
        )
        if isinstance(granted, Err):
            return Err(granted.err_value)
        self._grant = granted.ok_value
        recorded = await self._confirm_dispatch(granted.ok_value.engine, early)
        if isinstance(recorded, Err):
            return Err(recorded.err_value)
        if self._slot is None or not self._slot.may_start():
            return Err(_lease_expired())
        self._epoch = recorded.ok_value.epoch
        return Ok(granted.ok_value.engine)

    async def stream(self) -> Result[StreamEnd, Problem]:
        """Run the call on the granted engine, then release slot and grant."""
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
            is_fault = is_engine_failure(result.err_value)
            self.release(None, engine_failed=is_fault)
        return result

    def release(self, usage: TokenUsage | None, *, engine_failed: bool) -> None:
        """Release the grant and the slot, if held."""
        grant, self._grant = self._grant, None
        if grant is not None:
            self._tools.placer.return_grant(grant, usage, engine_failed)
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.release()

    def _dispatch_early(self, admitted: CallAdmitted) -> EarlyDispatch | None:
        """Record the dispatch to the engine with the prefix while placement runs.

        Only for repeatable calls: if this daemon crashed after the record, the
        leader could not tell whether the call ran.
        """
        if admitted.prefix is None or not self._spec.repeatable:
            return None
        engine = admitted.prefix.engine
        return EarlyDispatch(
            engine, Deferred.fromCoroutine(self._record_dispatch(engine))
        )

    async def _confirm_dispatch(
        self, engine: EngineName, early: EarlyDispatch | None
    ) -> Result[DispatchRecorded, Problem]:
        if early is not None:
            recorded = await early.recorded
            if early.engine == engine and isinstance(recorded, Ok):
                return recorded
        return await self._record_dispatch(engine)

    async def _record_dispatch(
        self, engine: EngineName
    ) -> Result[DispatchRecorded, Problem]:
        admitted = self.admitted
        message = DispatchCall(
            admitted.program, admitted.sequence, admitted.attempt, engine
        )
        reply = await self._tools.leader.request(
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
            messages=admitted.history + self._spec.messages,
            max_tokens=self._spec.max_tokens,
            parameters=self._spec.parameters,
        )

    def _row(self) -> ServiceRow | None:
        return self._tools.table.row(self.admitted.service)


def _discard(data: bytes) -> None:
    """Discard the bytes of a stream without a caller."""


def _no_row() -> Problem:
    message = "the service is no longer in the table"
    return Problem.of(ProblemCode.NOT_FOUND, message, ran=Ran.NO)


def _lease_expired() -> Problem:
    return Problem.of(
        ProblemCode.CONCURRENCY_EXHAUSTED,
        "the concurrency lease of the service expired while the call waited",
        retry_after=LEASE_EXPIRED_RETRY_SECONDS,
    )


def _without_prefix_on(
    admitted: CallAdmitted, avoid: frozenset[EngineName]
) -> CallAdmitted:
    """Drop the cached prefix if it is on an engine in `avoid`."""
    prefix = admitted.prefix
    if prefix is None or prefix.engine not in avoid:
        return admitted
    return msgspec.structs.replace(admitted, prefix=None)
