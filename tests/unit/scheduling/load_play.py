"""A service played without a network: daemons choose engines, calls run in slots."""

import heapq
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from notcharch.scheduling.engine_routing import (
    CallRouting,
    EngineRouting,
    RoutingPolicy,
)
from notcharch.scheduling.expected_seconds import (
    CallNeeds,
    LoadedEngine,
    choose_by_cost,
    engine_costs,
)
from notcharch.scheduling.nearness import Distance, Nearness

NOMINAL_INTERVAL_SECONDS = 0.008
MEAN_EVENTS = 18.0
SECONDS_PER_TOKEN = 1e-5
PROMPT_TOKENS = 2000
CALLS_PER_PROGRAM = 5
NOTICE_SECONDS = 0.002
"""From a daemon's decision until trackers count the call."""


@dataclass
class PlayedEngine:
    """An engine with slots and a queue; also an option of today's routing."""

    id: str
    speed: float
    slots: int = 6
    zone: str = "z"
    present: int = 0
    times: list[float] = field(default_factory=lambda: [-1.0])
    counts: list[int] = field(default_factory=lambda: [0])
    free_at: list[float] = field(default_factory=list)

    @property
    def interval(self) -> float:
        return NOMINAL_INTERVAL_SECONDS / self.speed

    def change(self, now: float, by: int) -> None:
        self.present += by
        self.times.append(now)
        self.counts.append(self.present)

    def seen(self, at: float) -> int:
        return self.counts[bisect_right(self.times, at) - 1]


@dataclass(frozen=True)
class OwnView:
    """An engine as one daemon counts it."""

    id: str
    zone: str
    slots: int
    in_flight: int
    run_seconds: float


@dataclass
class Results:
    calls: int = 0
    beside_free: int = 0
    """Met a full engine while another was at most half full."""
    chosen_seconds: float = 0.0
    best_seconds: float = 0.0
    real_seconds: float = 0.0
    by_engine: Counter = field(default_factory=Counter)

    @property
    def share_beside_free(self) -> float:
        return self.beside_free / self.calls

    @property
    def cost_ratio(self) -> float:
        return self.chosen_seconds / self.best_seconds


Chooser = Callable[["Play", int, str], str]


class Play:
    """Poisson arrivals at daemons; programs return to the daemon with their next call."""

    def __init__(self, speeds, daemons: int, load: float, seed: int) -> None:
        self.random = Random(seed)
        self.engines = [
            PlayedEngine(f"e{number}", speed) for number, speed in enumerate(speeds)
        ]
        self.by_id = {engine.id: engine for engine in self.engines}
        self.daemons = daemons
        self.own: list[Counter] = [Counter() for _ in range(daemons)]
        per_second = sum(
            engine.slots / (engine.interval * MEAN_EVENTS) for engine in self.engines
        )
        self.programs_per_second = load * per_second / CALLS_PER_PROGRAM
        self.now = 0.0
        self.results = Results()
        self.routing = EngineRouting(RoutingPolicy(), Nearness("z"), self.random)
        self._queue: list = []
        self._number = 0

    def at(self, when: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._queue, (when, self._number, action))

    def run(self, seconds: float, choose: Chooser) -> Results:
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(self.programs_per_second)
            daemon = self.random.randrange(self.daemons)
            self.at(at, lambda d=daemon: self._call(d, "", CALLS_PER_PROGRAM, choose))
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return self.results

    def _call(self, daemon: int, cached: str, left: int, choose: Chooser) -> None:
        chosen = self.by_id[choose(self, daemon, cached)]
        self._record(chosen, cached)
        self.own[daemon][chosen.id] += 1
        chosen.change(self.now, 1)
        events = max(1.0, self.random.lognormvariate(2.6, 0.75))
        reading = 0.0 if chosen.id == cached else PROMPT_TOKENS * SECONDS_PER_TOKEN
        run = events * chosen.interval + reading
        begin = self.now
        if len(chosen.free_at) >= chosen.slots:
            begin = max(begin, heapq.heappop(chosen.free_at))
        end = begin + run
        heapq.heappush(chosen.free_at, end)
        self.results.real_seconds += end - self.now
        self.at(end, lambda: self._end(daemon, chosen, left, choose))

    def _end(self, daemon: int, engine: PlayedEngine, left: int, choose) -> None:
        engine.change(self.now, -1)
        self.own[daemon][engine.id] -= 1
        if left > 1:
            again = self.now + self.random.expovariate(20.0)
            self.at(again, lambda: self._call(daemon, engine.id, left - 1, choose))

    def _record(self, chosen: PlayedEngine, cached: str) -> None:
        results = self.results
        results.calls += 1
        results.by_engine[chosen.id] += 1
        half_free = any(
            engine.present <= engine.slots / 2
            for engine in self.engines
            if engine is not chosen
        )
        results.beside_free += chosen.present >= chosen.slots and half_free
        costs = engine_costs(self.views(self.now), needs(cached))
        by_id = {cost.engine.id: cost.seconds for cost in costs}
        results.chosen_seconds += by_id[chosen.id]
        results.best_seconds += min(by_id.values())

    def views(self, at: float, own: Counter | None = None) -> list[LoadedEngine]:
        return [
            LoadedEngine(
                engine.id,
                engine.slots,
                max(engine.seen(at), own[engine.id] if own else 0),
                engine.interval,
                Distance.SAME_ZONE,
            )
            for engine in self.engines
        ]


def needs(cached: str) -> CallNeeds:
    return CallNeeds(cached, PROMPT_TOKENS, SECONDS_PER_TOKEN, MEAN_EVENTS)


def by_shared_load(max_age_seconds: float) -> Chooser:
    """Choose by loads of an age up to this."""

    def choose(play: Play, daemon: int, cached: str) -> str:
        age = NOTICE_SECONDS + play.random.random() * max_age_seconds
        views = play.views(play.now - age, play.own[daemon])
        return choose_by_cost(views, needs(cached), play.random).chosen.engine.id

    return choose


def by_own_counts(play: Play, daemon: int, cached: str) -> str:
    """Choose as without shared loads."""
    options = [
        OwnView(
            engine.id,
            engine.zone,
            engine.slots,
            play.own[daemon][engine.id],
            engine.interval * MEAN_EVENTS,
        )
        for engine in play.engines
    ]
    key = f"{play.random.random()}"
    return play.routing.choose(options, CallRouting(key, cached)).id
