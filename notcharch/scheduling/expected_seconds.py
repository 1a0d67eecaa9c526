"""The expected seconds of a call at each engine, and the choice by them. Pure.

Used where the calls of all daemons at the engines are known. The cached engine, the
zone and the speed of an engine are terms of one sum, so that a call waits, recomputes
its prefix or leaves its zone exactly where that is the cheapest.
"""

import enum
from collections.abc import Sequence
from random import Random
from statistics import median

import msgspec

from notcharch.scheduling.nearness import Distance

FILL_SHARE = 3.0
"""Share of a run that is added by the fourth power of the share of slots taken.

It fills equal engines evenly, and stands for calls that are not counted yet: the last
free slots are likely to be taken when the call arrives.
"""
FILL_EXPONENT = 4
"""With 6 slots, half-full engines differ from empty ones by a fifth of a run, less than
usual differences in speed."""
WAIT_WEIGHT = 8.0
"""Weight of a wait for a slot in the comparison of engines.

A call at a full engine also delays the calls that come after it there, which its own
expected seconds do not show.
"""
OTHER_ZONE_SECONDS = 0.003
"""Additional network time of a call to another zone of the region."""
OTHER_REGION_SECONDS = 0.1
"""Additional network time of a call to another region: a connection and a round trip."""
TIE_SHARE = 0.05
"""Engines within this share of the lowest cost are chosen among at random.

Daemons that ask at the same moment see the same loads; they should not all choose the
same engine.
"""
TIE_SECONDS = 0.002
"""Engines within this time of the lowest cost are chosen among at random: a request for
loads takes as long."""
MAX_PROMPT_TOKENS = 100_000
"""Upper bound of the prompt tokens that a caller states."""

DISTANCE_SECONDS = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: OTHER_ZONE_SECONDS,
    Distance.OTHER_REGION: OTHER_REGION_SECONDS,
}


class LoadedEngine(msgspec.Struct, frozen=True):
    """An eligible engine whose load is known."""

    id: str
    slots: int
    in_flight: int
    """Calls of all daemons there."""
    event_interval_seconds: float | None = None
    """Mean seconds between two events of a call; None if unknown."""
    distance: Distance = Distance.SAME_ZONE

    @property
    def is_full(self) -> bool:
        """Whether a call that arrives now waits for a slot."""
        return self.in_flight >= self.slots


class CallNeeds(msgspec.Struct, frozen=True):
    """What a call needs of an engine."""

    cached_engine: str = ""
    """The engine that caches the prefix; empty for none."""
    prompt_tokens: int = 0
    """Tokens that an engine without the prefix reads first."""
    seconds_per_token: float = 0.0
    mean_events: float = 1.0
    """Mean number of events of the service's streams."""
    usual_run_seconds: float = 0.0
    """Duration of a run while no engine's event interval is known."""


class EngineCost(msgspec.Struct, frozen=True):
    """The expected seconds of a call at one engine, by cause."""

    engine: LoadedEngine
    run_seconds: float
    wait_seconds: float
    reading_seconds: float
    distance_seconds: float

    @property
    def seconds(self) -> float:
        """The expected seconds of the call."""
        return (
            self.run_seconds
            + self.wait_seconds
            + self.reading_seconds
            + self.distance_seconds
        )

    @property
    def rank_seconds(self) -> float:
        """The expected seconds, and what the call costs others or may still meet.

        An engine of another region ranks like a full one with the round trip as its
        wait: free slots of a region are left only where the trip is shorter than the wait.
        """
        is_remote = self.engine.distance is Distance.OTHER_REGION
        share = min(self.engine.in_flight / self.engine.slots, 1.0)
        taken = 1.0 if is_remote else share
        filling = FILL_SHARE * self.run_seconds * taken**FILL_EXPONENT
        trip = self.distance_seconds if is_remote else 0.0
        delays = (WAIT_WEIGHT - 1.0) * (self.wait_seconds + trip)
        return self.seconds + delays + filling


class ChoiceReason(enum.Enum):
    """Why an engine was chosen."""

    CACHED = "cached"
    """It caches the prefix of the call."""
    CHEAPER = "cheaper"
    """Its expected seconds are the lowest, or close to them."""
    OVERFLOW = "overflow"
    """The preferred engines are full: the one with the prefix, or all of the zone."""
    OWN_COUNTS = "own counts"
    """Its load over all daemons is not known; this daemon's own calls decided."""


class CostChoice(msgspec.Struct, frozen=True):
    """The engine chosen for a call, and the lowest cost of all."""

    chosen: EngineCost
    lowest_seconds: float
    """Expected seconds at the best engine."""
    reason: ChoiceReason


def run_seconds(engines: Sequence[LoadedEngine], call: CallNeeds) -> dict[str, float]:
    """Return the expected duration of a run at each engine.

    An engine of unknown interval counts as the median of the known ones, so that it
    gets calls and becomes known.
    """
    known = [
        engine.event_interval_seconds
        for engine in engines
        if engine.event_interval_seconds is not None
    ]
    if not known:
        return {engine.id: call.usual_run_seconds for engine in engines}
    usual = median(known)
    return {
        engine.id: call.mean_events
        * (
            usual
            if engine.event_interval_seconds is None
            else engine.event_interval_seconds
        )
        for engine in engines
    }


def wait_seconds(engine: LoadedEngine, run: float) -> float:
    """Return the expected wait for a slot.

    A full engine frees its slots evenly over one run.
    """
    if not engine.is_full:
        return 0.0
    return (engine.in_flight - engine.slots + 1) / engine.slots * run


def reading_seconds(engine: LoadedEngine, call: CallNeeds) -> float:
    """Return the time that the engine needs to read the prompt."""
    if engine.id == call.cached_engine:
        return 0.0
    tokens = min(max(call.prompt_tokens, 0), MAX_PROMPT_TOKENS)
    return tokens * call.seconds_per_token


def engine_costs(engines: Sequence[LoadedEngine], call: CallNeeds) -> list[EngineCost]:
    """Return the cost of a call at each engine."""
    runs = run_seconds(engines, call)
    return [
        EngineCost(
            engine,
            run_seconds=runs[engine.id],
            wait_seconds=wait_seconds(engine, runs[engine.id]),
            reading_seconds=reading_seconds(engine, call),
            distance_seconds=DISTANCE_SECONDS[engine.distance],
        )
        for engine in engines
    ]


def choose_by_cost(
    engines: Sequence[LoadedEngine], call: CallNeeds, random: Random
) -> CostChoice:
    """Return the cheapest engine, or a random one close to it.

    `engines` must not be empty.
    """
    costs = engine_costs(engines, call)
    chosen = _cheapest(costs, random)
    cached = next(
        (cost for cost in costs if cost.engine.id == call.cached_engine), None
    )
    if cached is not None and keeps_cached(cached, chosen):
        chosen = cached
    return CostChoice(
        chosen,
        lowest_seconds=min(cost.seconds for cost in costs),
        reason=_reason(chosen.engine, engines, call.cached_engine),
    )


def keeps_cached(cached: EngineCost, other: EngineCost) -> bool:
    """Return whether a call stays at the engine that caches its prefix.

    While the other engine reads the prompt, its other calls wait, as many as it has slots.
    The call leaves only if it saves more than that. Otherwise engines under load spend
    their time on prompts, calls last longer, and still more of them leave.
    """
    delayed_calls = other.engine.slots - 1
    saved = cached.seconds - other.seconds
    return saved <= delayed_calls * other.reading_seconds


def _cheapest(costs: Sequence[EngineCost], random: Random) -> EngineCost:
    """Return the engine that ranks first, or a random one close to it."""
    lowest = min(cost.rank_seconds for cost in costs)
    limit = max(lowest * (1.0 + TIE_SHARE), lowest + TIE_SECONDS)
    return random.choice([cost for cost in costs if cost.rank_seconds <= limit])


def _reason(
    chosen: LoadedEngine, engines: Sequence[LoadedEngine], cached_engine: str
) -> ChoiceReason:
    if chosen.id == cached_engine:
        return ChoiceReason.CACHED
    preferred = [engine for engine in engines if engine.id == cached_engine]
    if not preferred:
        nearest = min(engine.distance for engine in engines)
        preferred = [engine for engine in engines if engine.distance is nearest]
    if chosen not in preferred and all(engine.is_full for engine in preferred):
        return ChoiceReason.OVERFLOW
    return ChoiceReason.CHEAPER
