"""Which engine a call goes to: by affinity, or to the least loaded one. Pure."""

import math
from collections.abc import Sequence
from random import Random
from typing import Protocol, TypeVar

import msgspec
import xxhash

from notcharch.scheduling.nearness import Distance, Nearness

AFFINITY_SLACK_CALLS = 3
"""How many more local calls an affinity engine may have than the least loaded
engine."""
CACHED_ENGINE_SLACK_CALLS = 8
"""How many more local calls the engine that caches the program's prefix may have;
larger, because recomputing a long prefix costs more than a short wait."""

FAST_FACTOR = 1.15
"""An engine is fast if calls take at most this multiple of their duration at the
fastest quartile. The factor is above random variation and below the real differences
within a service."""
MIN_FAST_SHARE = 0.5
"""Minimum share of the engines that start programs, so that the fastest aren't
overloaded."""
MIN_KNOWN_ENGINES = 3
"""With fewer engines of known speed, none is considered slow."""

OTHER_REGION_PENALTY = 1.0
"""Load that is added to an engine of another region, as a share of its slots: the round
trip takes some 60 ms, as long as a usual call of a tool runs."""


class RoutingPolicy(msgspec.Struct, frozen=True):
    """The criteria for choosing an engine."""

    affinity_slack_calls: int = AFFINITY_SLACK_CALLS
    cached_engine_slack_calls: int = CACHED_ENGINE_SLACK_CALLS
    prefers_cached_engine: bool = True
    """Prefer the engine that last ran the call's program."""
    hashes_affinity: bool = True
    """Send calls with the same affinity key to the same engine."""
    prefers_zone: bool = True
    """Prefer engines of the local zone, then those of the local region."""
    prefers_fast: bool = True
    """Start new programs on engines that aren't slow."""


class RoutingOption(Protocol):
    """An engine that accepts calls."""

    @property
    def id(self) -> str:
        """The engine's identifier."""

    @property
    def zone(self) -> str:
        """The engine's zone."""

    @property
    def slots(self) -> int:
        """The number of calls that the engine runs concurrently."""

    @property
    def in_flight(self) -> int:
        """The number of local calls in flight there."""

    @property
    def run_seconds(self) -> float | None:
        """The expected duration of a call, None if unknown."""


Option = TypeVar("Option", bound=RoutingOption)


class CallRouting(msgspec.Struct, frozen=True):
    """The routing inputs of one call."""

    affinity_key: str = ""
    """Shared by calls with a common prefix that an engine may cache; empty for none."""
    cached_engine: str = ""
    """The engine known to cache the prefix; empty for none."""


class EngineRouting:
    """Chooses among engines, as seen from one zone."""

    def __init__(
        self, policy: RoutingPolicy, nearness: Nearness, random: Random
    ) -> None:
        """`random` breaks ties."""
        self._policy = policy
        self._nearness = nearness
        self._random = random

    def choose(self, options: Sequence[Option], call: CallRouting) -> Option:
        """Return the engine for a call; `options` must not be empty.

        All daemons of a zone choose the same engine for an affinity key, if possible
        one in their own zone.
        """
        min_load = min(option.in_flight / option.slots for option in options)
        cached = self._cached_engine(options, call, min_load)
        if cached is not None:
            return cached
        if call.affinity_key and self._policy.hashes_affinity:
            return self._affine_engine(options, call.affinity_key, min_load)
        return self._lowest_load(options)

    def keeps_cached_engine(self, options: Sequence[Option], call: CallRouting) -> bool:
        """Return whether the cached engine is among the options, and kept by its load."""
        if not options:
            return False
        min_load = min(option.in_flight / option.slots for option in options)
        return self._cached_engine(options, call, min_load) is not None

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
        """Return the nearest fast engine with capacity whose hash is lowest."""
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

    def distance(self, option: RoutingOption) -> Distance:
        """Return the distance of an engine, as far as the policy regards it."""
        if not self._policy.prefers_zone:
            return Distance.SAME_ZONE
        return self._nearness.distance(option.zone)

    def _nearest(self, options: Sequence[Option]) -> Sequence[Option]:
        """Return the engines of the local zone, else of the local region, else all."""
        nearest = min(self.distance(option) for option in options)
        return [option for option in options if self.distance(option) is nearest]

    def _lowest_load(self, options: Sequence[Option]) -> Option:
        return min(
            options,
            key=lambda option: (
                self._load(option),
                self.distance(option),
                self._random.random(),
            ),
        )

    def _load(self, option: RoutingOption) -> float:
        """Return the load by local calls, increased for engines of other regions."""
        is_far = self.distance(option) is Distance.OTHER_REGION
        return option.in_flight / option.slots + is_far * OTHER_REGION_PENALTY


def fast_engines(options: Sequence[Option]) -> Sequence[Option]:
    """Leave out engines where calls take longer than at others.

    An engine of unknown speed counts as fast, so that its speed becomes known.
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
