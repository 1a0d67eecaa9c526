"""Which engines may get a call at all: zones, regions of residence, cold engines."""

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

WARM_SHARE = 2 / 3
"""While so many of the engines that may serve a call are warm, cold ones wait until they
are: with a third of the engines gone, the others have a half more work, and their slots
are 40% full on a calm day."""
NEVER_COLD = ColdLimit()


class EngineStanding(Protocol):
    """An engine as the pool keeps it."""

    @property
    def engine(self) -> Engine:
        """Its entry."""

    @property
    def warmth(self) -> WarmupState:
        """How long it is cold."""


Standing = TypeVar("Standing", bound=EngineStanding)


class Cause(enum.Enum):
    """Why no engine may get a call."""

    NONE_LISTED = "no engine can take it"
    DRAINED = "the zones of its engines are drained"
    COLD = "its engines are cold"
    NO_REGION = "no engine in the regions where it may be served"


class NoEngine(msgspec.Struct, frozen=True):
    """No engine may get a call now."""

    cause: Cause
    seconds: float | None = None
    """Until that is expected to change; None if nothing is known of it."""


class NobodyElse:
    """The view of a daemon that doesn't know who else there is."""

    local_daemon = ""

    def members(self) -> Sequence[str]:
        """Give nobody."""
        return ()

    def known_seconds(self) -> float:
        """Say that nobody is known."""
        return 0.0


class EngineEligibility:
    """Drained zones, regions and cold engines, as they bind every choice of an engine."""

    def __init__(
        self,
        region_of: Mapping[str, str] | None = None,
        cold: ColdPolicy | None = None,
        daemons: DaemonView | None = None,
    ) -> None:
        """`region_of` gives the region of each zone; `daemons` share cold engines."""
        self._region_of = region_of or {}
        self._cold = ColdEngineLimiter(cold or ColdPolicy(), daemons or NobodyElse())
        self._limits: dict[str, ColdLimit] = {}
        self.drains = ZoneDrains()

    # What operators and engines tell

    def take_limits(self, limits: Mapping[str, ColdLimit]) -> None:
        """Take what cold engines of each service bear."""
        self._limits = dict(limits)
        self._cold.reset_quotas()

    def take_drains(
        self, newer: DrainedZones, states: Iterable[EngineStanding], now: float
    ) -> DrainChange | None:
        """Take a set of drained zones; None if it is older than the one known.

        Engines of a zone that is given back may have turned cold before their entries
        say so.
        """
        change = self.drains.update(newer, now)
        if change is None:
            return None
        for state in states:
            if state.engine.zone in change.cancelled:
                limit = self._limit(state.engine.service)
                state.warmth.assume_cold(now + limit.seconds)
        return change

    def _limit(self, service: str) -> ColdLimit:
        return self._limits.get(service, NEVER_COLD)

    # What our own calls do

    def sent(self, engine: Engine, now: float) -> None:
        """Note a call to an engine."""
        self._cold.sent(engine.id, self._limit(engine.service), now)

    def forget(self, engine_id: str) -> None:
        """Forget an engine that is gone."""
        self._cold.forget(engine_id)

    # The choice

    def takes_calls(self, engine: Engine) -> bool:
        """Tell whether an engine may get calls, whatever else is known of it."""
        return not self.drains.is_drained(engine.zone)

    def allowed(
        self, states: Sequence[Standing], regions: frozenset[str] | None
    ) -> Sequence[Standing]:
        """Leave out the engines of drained zones and of other regions."""
        if regions is None and not self.drains.current.zones:
            return states
        return [
            state
            for state in states
            if self.takes_calls(state.engine)
            and allows_zone(regions, state.engine.zone, self._region_of)
        ]

    def open(
        self, service: str, states: Sequence[Standing], now: float
    ) -> Sequence[Standing]:
        """Leave out cold engines, but where too few are warm those that we may feed."""
        if not self._limit(service).is_enabled:
            return states
        warm = [state for state in states if not state.warmth.is_cold(now)]
        if len(warm) == len(states) or len(warm) >= WARM_SHARE * len(states):
            return warm
        cold = (state for state in states if state.warmth.is_cold(now))
        return warm + [state for state in cold if self._room_in(state, now) == 0.0]

    def _room_in(self, state: EngineStanding, now: float) -> float | None:
        engine = state.engine
        return self._cold.seconds_until_send(
            engine.id,
            self._limit(engine.service),
            now,
            is_only_suspected=state.warmth.is_only_suspected_cold(now),
        )

    # Why there is none

    def why_none(
        self,
        listed: Sequence[EngineStanding],
        regions: frozenset[str] | None,
        now: float,
    ) -> NoEngine:
        """Say why none of a service's engines may get a call, and for how long."""
        if not listed:
            return NoEngine(Cause.NONE_LISTED)
        resident = [
            state
            for state in listed
            if allows_zone(regions, state.engine.zone, self._region_of)
        ]
        if not resident:
            return NoEngine(Cause.NO_REGION)
        staying = [state for state in resident if self.takes_calls(state.engine)]
        if not staying:
            zones = {state.engine.zone for state in resident}
            return NoEngine(
                Cause.DRAINED, self.drains.longest_drain_seconds(zones, now)
            )
        if all(state.warmth.is_cold(now) for state in staying):
            return NoEngine(Cause.COLD, min(self._open_in(s, now) for s in staying))
        return NoEngine(Cause.NONE_LISTED)

    def _open_in(self, state: EngineStanding, now: float) -> float:
        """Give the seconds until a cold engine takes a call of ours."""
        warm_in = state.warmth.cold_until - now
        room_in = self._room_in(state, now)
        return warm_in if room_in is None else min(warm_in, room_in)
