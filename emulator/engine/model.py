"""One engine on a clock: it accepts requests, steps its batch and keeps its cache."""

from collections.abc import Callable
from random import Random

from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime

from emulator.engine.answers import plan_answer
from emulator.engine.batch import Batch, BatchChange
from emulator.engine.cache_events import CacheEventLog
from emulator.engine.counters import EngineCounters, FillHistory
from emulator.engine.load_report import LaggingLoad
from emulator.engine.orders import EngineOrders
from emulator.engine.prefix_cache import PrefixCache, PrefixChain, prefix_chain
from emulator.engine.rates import EngineRates
from emulator.engine.refusals import EngineRefusal, RefusalCode
from emulator.engine.run_memory import RunMemory
from emulator.engine.run_registry import ProgramEpochs, RunRegistry
from emulator.engine.runs import EngineRun, RunListener, RunState, RunStatus
from emulator.engine.stepper import Stepper
from emulator.engine.transfers import CacheTransfers
from notcharch.clients.ports import (
    CachedProgram,
    CacheEventKind,
    CacheEvents,
    EngineLoad,
    EngineRequest,
    MachineKind,
    MachineState,
)
from notcharch.values.identifiers import (
    EngineName,
    Epoch,
    PoolName,
    ProgramId,
    RequestId,
)

DRAINING_RETRY_SECONDS = 1.0


class EngineModel:
    """A model engine, or an application engine when its rates have no blocks.

    Everything that it refuses has had no effect.
    """

    def __init__(
        self,
        clock: IReactorTime,
        name: EngineName,
        rates: EngineRates,
        random: Random,
        *,
        kind: MachineKind = MachineKind.MODEL_ENGINE,
        pools: tuple[PoolName, ...] = (),
        fills: FillHistory | None = None,
        steps_per_report: int | None = None,
    ) -> None:
        """Begin idle, with an empty cache.

        No `pools` means that any model is served. Engines that share `fills` count
        a prefix filled again on another of them as refilled. `steps_per_report` is
        how many steps may pass between reports to readers: 1 for each; None for the
        first token and the end only, which is exact in time and fast to simulate.
        """
        self.clock = clock
        self.name = name
        self.rates = rates
        self.kind = kind
        self.state = MachineState.LIVE
        self.counters = EngineCounters()
        self.side_effects: dict[RequestId, ProgramId] = {}
        fills = fills or FillHistory()
        self.events = CacheEventLog(
            rates.cache_event_delay_seconds, rates.cache_event_loss, random
        )
        self.cache = PrefixCache(
            rates.total_blocks,
            rates.block_tokens,
            self.counters,
            fills,
            self._on_cache_event,
        )
        self._memory = RunMemory(self.cache, fills, self.counters)
        self.batch = Batch(rates, self.counters, self._memory.take)
        self.on_change: Callable[[], None] = _nothing
        """Called when the state or the pools that the machine list shows change."""

        self.orders = EngineOrders(clock, rates, pools)
        self.orders.on_change = self._state_changed
        self.transfers = CacheTransfers(clock, rates, self.cache, self.counters)
        self.lagging_load = LaggingLoad(rates.load_refresh_seconds, self._measure_load)
        self._stepper = Stepper(
            clock,
            self.batch,
            steps_per_report,
            self.lagging_load.before_change,
            self._on_change,
        )
        self._reports_each_plan = steps_per_report is not None
        self._left_at: float | None = None
        self._runs = RunRegistry(rates.resume_seconds)
        self._epochs = ProgramEpochs()
        self._order_count = 0

    # Requests

    def submit(self, request: EngineRequest) -> Result[EngineRun, EngineRefusal]:
        """Accept a request, or refuse it without any effect."""
        now = self.clock.seconds()
        self.lagging_load.before_change(now)
        chain = prefix_chain(request.messages)
        refusal = self._refusal_of(request, chain)
        if refusal is not None:
            return Err(refusal)
        run = self._accepted(request, chain, now)
        self.batch.waiting.add(run)
        if self.batch.running < self.rates.slots:
            self._stepper.batch_changed()
        return Ok(run)

    def find(self, request_id: RequestId) -> EngineRun | None:
        """Give a run whose stream can still be read."""
        return self._runs.find(request_id, self.clock.seconds())

    def status(self, request_id: RequestId) -> RunStatus:
        """Say how far a request is."""
        run = self.find(request_id)
        return run.status if run else RunStatus(RunState.UNKNOWN, 0)

    def cancel(self, request_id: RequestId) -> RunStatus:
        """Cancel a request; an ended one stays as it is."""
        run = self.find(request_id)
        if run is None:
            return RunStatus(RunState.UNKNOWN, 0)
        if not run.ended:
            self._cancel(run)
        return run.status

    def attach(self, run: EngineRun, listener: RunListener) -> None:
        """Add a reader of a run's stream."""
        if run.abandonment is not None:
            run.abandonment.cancel()
            run.abandonment = None
        run.listeners.append(listener)

    def detach(self, run: EngineRun, listener: RunListener) -> None:
        """Take away a reader; without any, the run is cancelled after a while."""
        if listener in run.listeners:
            run.listeners.remove(listener)
        if not run.listeners and not run.ended and run.abandonment is None:
            run.abandonment = self.clock.callLater(
                self.rates.resume_seconds, self._abandon, run
            )

    def break_streams(self) -> None:
        """Cut the connections of all readers, as a network fault does."""
        for run in self._runs.all():
            for listener in tuple(run.listeners):
                self.detach(run, listener)
                listener.run_broken(run)

    # Reports and cache

    def load(self) -> EngineLoad:
        """Give the lagging load report."""
        return self.lagging_load.read(self.clock.seconds())

    def cache_events(self, after: int, limit: int) -> CacheEvents:
        """Give the cache events that have come out so far."""
        return self.events.read(self.clock.seconds(), after, limit)

    def cached_programs(self) -> tuple[CachedProgram, ...]:
        """Give the truth of what is held."""
        return self.cache.programs()

    def release(self, program: ProgramId, epoch: Epoch) -> Result[int, EngineRefusal]:
        """Free a program's memory; gives the blocks freed now."""
        self.lagging_load.before_change(self.clock.seconds())
        stale = self._check_epoch(program, epoch)
        if stale is not None:
            return Err(stale)
        return Ok(self.cache.release(program))

    # Life

    def restart(self) -> None:
        """Clear all state: requests, cache, epochs, events."""
        runs = self._runs.all()
        self._stepper.batch_changed()
        self._stepper.drop()
        self.batch.clear()
        self.cache.lose_everything()
        self.events.forget()
        self._runs.clear()
        self._epochs.clear()
        self.transfers.forget()
        for run in runs:
            self._lose(run)
        self.orders.forget()

    def leave(self) -> None:
        """Announce that the engine goes; it still accepts, and counts that."""
        self.lagging_load.before_change(self.clock.seconds())
        self.state = MachineState.LEAVING
        self._left_at = self.clock.seconds()
        self.on_change()

    def come_back(self) -> None:
        """Take the announcement back."""
        self.lagging_load.before_change(self.clock.seconds())
        self.state = MachineState.LIVE
        self._left_at = None
        self.on_change()

    def set_slowdown(self, factor: float) -> None:
        """Multiply the duration of each further step by a factor."""
        self.batch.slowdown = factor
        self._stepper.batch_changed()

    def stall(self, stalled: bool) -> None:
        """Stop all progress, or go on."""
        self._stepper.stall(stalled)

    # Inside

    def _refusal_of(
        self, request: EngineRequest, chain: PrefixChain
    ) -> EngineRefusal | None:
        if not chain:
            return EngineRefusal(RefusalCode.BAD_REQUEST, "messages are missing")
        if self.orders.pools and request.pool not in self.orders.pools:
            return EngineRefusal(RefusalCode.UNKNOWN_MODEL, f"{request.pool} not here")
        if not self._memory.fits(chain[-1].tokens, request.max_tokens):
            return EngineRefusal(RefusalCode.CONTEXT_TOO_LONG, "prompt is too long")
        if self._runs.knows(request.request_id):
            self.counters.refused_duplicate += 1
            return EngineRefusal(RefusalCode.DUPLICATE_REQUEST, "known request_id")
        if self.orders.drained:
            return EngineRefusal(
                RefusalCode.DRAINING, "engine is drained", DRAINING_RETRY_SECONDS
            )
        return self._check_epoch(request.program, request.epoch)

    def _check_epoch(self, program: ProgramId, epoch: Epoch) -> EngineRefusal | None:
        stale = self._epochs.check(program, epoch)
        if stale is not None:
            self.counters.refused_stale_epoch += 1
        return stale

    def _accepted(
        self, request: EngineRequest, chain: PrefixChain, now: float
    ) -> EngineRun:
        self._order_count += 1
        run = EngineRun(
            request,
            plan_answer(request.messages, request.max_tokens),
            self._order_count,
            chain,
            chain[-1].tokens,
            now,
        )
        self._runs.add(run)
        self._count_accepted(request, now)
        return run

    def _count_accepted(self, request: EngineRequest, now: float) -> None:
        self.counters.requests_accepted += 1
        if self.kind is MachineKind.APPLICATION_ENGINE:
            self.counters.side_effects += 1
            self.side_effects[request.request_id] = request.program
        if self._left_at is not None:
            self.counters.requests_accepted_leaving += 1
            self.counters.last_accepted_leaving_seconds = max(
                self.counters.last_accepted_leaving_seconds, now - self._left_at
            )

    def _on_change(self, change: BatchChange, now: float) -> None:
        for run in change.first_tokens:
            run.first_token_at = now
        for run in change.finished:
            self._finish(run, now)
        self._stepper.begin(now)
        self._report(change)

    def _report(self, change: BatchChange) -> None:
        progressed = change.first_tokens
        if self._reports_each_plan:
            progressed = self.batch.decoding_runs()
            for run in progressed:
                run.tokens = self.batch.tokens_of(run)
        for run in (*progressed, *change.finished):
            run.tell_listeners()

    def _finish(self, run: EngineRun, now: float) -> None:
        run.state = RunState.FINISHED
        self.counters.requests_finished += 1
        self._end(run, now)

    def _cancel(self, run: EngineRun) -> None:
        now = self.clock.seconds()
        self.lagging_load.before_change(now)
        self._stepper.batch_changed()
        self.batch.remove(run)
        run.state = RunState.CANCELLED
        self.counters.requests_cancelled += 1
        self._end(run, now)
        run.tell_listeners()

    def _end(self, run: EngineRun, now: float) -> None:
        run.ended_at = now
        self._stop_abandonment(run)
        self._memory.give_back(run)
        self._runs.ended(run, now)

    def _lose(self, run: EngineRun) -> None:
        self._stop_abandonment(run)
        if not run.ended:
            run.state = RunState.CANCELLED
            run.hold = None
            self.counters.requests_lost += 1
        listeners, run.listeners = run.listeners, []
        for listener in listeners:
            listener.run_broken(run)

    def _abandon(self, run: EngineRun) -> None:
        run.abandonment = None
        if not run.ended:
            self._cancel(run)

    def _stop_abandonment(self, run: EngineRun) -> None:
        if run.abandonment is not None:
            run.abandonment.cancel()
            run.abandonment = None

    def _state_changed(self) -> None:
        self.on_change()

    def _on_cache_event(
        self, kind: CacheEventKind, program: ProgramId, tokens: int
    ) -> None:
        self.events.add(self.clock.seconds(), kind, program, tokens)

    def _measure_load(self, sequence: int, measured_at: float) -> EngineLoad:
        step = self.rates.step_time(max(1, self.batch.running), 0)
        return EngineLoad(
            sequence,
            measured_at,
            self.batch.running,
            len(self.batch.waiting),
            self.rates.slots,
            self.cache.free_blocks,
            self.cache.total_blocks,
            self.rates.block_tokens,
            self.rates.prefill_tokens_per_second / self.batch.slowdown,
            step * self.batch.slowdown,
            MachineState.LEAVING if self.orders.drained else self.state,
        )


def _nothing() -> None:
    """Ignore a change."""
