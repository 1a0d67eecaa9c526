"""The engines of one simulation: runs calls on the emulator's models."""

from collections.abc import Callable
from random import Random

import attrs
from result import Err

from emulator.engine.counters import EngineCounters, FillHistory
from emulator.engine.model import EngineModel
from emulator.engine.refusals import RefusalCode
from emulator.engine.runs import EngineRun, RunState
from emulator.virtual_clock import VirtualClock
from experiments.simulation.calls import Call, RunEnd
from experiments.simulation.measures import Measures, WorkSpan
from experiments.simulation.workload import (
    APPLICATION_POOL,
    MODEL_POOL,
    DepartureSection,
    Workload,
)
from notcharch.clients.ports import EngineRequest, MachineKind, MachineState
from notcharch.values.identifiers import EngineName, Epoch, PoolName, RequestId

LIST_LAG_SECONDS = 1.0
"""How late everybody learns from the machine list that an engine leaves."""

EPOCH = Epoch(1)
KINDS = {
    MODEL_POOL: MachineKind.MODEL_ENGINE,
    APPLICATION_POOL: MachineKind.APPLICATION_ENGINE,
}


@attrs.define(eq=False)
class _Run:
    """Listens to one engine's run of a call."""

    room: "EngineRoom"
    call: Call
    engine: EngineName
    first_seen: bool = False
    ended: bool = False

    def run_progressed(self, run: EngineRun) -> None:
        """Pass the first token and the end on."""
        if run.first_token_at is not None and not self.first_seen:
            self.first_seen = True
            self.call.listener.first_token(self.call, self.room.prefill_seconds(run))
        if run.ended and not self.ended:
            self.ended = True
            self.room.run_ended(self, run)

    def run_broken(self, run: EngineRun) -> None:
        """Take the loss of the run in an engine's restart."""
        if not self.ended:
            self.ended = True
            self.room.run_ended(self, run)


class EngineRoom:
    """Engines by name; whoever places calls hears of ended runs by `on_end`."""

    def __init__(
        self, clock: VirtualClock, workload: Workload, measures: Measures, seed: int
    ) -> None:
        """Build all engines, idle and empty."""
        self.clock = clock
        self.workload = workload
        self.on_end: Callable[[RunEnd], None] = _nothing
        self.on_state: Callable[[EngineName], None] = _nothing
        self.models: dict[EngineName, EngineModel] = {}
        self._measures = measures
        self._listed: dict[EngineName, bool] = {}
        self._pools: dict[str, list[EngineName]] = {
            MODEL_POOL: [],
            APPLICATION_POOL: [],
        }
        self._runs: dict[Call, tuple[EngineModel, EngineRun, _Run]] = {}
        self._numbers = 0
        for pool in self._pools:
            self._build(pool, Random(f"{seed}/engines/{pool}"))
        for departure in workload.departures:
            clock.callLater(departure.at, self._leave, departure)

    def engines_of(self, pool: str) -> list[EngineName]:
        """Give the pool's engines that the machine list shows as live."""
        return [name for name in self._pools[pool] if self._listed[name]]

    def is_listed(self, engine: EngineName) -> bool:
        """Tell whether the machine list shows the engine as live."""
        return self._listed[engine]

    def pool_counters(self, pool: str) -> list[EngineCounters]:
        """Give the counters of a pool's engines."""
        return [self.models[name].counters for name in self._pools[pool]]

    def start(
        self, call: Call, engine: EngineName, priority: int
    ) -> RefusalCode | None:
        """Run a call on an engine; gives why it refused, which has no effect."""
        self._numbers += 1
        service = call.state.service
        request = EngineRequest(
            RequestId(f"r{self._numbers}"),
            PoolName(service.pool),
            call.state.program,
            EPOCH,
            priority,
            call.messages,
            service.max_answer_tokens,
        )
        model = self.models[engine]
        submitted = model.submit(request)
        if isinstance(submitted, Err):
            return submitted.err_value.code
        listener = _Run(self, call, engine)
        run = submitted.ok_value
        self._runs[call] = (model, run, listener)
        model.attach(run, listener)
        return None

    def prefill_seconds(self, run: EngineRun) -> float:
        """Give the time that computing the run's prompt takes by itself."""
        rates = self.workload.rates_of(run.request.pool)
        computed = run.prompt_tokens - run.cached_tokens
        return computed / rates.prefill_tokens_per_second

    def detach(self, call: Call) -> None:
        """Close the caller's connection; the engine cancels its run later."""
        if call in self._runs:
            model, run, listener = self._runs.pop(call)
            model.detach(run, listener)

    def run_ended(self, listener: _Run, run: EngineRun) -> None:
        """Count the work done, and tell the policy, then the caller."""
        call = listener.call
        self._runs.pop(call, None)
        self._note_work(call, run)
        finished = run.state is RunState.FINISHED
        usage = run.usage if finished else None
        if usage is not None:
            call.state.holder = listener.engine
            call.state.held_tokens = usage.total_tokens
            call.state.tree.used_tokens += usage.total_tokens
        self.on_end(RunEnd(call, listener.engine, usage))
        if finished:
            call.listener.answered(call, run.answer.content)

    def _build(self, pool: str, chance: Random) -> None:
        fills = FillHistory()
        for number in range(1, self.workload.engines_of(pool) + 1):
            name = EngineName(f"{pool}-{number}")
            self.models[name] = EngineModel(
                self.clock,
                name,
                self.workload.rates_of(pool),
                chance,
                kind=KINDS[pool],
                pools=(PoolName(pool),),
                fills=fills,
                steps_per_report=None,
            )
            self._pools[pool].append(name)
            self._listed[name] = True

    def _note_work(self, call: Call, run: EngineRun) -> None:
        if run.first_token_at is None:
            return
        rates = self.workload.rates_of(call.state.service.pool)
        answer_token = rates.step_time(rates.slots, 0) / rates.slots
        work = self.prefill_seconds(run) + run.tokens * answer_token
        begun = call.granted_at if call.granted_at is not None else run.accepted_at
        self._measures.work.append(
            WorkSpan(call.state.service.name, begun, self.clock.seconds(), work)
        )

    def _leave(self, departure: DepartureSection) -> None:
        name = EngineName(departure.engine)
        model = self.models[name]
        model.leave()
        self.clock.callLater(LIST_LAG_SECONDS, self._list, name)
        self.clock.callLater(departure.gone_after, model.restart)
        self.clock.callLater(departure.back_after, self._come_back, name)

    def _come_back(self, name: EngineName) -> None:
        self.models[name].come_back()
        self.clock.callLater(LIST_LAG_SECONDS, self._list, name)

    def _list(self, name: EngineName) -> None:
        self._listed[name] = self.models[name].state is MachineState.LIVE
        self.on_state(name)


def _nothing(_: object) -> None:
    """Wait for the policy to be connected."""
