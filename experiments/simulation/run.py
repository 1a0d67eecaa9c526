"""Runs one cell: a workload at a load under a policy with a seed.

The same four give the same figures to the last digit: time is virtual, and every
draw comes from a generator that is seeded by the seed and the drawn thing's name.
The programs and their arrivals do not depend on the policy.
"""

import time
from collections.abc import Callable
from random import Random

import msgspec

from emulator.engine.counters import EngineCounters
from emulator.virtual_clock import VirtualClock
from experiments.policies.catalogue import POLICIES
from experiments.simulation.caller import Caller, Surroundings
from experiments.simulation.calls import ProgramTree
from experiments.simulation.engine_room import EngineRoom
from experiments.simulation.measures import (
    Measures,
    ServiceFigures,
    service_figures,
    shares_received,
)
from experiments.simulation.programs import draw_program, programs_per_second
from experiments.simulation.workload import (
    MODEL_POOL,
    ServiceSection,
    Workload,
)
from notcharch.values.identifiers import ProgramId

BURST = "burst"
"""The name of the load that has a burst in it."""

ALL = "all"
"""Under this name stand all services of the model pool that neither flood nor loop."""

SLICE_SECONDS = 10.0


class CellName(msgspec.Struct, frozen=True):
    """What is run: names of the workload, load (a fraction or `burst`), policy."""

    workload: str
    load: str
    policy: str
    seed: int


class CacheFigures(msgspec.Struct, frozen=True):
    """Tokens over all model engines; see emulator/engine/counters.py."""

    prefilled: int
    spared: int
    evicted_unused: int
    refilled: int
    released_unused: int
    lost_unused: int

    @property
    def wasted(self) -> int:
        """Tokens evicted unused, or filled though they had been filled before."""
        return self.evicted_unused + self.refilled

    @property
    def wasted_or_released(self) -> int:
        """The same with what ended programs gave back unused, too."""
        return self.wasted + self.released_unused


class CellFigures(msgspec.Struct, frozen=True):
    """All figures of one cell. `complete`: not cut short by the limit of time."""

    name: CellName
    services: dict[str, ServiceFigures]
    cache: CacheFigures
    wrong_answers: int
    complete: bool


Progress = Callable[[float], None]
"""Hears what part of the virtual time has passed."""


def run_cell(
    workload: Workload,
    name: CellName,
    *,
    most_real_seconds: float = 600.0,
    progress: Progress = lambda part: None,
) -> CellFigures:
    """Run one cell to its end, or to the limit of real time."""
    return _Simulation(workload, name).run(most_real_seconds, progress)


class _Simulation:
    """One running cell."""

    def __init__(self, workload: Workload, name: CellName) -> None:
        self._workload = workload
        self._name = name
        self._clock = VirtualClock()
        self._measures = Measures()
        self._room = EngineRoom(self._clock, workload, self._measures, name.seed)
        self._policy = POLICIES[name.policy].build(self._room, name.seed)
        self._room.on_end = self._policy.run_ended
        self._open: dict[ProgramId, Caller] = {}
        self._around = Surroundings(
            self._clock,
            workload,
            self._policy,
            self._measures,
            self._open,
            workload.run.arrival_seconds,
        )

    def run(self, most_real_seconds: float, progress: Progress) -> CellFigures:
        self._policy.start()
        for service in self._workload.services:
            self._begin_endless(service)
            self._schedule_arrivals(service)
        complete = self._let_time_pass(most_real_seconds, progress)
        for caller in self._open.values():
            caller.cut_off()
        return self._figures(complete)

    def _let_time_pass(self, most_real_seconds: float, progress: Progress) -> bool:
        run = self._workload.run
        end = run.arrival_seconds + run.drain_seconds
        real_end = time.monotonic() + most_real_seconds
        while self._clock.seconds() < end:
            if self._clock.seconds() >= run.arrival_seconds and not self._open:
                return True
            if time.monotonic() > real_end:
                return False
            self._clock.advance(SLICE_SECONDS)
            progress(self._clock.seconds() / end)
        return True

    def _begin_endless(self, service: ServiceSection) -> None:
        for number in range(service.endless_programs):
            chance = Random(f"{self._name.seed}/{service.name}/endless/{number}")
            self._clock.callLater(
                1.0 + number, self._begin, service, chance, -1 - number
            )

    def _schedule_arrivals(self, service: ServiceSection) -> None:
        rate = programs_per_second(service, self._workload, self._base_load())
        if rate <= 0:
            return
        chance = Random(f"{self._name.seed}/{service.name}/arrivals")
        peak = max(self._factor(service, at) for at in self._changes(service))
        at, number = 0.0, 0
        while (at := at + chance.expovariate(rate * peak)) < self._around.arrivals_end:
            if chance.random() * peak > self._factor(service, at):
                continue
            number += 1
            seeded = Random(f"{self._name.seed}/{service.name}/{number}")
            self._clock.callLater(at, self._begin, service, seeded, number)

    def _base_load(self) -> float:
        if self._name.load == BURST:
            return self._workload.burst.base_load
        return float(self._name.load)

    def _changes(self, service: ServiceSection) -> tuple[float, ...]:
        return 0.0, self._workload.burst.begin, service.flood_begin

    def _factor(self, service: ServiceSection, at: float) -> float:
        """Give by how much arrivals are multiplied at a time."""
        burst = self._workload.burst
        factor = 1.0
        if 0 <= at - service.flood_begin < service.flood_seconds:
            factor *= service.flood_factor
        if self._name.load == BURST and 0 <= at - burst.begin < burst.seconds:
            factor *= burst.factor
        return factor

    def _begin(self, service: ServiceSection, chance: Random, number: int) -> None:
        program = ProgramId(f"{service.name}-{number}")
        warm = self._clock.seconds() >= self._workload.run.warm_up_seconds
        caller = Caller(
            self._around,
            program,
            draw_program(service, chance),
            ProgramTree(),
            chance,
            measured=warm,
            on_end=_nothing,
        )
        self._open[program] = caller
        caller.begin()

    def _figures(self, complete: bool) -> CellFigures:
        services: dict[str, ServiceFigures] = {}
        pools: dict[str, list[ServiceSection]] = {}
        for service in self._workload.services:
            pools.setdefault(service.pool, []).append(service)
        received: dict[str, float | None] = {}
        for members in pools.values():
            shares = {service.name: service.share for service in members}
            until = self._workload.run.arrival_seconds
            received |= shares_received(self._measures, shares, until)
        for service in self._workload.services:
            services[service.name] = service_figures(
                self._measures, (service.name,), received[service.name]
            )
        names = [s.name for s in pools[MODEL_POOL] if s.is_well_behaved()]
        services[ALL] = service_figures(self._measures, names, None)
        return CellFigures(
            self._name,
            services,
            _cache_figures(self._room.pool_counters(MODEL_POOL)),
            self._measures.wrong_answers,
            complete,
        )


def _cache_figures(counters: list[EngineCounters]) -> CacheFigures:
    return CacheFigures(
        prefilled=sum(c.tokens_prefilled for c in counters),
        spared=sum(c.tokens_cached for c in counters),
        evicted_unused=sum(c.tokens_evicted_unused for c in counters),
        refilled=sum(c.tokens_refilled for c in counters),
        released_unused=sum(c.tokens_released_unused for c in counters),
        lost_unused=sum(c.tokens_lost_unused for c in counters),
    )


def _nothing() -> None:
    """Await nothing: root programs have no parent."""
