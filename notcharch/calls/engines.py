"""The engines that calls can be sent to, as they are listed and as calls saw them."""

from collections.abc import Collection, Iterable, Sequence
from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.eligibility import EngineEligibility, NoEngine
from notcharch.calls.interface import Engine
from notcharch.calls.metrics import COLD_ENGINES, COLD_SENDS
from notcharch.scheduling.cold_engines import WarmupState
from notcharch.scheduling.engine_health import (
    EngineHealth,
    HealthPolicy,
    ServiceHealth,
)
from notcharch.scheduling.engine_routing import (
    CallRouting,
    EngineRouting,
    RoutingPolicy,
)
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.shared_suspicions import (
    LOCAL_RESPONSE_SECONDS,
    MAX_SUSPECTED_SHARE,
    SharedSuspicions,
)
from notcharch.scheduling.zone_drains import DrainChange, DrainedZones

LEAVING_SECONDS = 1.0
"""So long an engine that leaves, or is not listed any more, is still a last resort.

It serves for longer. After an outage of the store, engines that live are missing from
the list until their next heartbeats.
"""


class PoolPolicy(msgspec.Struct, frozen=True):
    """How the engines of a pool are chosen, and for how long those that leave may be."""

    leaving_seconds: float = LEAVING_SECONDS
    entry_seconds: float = 0.0
    """An engine's entry may have been written so long before it is read first."""
    routing: RoutingPolicy = RoutingPolicy()
    health: HealthPolicy = HealthPolicy()


class EngineState:
    """What this daemon knows of one engine."""

    def __init__(self, engine: Engine, health: EngineHealth) -> None:
        """Begin with no calls."""
        self.engine = engine
        self.health = health
        self.warmth = WarmupState()
        self.in_flight = 0
        """Our own calls there."""
        self.left_at: float | None = None
        """Clock seconds at which it was first seen to leave, or was not listed."""

    @property
    def id(self) -> str:
        """Give the engine's name."""
        return self.engine.id

    @property
    def zone(self) -> str:
        """Tell where it is."""
        return self.engine.zone

    @property
    def slots(self) -> int:
        """Give how many calls it runs at a time."""
        return self.engine.slots

    @property
    def run_seconds(self) -> float | None:
        """Give how long a call takes there, if that is known."""
        return self.health.run_seconds


class EnginePool:
    """The engines of all services, with our own calls to each."""

    def __init__(
        self,
        clock: IReactorTime,
        place: Nearness,
        random: Random,
        policy: PoolPolicy | None = None,
        suspicions: SharedSuspicions | None = None,
        *,
        eligibility: EngineEligibility | None = None,
    ) -> None:
        """Begin with no engines, seen from a place.

        Those that leave are a last resort for a while.

        `suspicions` has what peers tell of engines; `eligibility` leaves out engines that
        must not get a call.
        """
        self.eligibility = eligibility or EngineEligibility()
        self._suspicions = suspicions or SharedSuspicions()
        self._policy = policy or PoolPolicy()
        self._clock = clock
        self._routing = EngineRouting(self._policy.routing, place, random)
        self._states: dict[str, EngineState] = {}
        self._by_service: dict[str, list[EngineState]] = {}
        self._services: dict[str, ServiceHealth] = {}

    # The list

    def replace(self, engines: Iterable[Engine]) -> list[str]:
        """Take a new list of engines; give the ids of those that are forgotten."""
        now = self._clock.seconds()
        is_first_list = not self._states
        listed = {engine.id: engine for engine in engines}
        states = {
            id: self._listed(self._states.get(id), engine, now)
            for id, engine in listed.items()
        }
        for id, state in self._states.items():
            if id not in listed and self._is_last_resort(state, now):
                states[id] = state
        if is_first_list:
            self._doubt_entries(states.values(), now)
        forgotten = [id for id in self._states if id not in states]
        for id in forgotten:
            self.eligibility.forget(id)
        self._states = states
        self._by_service = {}
        for state in states.values():
            self._by_service.setdefault(state.engine.service, []).append(state)
        COLD_ENGINES.set(sum(s.warmth.is_cold(now) for s in states.values()))
        for service, members in self._by_service.items():
            self._service(service).compare([state.health for state in members])
        return forgotten

    def _doubt_entries(self, states: Iterable[EngineState], now: float) -> None:
        """Count engines as perhaps cold that may have turned so since they wrote.

        A daemon that has just started doesn't know which zones were given back lately.
        """
        for state in states:
            state.warmth.suspect_cold(now + self._policy.entry_seconds)

    def _service(self, name: str) -> ServiceHealth:
        known = self._services.get(name)
        if known is None:
            known = self._services[name] = ServiceHealth(self._policy.health)
        return known

    def _listed(
        self, state: EngineState | None, engine: Engine, now: float
    ) -> EngineState:
        """Take an engine's entry."""
        is_new_entry = state is None or engine is not state.engine
        if state is None:
            state = EngineState(engine, EngineHealth(self._service(engine.service)))
        if is_new_entry:
            state.warmth.record_report(engine.cold_seconds, now)
        state.engine = engine
        if not engine.is_leaving:
            state.left_at = None
        elif state.left_at is None:
            state.left_at = now
        return state

    def _is_last_resort(self, state: EngineState, now: float) -> bool:
        """Note when an engine vanished; tell whether that is only a moment ago."""
        if state.left_at is None:
            state.left_at = now
        return now - state.left_at < self._policy.leaving_seconds

    def count(self, service: str) -> int:
        """Give how many engines of a service take work."""
        return len(self._candidates(service, self._clock.seconds()))

    def drain_zones(self, newer: DrainedZones) -> DrainChange | None:
        """Take which zones are drained; None if that is older than what is known."""
        now = self._clock.seconds()
        return self.eligibility.take_drains(newer, self._states.values(), now)

    def takes_calls(self, engine_id: str) -> bool:
        """Tell whether an engine that was chosen may still get its call."""
        state = self._states.get(engine_id)
        return state is None or self.eligibility.takes_calls(state.engine)

    # The choice

    def choose(
        self,
        service: str,
        home_key: str,
        tried: Collection[str],
        home: str = "",
        regions: frozenset[str] | None = None,
    ) -> Engine | None:
        """Give the engine for a call; None if no untried one takes work.

        `home_key` names what the calls share whose prefix an engine may keep; `home`
        is the engine that has the prefix already, if one is known to; `regions` are
        those in which the call may be served, None if all.
        """
        now = self._clock.seconds()
        untried = [
            state
            for state in self._candidates(service, now, regions)
            if state.engine.id not in tried
        ]
        states = self.eligibility.open(service, untried, now)
        if not states:
            return None
        slow_pace = self._service(service).slow_interval_seconds(now)
        sound = [
            state for state in states if not state.health.is_suspect(now, slow_pace)
        ]
        options = self._unsuspected(sound or states, now)
        return self._routing.choose(options, CallRouting(home_key, home)).engine

    def why_none(self, service: str, regions: frozenset[str] | None = None) -> NoEngine:
        """Say why no engine of a service takes a call, and for how long."""
        listed = self._by_service.get(service, [])
        return self.eligibility.why_none(listed, regions, self._clock.seconds())

    def _unsuspected(
        self, states: Sequence[EngineState], now: float
    ) -> Sequence[EngineState]:
        """Leave out the engines that peers suspect, unless they are too many."""
        if not self._suspicions.has_any:
            return states
        left = [state for state in states if not self._is_suspected(state, now)]
        too_many = len(states) - len(left) > MAX_SUSPECTED_SHARE * len(states)
        return states if too_many else left

    def _is_suspected(self, state: EngineState, now: float) -> bool:
        if state.health.responded_within(now, LOCAL_RESPONSE_SECONDS):
            return False
        return self._suspicions.is_suspected(state.id, now)

    def _candidates(
        self, service: str, now: float, regions: frozenset[str] | None = None
    ) -> list[EngineState]:
        """Give the engines that stay; if most have just left, those as well."""
        listed = self._by_service.get(service, [])
        states = self.eligibility.allowed(listed, regions)
        staying = [state for state in states if state.left_at is None]
        if 2 * len(staying) > len(states):
            return staying
        return staying + [
            state
            for state in states
            if state.left_at is not None
            and now - state.left_at < self._policy.leaving_seconds
        ]

    # What calls saw

    def began(self, engine_id: str) -> None:
        """Count a call that is sent to an engine."""
        state = self._states.get(engine_id)
        if state is not None:
            now = self._clock.seconds()
            state.in_flight += 1
            state.health.sent(now)
            self.eligibility.sent(state.engine, now)
            if state.warmth.is_cold(now):
                COLD_SENDS.inc()

    def ended(self, engine_id: str) -> None:
        """Count a call that is over."""
        state = self._states.get(engine_id)
        if state is not None and state.in_flight > 0:
            state.in_flight -= 1
            state.health.finished()

    def heard(self, engine_id: str, event_gap_seconds: float | None = None) -> None:
        """Note a part of an answer, and how long after the event before it came."""
        state = self._states.get(engine_id)
        if state is None:
            return
        now = self._clock.seconds()
        state.health.received(now)
        if event_gap_seconds is not None:
            state.health.record_event_interval(event_gap_seconds, now)

    def began_answer(self, engine_id: str, seconds: float) -> None:
        """Note how long after a call's sending its first event came."""
        state = self._states.get(engine_id)
        if state is not None:
            state.health.record_first_event(seconds)

    def stream_ended(self, engine_id: str, events: int) -> None:
        """Note how many events a whole stream had."""
        state = self._states.get(engine_id)
        if state is not None:
            self._service(state.engine.service).record_stream_length(events)

    def failed(self, engine_id: str) -> bool:
        """Pass over an engine that could not be spoken to; tell whether it is silent.

        Its idle connections are of no use then.
        """
        state = self._states.get(engine_id)
        if state is None:
            return False
        now = self._clock.seconds()
        is_silent = state.health.is_silent(now)
        self._suspicions.suspect(engine_id, state.health.failed(now))
        return is_silent

    def was_full(self, engine_id: str) -> None:
        """Pass over an engine for a moment that took no more."""
        state = self._states.get(engine_id)
        if state is not None:
            state.health.refused(self._clock.seconds())
