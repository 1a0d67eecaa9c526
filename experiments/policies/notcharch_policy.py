"""notcharch's own policy, whole or with a part switched off.

The dispatcher, the engine's choice, the stewards' queues, waits, refusals and the
cache map are those of the daemon. The leader is reduced to what scheduling needs of
it (budget, attained service, the prefix's holder) and a fixed time for its commits;
the service's slots are counted exactly instead of by leases.
"""

from collections import deque
from random import Random

import attrs
import msgspec
from twisted.internet.defer import Deferred

from emulator.engine.host import EngineHost
from emulator.memory import MemoryEnginePort
from emulator.memory_exchange import MemoryWay
from experiments.policies.in_process_stewards import (
    HOP_SECONDS,
    InProcessRouter,
    RoomDirectory,
    Steward,
)
from experiments.policies.variant import EFFECTIVELY_FOREVER_SECONDS, NotcharchVariant
from experiments.simulation.calls import Call, ProgramState, RunEnd
from experiments.simulation.engine_room import EPOCH, EngineRoom
from experiments.simulation.workload import ServiceSection
from notcharch.engines.dispatcher import Dispatcher
from notcharch.engines.prefix_mover import PrefixMover
from notcharch.scheduling.waits import SHORTEST_RETRY_SECONDS
from notcharch.settings.schema import EnginesSection
from notcharch.table.interface import ServiceRow
from notcharch.values.chat import PrefixLocation
from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    DaemonName,
    EngineName,
    Incarnation,
    Member,
    PoolName,
    ServiceName,
    TenantName,
)
from notcharch.wire.messages.engines import CallGranted
from notcharch.wire.messages.programs import CallAdmitted

COMMIT_SECONDS = 0.003
"""From a gateway to the leader, a majority of its replicas, and back."""

RELEASE_SECONDS = 0.005
NORMAL_PRIORITY = 5
GATEWAY = Member(DaemonName("daemon-1"), Incarnation(1))


@attrs.define(eq=False)
class _Slots:
    """A service's concurrency: calls in use, and those that wait in order."""

    free: int
    waiting: deque[Call] = attrs.field(factory=deque)


class NotcharchPolicy:
    """Places calls as notcharch's gateways and stewards do."""

    def __init__(self, room: EngineRoom, seed: int, variant: NotcharchVariant) -> None:
        """Build a steward for each engine."""
        self._room = room
        self._clock = room.clock
        self._variant = variant
        self._stewards = {
            name: Steward(room, name, variant.order) for name in room.models
        }
        directory = RoomDirectory(room)
        self._dispatcher = Dispatcher(
            router=InProcessRouter(room, self._stewards),
            directory=directory,
            own_member=GATEWAY,
            clock=room.clock,
            chance=Random(f"{seed}/dispatcher"),
            policy=variant.choice,
            mover=_mover(room, directory) if variant.moves else None,
        )
        self._slots = {
            service.name: _Slots(service.concurrency)
            for service in room.workload.services
        }
        self._rows = {s.name: self._row(s) for s in room.workload.services}
        self._grants: dict[Call, CallGranted] = {}
        self._attempts = 0
        room.on_state = self._learn_listed

    def start(self) -> None:
        """Begin to poll the engines."""
        for steward in self._stewards.values():
            steward.start()

    def submit(self, call: Call) -> None:
        """Admit a call, then take a slot of its service and place it."""
        self._clock.callLater(COMMIT_SECONDS, self._admit, call)

    def repeat(self, call: Call) -> bool:
        """Join the run of the same call."""
        return False

    def abandon(self, call: Call) -> None:
        """Let the call go on: a run belongs to no connection."""

    def program_ended(self, state: ProgramState) -> None:
        """Release the memory of a program."""
        if self._variant.release_at_end and state.holder is not None:
            self._clock.callLater(RELEASE_SECONDS, self._release, state)

    def run_ended(self, end: RunEnd) -> None:
        """Give grant and slot back; a lost call is placed again."""
        call = end.call
        self._dispatcher.give_back(self._grants.pop(call), end.usage, end.usage is None)
        if end.usage is None and not call.state.ended:
            self._place(call)
            return
        self._free_slot(call.state.service)
        if call.state.ended:
            self.program_ended(call.state)

    # Inside

    def _admit(self, call: Call) -> None:
        service = call.state.service
        wanted = call.prompt_tokens + service.max_answer_tokens
        if call.state.ended:
            return
        if call.state.tree.used_tokens + wanted > service.budget_tokens:
            call.listener.refused(call, None)
            return
        slots = self._slots[service.name]
        if slots.free:
            slots.free -= 1
            self._place(call)
            return
        slots.waiting.append(call)
        self._clock.callLater(service.max_wait_seconds, self._stop_waiting, call)

    def _stop_waiting(self, call: Call) -> None:
        waiting = self._slots[call.state.service.name].waiting
        if call in waiting:
            waiting.remove(call)
            call.listener.refused(call, SHORTEST_RETRY_SECONDS)

    def _free_slot(self, service: ServiceSection) -> None:
        slots = self._slots[service.name]
        slots.free += 1
        while slots.waiting and slots.free:
            call = slots.waiting.popleft()
            if not call.state.ended:
                slots.free -= 1
                self._place(call)

    def _place(self, call: Call) -> None:
        Deferred.fromCoroutine(self._placing(call))

    async def _placing(self, call: Call) -> None:
        service = call.state.service
        row = self._rows[service.name]
        give_up = service.max_wait_seconds - (self._clock.seconds() - call.sent_at)
        if not self._variant.early_refusal:
            give_up = EFFECTIVELY_FOREVER_SECONDS
        outcome = await self._dispatcher.place(
            self._admitted(call), row, service.max_answer_tokens, max(0.0, give_up)
        )
        if outcome.is_ok():
            self._clock.callLater(
                COMMIT_SECONDS, self._dispatch, call, outcome.unwrap()
            )
            return
        self._free_slot(service)
        if not call.state.ended:
            call.listener.refused(call, outcome.unwrap_err().retry_after)

    def _dispatch(self, call: Call, grant: CallGranted) -> None:
        """Run a call whose dispatch is committed; an ended program's is refused."""
        if call.state.ended:
            self._dispatcher.give_back(grant, None, False)
            self._free_slot(call.state.service)
            return
        call.granted_at = self._clock.seconds()
        row = self._rows[call.state.service.name]
        refusal = self._room.start(call, EngineName(grant.engine), row.priority)
        if refusal is None:
            self._grants[call] = grant
            return
        self._dispatcher.give_back(grant, None, False)
        self._free_slot(call.state.service)
        call.listener.refused(call, SHORTEST_RETRY_SECONDS)

    def _admitted(self, call: Call) -> CallAdmitted:
        self._attempts += 1
        state = call.state
        prefix = None
        if state.holder is not None and self._variant.locality:
            prefix = PrefixLocation(state.holder, state.held_tokens)
        return CallAdmitted(
            program=state.program,
            sequence=CallSequence(call.sequence),
            attempt=AttemptNumber(self._attempts),
            epoch=EPOCH,
            service=ServiceName(state.service.name),
            history=(),
            prompt_tokens=call.prompt_tokens,
            attained_tokens=state.tree.used_tokens,
            started_at=0.0,
            prefix=prefix,
        )

    def _row(self, service: ServiceSection) -> ServiceRow:
        row = ServiceRow(
            service=ServiceName(service.name),
            tenant=TenantName("tenant"),
            pool=PoolName(service.pool),
            share=service.share,
            priority=service.priority,
            max_answer_tokens=service.max_answer_tokens,
            max_wait_seconds=service.max_wait_seconds,
        )
        if not self._variant.shares:
            row = msgspec.structs.replace(row, share=1.0)
        if not self._variant.priority:
            row = msgspec.structs.replace(row, priority=NORMAL_PRIORITY)
        return row

    def _learn_listed(self, engine: EngineName) -> None:
        self._stewards[engine].learn_listed(self._room.is_listed(engine))

    def _release(self, state: ProgramState) -> None:
        for engine in self._room.engines_of(state.service.pool):
            self._room.models[engine].release(state.program, EPOCH)
            self._stewards[engine].cache.set_tokens(state.program, 0)


def _mover(room: EngineRoom, directory: RoomDirectory) -> PrefixMover:
    way = MemoryWay(room.clock, HOP_SECONDS, renders_tokens=False)
    hosts = {str(name): EngineHost(model) for name, model in room.models.items()}
    rate = EnginesSection().move_tokens_per_second
    return PrefixMover(directory, MemoryEnginePort(way, hosts), room.clock, rate)
