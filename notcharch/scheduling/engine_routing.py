"""Which engine of a service a call goes to: its home, or the least busy one. Pure."""

import math
from collections.abc import Sequence
from random import Random
from typing import Protocol, TypeVar

import msgspec
import xxhash

from notcharch.scheduling.nearness import Distance, Nearness

AFFINITY_SLACK_CALLS = 3
"""A home engine is kept until it has so many more of our calls than the least busy."""
CACHED_ENGINE_SLACK_CALLS = 8
"""The engine that has a program's prefix is left only when it is this much busier: to
read a long prefix anew costs more than some waiting."""

FAST_FACTOR = 1.15
"""Engines are quick where a call takes no longer than so many times what it takes at the
quickest quarter: between what chance makes of equal ones and the 1.3 times by which
engines of one service are known to differ."""
MIN_FAST_SHARE = 0.5
"""Of the engines, so many begin programs at least: the quickest would be overrun."""
MIN_KNOWN_ENGINES = 3
"""With fewer engines whose speed is known, none is called slow."""

OTHER_REGION_PENALTY = 1.0
"""An engine of another region counts as if our own calls filled it once more: the way there
and back takes some 60 ms, as long as a usual call of a tool works."""


class RoutingPolicy(msgspec.Struct, frozen=True):
    """What the choice goes by."""

    affinity_slack_calls: int = AFFINITY_SLACK_CALLS
    cached_engine_slack_calls: int = CACHED_ENGINE_SLACK_CALLS
    prefers_cached_engine: bool = True
    """Whether calls go where their program ran last."""
    hashes_affinity: bool = True
    """Whether calls with one key go to one engine."""
    prefers_zone: bool = True
    """Whether engines of the own zone come first, then those of the own region."""
    prefers_fast: bool = True
    """Whether programs begin at engines that are not slower than others."""


class RoutingOption(Protocol):
    """An engine that takes calls."""

    @property
    def id(self) -> str:
        """Its name."""

    @property
    def zone(self) -> str:
        """Where it is."""

    @property
    def slots(self) -> int:
        """How many calls it runs at a time."""

    @property
    def in_flight(self) -> int:
        """How many of our calls are there."""

    @property
    def run_seconds(self) -> float | None:
        """How long a call takes there; None if that isn't known."""


Option = TypeVar("Option", bound=RoutingOption)


class CallRouting(msgspec.Struct, frozen=True):
    """What a call brings to the choice."""

    affinity_key: str = ""
    """What the calls share whose prefix an engine may keep; empty: nothing."""
    cached_engine: str = ""
    """The engine that has the prefix already, if one is known to."""


class EngineRouting:
    """Chooses among engines, seen from one zone."""

    def __init__(
        self, policy: RoutingPolicy, nearness: Nearness, random: Random
    ) -> None:
        """Choose by a policy; `random` breaks ties."""
        self._policy = policy
        self._nearness = nearness
        self._random = random

    def choose(self, options: Sequence[Option], call: CallRouting) -> Option:
        """Give the engine for a call; there must be one.

        All daemons of a zone give one key the same home, in their own zone if they can.
        """
        min_load = min(option.in_flight / option.slots for option in options)
        cached = self._cached_engine(options, call, min_load)
        if cached is not None:
            return cached
        if call.affinity_key and self._policy.hashes_affinity:
            return self._affine_engine(options, call.affinity_key, min_load)
        return self._least_loaded(options)

    def _cached_engine(
        self, options: Sequence[Option], call: CallRouting, min_load: float
    ) -> Option | None:
        if not self._policy.prefers_cached_engine:
            return None
        for option in options:
            if option.id == call.cached_engine:
                allowed = (
                    min_load * option.slots + self._policy.cached_engine_slack_calls
                )
                return option if option.in_flight <= allowed else None
        return None

    def _affine_engine(
        self, options: Sequence[Option], key: str, min_load: float
    ) -> Option:
        """Prefer the first of the engines' hashes with the key that isn't too busy."""
        slack = self._policy.affinity_slack_calls
        free = [
            option
            for option in options
            if option.in_flight <= min_load * option.slots + slack
        ]
        fast = fast_engines(free) if self._policy.prefers_fast else free
        return min(
            self._nearest(fast),
            key=lambda option: xxhash.xxh64_intdigest(f"{option.id}|{key}".encode()),
        )

    def _distance(self, option: RoutingOption) -> Distance:
        if not self._policy.prefers_zone:
            return Distance.SAME_ZONE
        return self._nearness.distance(option.zone)

    def _nearest(self, options: Sequence[Option]) -> Sequence[Option]:
        """Give those of the own zone; if there are none, of the region; else all."""
        nearest = min(self._distance(option) for option in options)
        return [option for option in options if self._distance(option) is nearest]

    def _least_loaded(self, options: Sequence[Option]) -> Option:
        return min(
            options,
            key=lambda option: (
                self._load(option),
                self._distance(option),
                self._random.random(),
            ),
        )

    def _load(self, option: RoutingOption) -> float:
        """Give the share of an engine that our own calls take; more where it is far."""
        is_far = self._distance(option) is Distance.OTHER_REGION
        return option.in_flight / option.slots + is_far * OTHER_REGION_PENALTY


def fast_engines(options: Sequence[Option]) -> Sequence[Option]:
    """Leave out the engines at which calls take longer than at others.

    One whose speed isn't known yet counts as quick, so that it becomes known.
    """
    known = sorted(
        option.run_seconds for option in options if option.run_seconds is not None
    )
    if len(known) < MIN_KNOWN_ENGINES:
        return options
    limit = FAST_FACTOR * known[len(known) // 4]
    by_speed = sorted(options, key=lambda option: option.run_seconds or 0.0)
    min_count = math.ceil(MIN_FAST_SHARE * len(options))
    return [
        option
        for rank, option in enumerate(by_speed)
        if rank < min_count or (option.run_seconds or 0.0) <= limit
    ]
