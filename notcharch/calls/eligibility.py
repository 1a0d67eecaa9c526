"""Eligibility of engines: drained zones, residency regions, cold engines."""

import enum
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol, TypeVar

import msgspec

from notcharch.calls.interface import Engine
from notcharch.scheduling.cold_engines import (
    ColdEngineLimiter,
    ColdLimit,
    ColdPolicy,
    DaemonView,
    WarmupState,
)
from notcharch.scheduling.residence import allows_zone
from notcharch.scheduling.zone_drains import DrainChange, DrainedZones, ZoneDrains

MIN_WARM_SHARE = 2 / 3
"""Cold engines get no calls while at least this share is warm: without a third of the
engines, the others have 50% more load, and on a calm day 40% of their slots are taken."""
NEVER_COLD = ColdLimit()


class EngineStatus(Protocol):
    """What the pool knows of an engine."""

    @property
    def engine(self) -> Engine:
        """The entry of the engine."""

    @property
    def warmth(self) -> WarmupState:
        """The warm-up state of the engine."""


Status = TypeVar("Status", bound=EngineStatus)


class Cause(enum.Enum):
    """Why no engine is available."""

    NONE_LISTED = "no engine can take it"
    DRAINED = "the zones of its engines are drained"
    COLD = "its engines are cold"
    NO_REGION = "no engine in the regions where it may be served"


class NoEngine(msgspec.Struct, frozen=True):
    """No engine is available."""

    cause: Cause
    seconds: float | None = None
    """Expected duration of this; None if unknown."""


class NoPeers:
    """The view of a daemon that knows no peers."""

    local_daemon = ""

    def members(self) -> Sequence[str]:
        """Return no members."""
        return ()

    def known_seconds(self) -> float:
        """Return zero: no view of the peers is known."""
        return 0.0


class EngineEligibility:
    """Filters engines by drained zones, residency regions and warm-up."""

    def __init__(
        self,
        region_of: Mapping[str, str] | None = None,
        cold: ColdPolicy | None = None,
        daemons: DaemonView | None = None,
    ) -> None:
        """`region_of` maps zones to regions; `daemons` share the load limits of cold engines."""
        self._region_of = region_of or {}
        self._cold = ColdEngineLimiter(cold or ColdPolicy(), daemons or NoPeers())
        self._limits: dict[str, ColdLimit] = {}
        self.drains = ZoneDrains()

    # Updates

    def set_cold_limits(self, limits: Mapping[str, ColdLimit]) -> None:
        """Set the load limits of cold engines by service."""
        self._limits = dict(limits)
        self._cold.reset_quotas()

    def update_drains(
        self, newer: DrainedZones, states: Iterable[EngineStatus], now: float
    ) -> DrainChange | None:
        """Update the drained zones; return None if `newer` is stale.

        The engines of a zone whose drain is cancelled count as cold, which their entries
        may not yet show.
        """
        change = self.drains.update(newer, now)
        if change is None:
            return None
        for state in states:
            if state.engine.zone in change.cancelled:
                limit = self._limit(state.engine.service)
                state.warmth.assume_cold(now + limit.seconds)
        return change

    def cold_seconds(self, service: str) -> float:
        """Return how long engines of a service are cold after their start."""
        return self._limit(service).seconds

    def _limit(self, service: str) -> ColdLimit:
        return self._limits.get(service, NEVER_COLD)

    # Calls of this daemon

    def sent(self, engine: Engine, now: float) -> None:
        """Count a call that is sent to an engine."""
        self._cold.sent(engine.id, self._limit(engine.service), now)

    def forget(self, engine_id: str) -> None:
        """Remove the state of an engine."""
        self._cold.forget(engine_id)

    # Choice

    def takes_calls(self, engine: Engine) -> bool:
        """Return whether the zone of an engine is not drained."""
        return not self.drains.is_drained(engine.zone)

    def allowed(
        self, states: Sequence[Status], regions: frozenset[str] | None
    ) -> Sequence[Status]:
        """Return the engines outside of drained zones, and in the given regions."""
        if regions is None and not self.drains.current.zones:
            return states
        return [
            state
            for state in states
            if self.takes_calls(state.engine)
            and allows_zone(regions, state.engine.zone, self._region_of)
        ]

    def accepting(
        self, service: str, states: Sequence[Status], now: float
    ) -> Sequence[Status]:
        """Return the warm engines; if they are too few, also cold ones with capacity."""
        if not self._limit(service).is_enabled:
            return states
        warm = [state for state in states if not state.warmth.is_cold(now)]
        if len(warm) == len(states) or len(warm) >= MIN_WARM_SHARE * len(states):
            return warm
        cold = (state for state in states if state.warmth.is_cold(now))
        return warm + [state for state in cold if self._capacity_in(state, now) == 0.0]

    def _capacity_in(self, state: EngineStatus, now: float) -> float | None:
        engine = state.engine
        return self._cold.seconds_until_send(
            engine.id,
            self._limit(engine.service),
            now,
            is_only_suspected=state.warmth.is_only_suspected_cold(now),
        )

    # Unavailability

    def why_none(
        self,
        listed: Sequence[EngineStatus],
        regions: frozenset[str] | None,
        now: float,
    ) -> NoEngine:
        """Return why none of a service's engines is available, and for how long."""
        if not listed:
            return NoEngine(Cause.NONE_LISTED)
        resident = [
            state
            for state in listed
            if allows_zone(regions, state.engine.zone, self._region_of)
        ]
        if not resident:
            return NoEngine(Cause.NO_REGION)
        undrained = [state for state in resident if self.takes_calls(state.engine)]
        if not undrained:
            zones = {state.engine.zone for state in resident}
            return NoEngine(
                Cause.DRAINED, self.drains.longest_drain_seconds(zones, now)
            )
        if all(state.warmth.is_cold(now) for state in undrained):
            return NoEngine(
                Cause.COLD, min(self._accepts_in(s, now) for s in undrained)
            )
        return NoEngine(Cause.NONE_LISTED)

    def _accepts_in(self, state: EngineStatus, now: float) -> float:
        """Return the seconds until a cold engine accepts a call of this daemon."""
        warm_in = state.warmth.cold_until - now
        capacity_in = self._capacity_in(state, now)
        return warm_in if capacity_in is None else min(warm_in, capacity_in)
