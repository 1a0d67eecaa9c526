"""The pool of engines: their entries, their health, and the choice among them."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from functools import partial
from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.eligibility import EngineEligibility, NoEngine
from notcharch.calls.engine_selection import EngineSelector, PromptSample, Selection
from notcharch.calls.engine_state import EngineState
from notcharch.calls.interface import Engine, LoadExchange
from notcharch.calls.metrics import COLD_ENGINES, COLD_SENDS
from notcharch.calls.reported_calls import ReportedCalls
from notcharch.calls.version_filter import ANY_VERSION, VersionFilter, VersionRule
from notcharch.events.feed_faults import FeedFaults
from notcharch.scheduling.engine_health import (
    EngineHealth,
    HealthPolicy,
    ServiceHealth,
)
from notcharch.scheduling.engine_load import EngineLoad
from notcharch.scheduling.engine_routing import (
    CallRouting,
    EngineRouting,
    RoutingPolicy,
)
from notcharch.scheduling.expected_seconds import CallNeeds
from notcharch.scheduling.learned_values import ASSUMED_EVENTS, ServiceLearning
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.shared_suspicions import (
    LOCAL_RESPONSE_SECONDS,
    MAX_SUSPECTED_SHARE,
    SharedSuspicions,
)
from notcharch.scheduling.software_versions import SoftwareVersions
from notcharch.scheduling.zone_drains import DrainChange, DrainedZones

LAST_RESORT_SECONDS = 1.0
"""How long a draining or unlisted engine can be chosen if few others are left.

Engines serve calls for longer than that. After an outage of the store, live engines are
missing from the list until their next heartbeat.
"""

LOADS_RECENT_SECONDS = 2.0
"""The load of a service counts as shared for this time after loads were received: longer
than the 1 s for which trackers that did not answer are not asked."""


class PoolPolicy(msgspec.Struct, frozen=True):
    """Policy for the choice of an engine."""

    last_resort_seconds: float = LAST_RESORT_SECONDS
    entry_seconds: float = 0.0
    """Maximum age of an engine's entry when it is first read."""
    chooses_by_load: bool = True
    """Choose by the calls of all daemons where they are known."""
    routing: RoutingPolicy = RoutingPolicy()
    health: HealthPolicy = HealthPolicy()


class EnginePool:
    """The engines of all services, with this daemon's calls to each."""

    def __init__(
        self,
        clock: IReactorTime,
        place: Nearness,
        random: Random,
        policy: PoolPolicy | None = None,
        suspicions: SharedSuspicions | None = None,
        *,
        eligibility: EngineEligibility | None = None,
        versions: SoftwareVersions | None = None,
    ) -> None:
        """Start without engines.

        `place` ranks them by distance; `suspicions` has the engines that peers suspect;
        `eligibility` leaves out engines that must not get a call; `versions` is updated
        with the listed software versions.
        """
        self.eligibility = eligibility or EngineEligibility()
        self.versions = versions or SoftwareVersions()
        self._version_filter = VersionFilter(self.versions)
        self._suspicions = suspicions or SharedSuspicions()
        self._policy = policy or PoolPolicy()
        self._clock = clock
        routing = EngineRouting(self._policy.routing, place, random)
        self._selector = EngineSelector(routing, random)
        self._states: dict[str, EngineState] = {}
        self._by_service: dict[str, list[EngineState]] = {}
        self._services: dict[str, ServiceHealth] = {}
        self._learning: dict[str, ServiceLearning] = {}
        self._reported = ReportedCalls()
        self._faults = FeedFaults("engines")
        self.on_restart: Callable[[str], None] = lambda _: None
        """Called with the id of an engine that started again."""
        self._loads_at: dict[str, float] = {}
        """Clock seconds at which loads of a service were last used."""

    def use_exchange(self, exchange: LoadExchange) -> None:
        """Exchange the loads of engines with other daemons from now on."""
        self._reported.exchange = exchange

    def request_loads(
        self,
        service: str,
        cached_engine: str,
        then: Callable[[Mapping[str, EngineLoad]], None],
    ) -> None:
        """Request the loads of a service's engines; `then` is called exactly once."""
        if not self._policy.chooses_by_load:
            then({})
            return
        self._reported.exchange.request(service, cached_engine, then)

    # Entries

    def replace(self, engines: Iterable[Engine]) -> list[str]:
        """Replace the list of engines; return the ids of those that were removed."""
        now = self._clock.seconds()
        is_first_list = not self._states
        listed = {engine.id: engine for engine in engines}
        self.versions.list_changed(
            ((engine.service, engine.version) for engine in listed.values()),
            now,
            restartable=frozenset(
                engine.service
                for engine in listed.values()
                if engine.started_ms is not None
            ),
        )
        served = {
            engine.service
            for engine in listed.values()
            if not engine.is_draining and not engine.is_doubted
        }
        states: dict[str, EngineState] = {}
        for id, engine in listed.items():
            state = states[id] = self._states.get(id) or self._new_state(engine)
            has_others = engine.service in served
            self._faults.isolate(
                id, partial(self._update_state, state, engine, now, has_others)
            )
        for id, state in self._states.items():
            if id not in listed and self._is_last_resort(state, now):
                states[id] = state
        if is_first_list:
            self._suspect_entries(states.values(), now)
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

    def _suspect_entries(self, states: Iterable[EngineState], now: float) -> None:
        """Suspect engines of being cold if they may have become so since their entry.

        A daemon that has just started does not know which drains were recently cancelled.
        """
        for state in states:
            state.warmth.suspect_cold(now + self._policy.entry_seconds)

    def _service(self, name: str) -> ServiceHealth:
        known = self._services.get(name)
        if known is None:
            known = self._services[name] = ServiceHealth(self._policy.health)
        return known

    def _new_state(self, engine: Engine) -> EngineState:
        return EngineState(engine, EngineHealth(self._service(engine.service)))

    def _update_state(
        self, state: EngineState, engine: Engine, now: float, has_others: bool
    ) -> None:
        """Update the state of an engine from its entry.

        An engine that may be draining gets no calls if `has_others` of its service do.
        """
        previous, state.engine = state.engine, engine
        is_new = engine.id not in self._states
        if not engine.is_draining and not (engine.is_doubted and has_others):
            state.last_resort_since = None
        elif state.last_resort_since is None:
            # One that has not been seen to serve may have been leaving for long.
            state.last_resort_since = -math.inf if is_new else now
        if is_new or engine is not previous:
            is_start = is_new or engine.started_ms != previous.started_ms
            self._note_warmth(state, engine, now, is_start=is_start)
            self._note_restart(state, previous)

    def _note_warmth(
        self, state: EngineState, engine: Engine, now: float, *, is_start: bool
    ) -> None:
        """Record the remaining warm-up time; if it can't be read, the last one holds."""
        if engine.cold_seconds is not None:
            state.warmth.record_report(engine.cold_seconds, now)
        elif is_start:
            seconds = self.eligibility.cold_seconds(engine.service)
            state.warmth.suspect_cold(now + seconds)

    def _note_restart(self, state: EngineState, previous: Engine) -> None:
        """Report that an engine started again under its id, as a new entry tells."""
        state.has_stale_entry = False
        if state.engine.started_ms != previous.started_ms:
            state.failed_at = self._clock.seconds()
            self.on_restart(state.id)

    def _is_last_resort(self, state: EngineState, now: float) -> bool:
        """Record when an engine was unlisted; return whether that is recent."""
        if state.last_resort_since is None:
            state.last_resort_since = now
        return now - state.last_resort_since < self._policy.last_resort_seconds

    def count(self, service: str) -> int:
        """Return the number of candidate engines of a service."""
        return len(self._candidates(service, self._clock.seconds()))

    def drain_zones(self, newer: DrainedZones) -> DrainChange | None:
        """Update the drained zones; return None if `newer` is stale."""
        now = self._clock.seconds()
        return self.eligibility.update_drains(newer, self._states.values(), now)

    def takes_calls(self, engine_id: str) -> bool:
        """Return whether an engine may still get a call that it was selected for."""
        state = self._states.get(engine_id)
        return state is None or self.eligibility.takes_calls(state.engine)

    def is_leaving(self, engine_id: str) -> bool:
        """Return whether an engine said that it leaves, or has long been unlisted.

        The entry of an engine that ends may be gone before its runs are known to have
        failed, so a missing entry tells nothing at first.
        """
        state = self._states.get(engine_id)
        return state is None or state.engine.is_draining

    def takes_resumptions(self, engine_id: str) -> bool:
        """Return whether an engine may be asked for the rest of its own stream."""
        state = self._states.get(engine_id)
        if state is None or state.last_resort_since is not None:
            return False
        is_cold = state.warmth.is_cold(self._clock.seconds())
        return not is_cold and self.eligibility.takes_calls(state.engine)

    # Figures of a service

    def engine_slots(self, service: str) -> int:
        """Return the slots of the service's largest engine that is not draining."""
        return max(
            (
                state.slots
                for state in self._by_service.get(service, [])
                if state.last_resort_since is None
                and self.eligibility.takes_calls(state.engine)
            ),
            default=0,
        )

    def mean_run_seconds(self, service: str) -> float | None:
        """Return the mean seconds from sending a call to its end; None if unknown."""
        learned = self._learning.get(service)
        return None if learned is None else learned.mean_run_seconds

    def _learned(self, service: str) -> ServiceLearning:
        known = self._learning.get(service)
        if known is None:
            known = self._learning[service] = ServiceLearning()
        return known

    # Choice

    def choose(
        self,
        service: str,
        affinity_key: str,
        tried: Collection[str],
        cached_engine: str = "",
        regions: frozenset[str] | None = None,
        *,
        loads: Mapping[str, EngineLoad] | None = None,
        prompt_tokens: int = 0,
    ) -> Engine | None:
        """Return the engine for a call, as `select` does."""
        selection = self.select(
            service,
            CallRouting(affinity_key, cached_engine),
            tried,
            regions,
            loads=loads or {},
            prompt_tokens=prompt_tokens,
        )
        return None if selection is None else selection.engine

    def select(
        self,
        service: str,
        call: CallRouting,
        tried: Collection[str],
        regions: frozenset[str] | None = None,
        *,
        loads: Mapping[str, EngineLoad],
        prompt_tokens: int = 0,
        versions: VersionRule = ANY_VERSION,
    ) -> Selection | None:
        """Select the engine for a call; None if no untried one accepts it.

        `regions` are those in which the call may be served, or None for all. `loads` are
        the calls of all daemons by engine; where none is known, this daemon's own calls
        decide. An engine whose load is unknown is selected only if it caches the prefix, or
        if all engines of known load are full. `versions` restricts the engines.
        """
        if loads:
            self._loads_at[service] = self._clock.seconds()
        options = self._options(service, tried, regions, versions)
        if not options:
            return None
        needs = self._needs(service, call.cached_engine, prompt_tokens)
        return self._selector.select(options, call, loads, needs)

    def shares_load(self, service: str) -> bool:
        """Return whether loads of a service were known recently."""
        used_at = self._loads_at.get(service)
        now = self._clock.seconds()
        return used_at is not None and now - used_at < LOADS_RECENT_SECONDS

    def _needs(self, service: str, cached_engine: str, prompt_tokens: int) -> CallNeeds:
        learned = self._learned(service)
        prefers_cached = self._policy.routing.prefers_cached_engine
        return CallNeeds(
            cached_engine if prefers_cached else "",
            prompt_tokens,
            learned.reading.seconds_per_token,
            self._service(service).mean_events or ASSUMED_EVENTS,
            learned.usual_run_seconds,
        )

    def _options(
        self,
        service: str,
        tried: Collection[str],
        regions: frozenset[str] | None,
        versions: VersionRule,
    ) -> Sequence[EngineState]:
        """Return the engines that a call may be sent to now."""
        now = self._clock.seconds()
        untried = [
            state
            for state in self._candidates(service, now, regions, versions)
            if state.engine.id not in tried
        ]
        states = self.eligibility.accepting(service, untried, now)
        if not states:
            return []
        slow_event_seconds = self._service(service).slow_interval_seconds(now)
        healthy = [
            state
            for state in states
            if not state.health.is_suspect(now, slow_event_seconds)
        ]
        return self._without_suspected(healthy or states, now)

    def why_none(self, service: str, regions: frozenset[str] | None = None) -> NoEngine:
        """Return why no engine of a service is available, and for how long."""
        listed = self._by_service.get(service, [])
        return self.eligibility.why_none(listed, regions, self._clock.seconds())

    def _without_suspected(
        self, states: Sequence[EngineState], now: float
    ) -> Sequence[EngineState]:
        """Return the engines that no peer suspects, unless too many are suspected."""
        if not self._suspicions.has_any:
            return states
        trusted = [state for state in states if not self._is_suspected(state, now)]
        too_many = len(states) - len(trusted) > MAX_SUSPECTED_SHARE * len(states)
        return states if too_many else trusted

    def _is_suspected(self, state: EngineState, now: float) -> bool:
        if state.health.responded_within(now, LOCAL_RESPONSE_SECONDS):
            return False
        return self._suspicions.is_suspected(state.id, now)

    def _candidates(
        self,
        service: str,
        now: float,
        regions: frozenset[str] | None = None,
        versions: VersionRule = ANY_VERSION,
    ) -> list[EngineState]:
        """Return the active engines; if half or more are not, also the last resorts."""
        of_service = self._by_service.get(service, [])
        listed = self._version_filter.allowed(service, of_service, versions, now)
        states = self.eligibility.allowed(listed, regions)
        active = [state for state in states if state.last_resort_since is None]
        if 2 * len(active) > len(states):
            return active
        return active + [
            state
            for state in states
            if state.last_resort_since is not None
            and now - state.last_resort_since < self._policy.last_resort_seconds
        ]

    # Observations of calls

    def call_started(self, engine_id: str) -> None:
        """Count a call that is sent to an engine."""
        state = self._states.get(engine_id)
        if state is not None:
            now = self._clock.seconds()
            state.in_flight += 1
            state.health.sent(now)
            self.eligibility.sent(state.engine, now)
            if state.warmth.is_cold(now):
                COLD_SENDS.inc()
            self._reported.started(state.engine)

    def call_ended(
        self, engine_id: str, event_interval_seconds: float | None = None
    ) -> None:
        """Count a call that has ended, with the mean interval of its events."""
        self._reported.ended(engine_id, event_interval_seconds)
        state = self._states.get(engine_id)
        if state is not None and state.in_flight > 0:
            state.in_flight -= 1
            state.health.finished()

    def reading_paused(self, engine_id: str) -> None:
        """Expect no response of a call whose answer is not being read."""
        state = self._states.get(engine_id)
        if state is not None:
            state.health.finished()

    def reading_resumed(self, engine_id: str) -> None:
        """Expect responses of a call again."""
        state = self._states.get(engine_id)
        if state is not None:
            state.health.sent(self._clock.seconds())

    def response_received(
        self, engine_id: str, event_gap_seconds: float | None = None
    ) -> None:
        """Record a part of a response, and the time since the previous event."""
        state = self._states.get(engine_id)
        if state is None:
            return
        now = self._clock.seconds()
        state.health.received(now)
        if event_gap_seconds is not None:
            state.health.record_event_interval(event_gap_seconds, now)

    def first_event_received(
        self, engine_id: str, seconds: float, prompt: PromptSample | None = None
    ) -> None:
        """Record the time from sending a call to its first event."""
        state = self._states.get(engine_id)
        if state is None:
            return
        state.health.record_first_event(seconds)
        if prompt is None:
            return
        reading = self._learned(state.engine.service).reading
        if prompt.is_cached:
            reading.record_cached(seconds)
        else:
            reading.record_uncached(seconds, prompt.tokens)

    def run_completed(self, engine_id: str, seconds: float) -> None:
        """Record the time from sending a call to the end of its successful response."""
        state = self._states.get(engine_id)
        if state is not None:
            self._learned(state.engine.service).record_run(seconds)

    def stream_completed(self, engine_id: str, events: int) -> None:
        """Record the number of events of a complete stream."""
        state = self._states.get(engine_id)
        if state is not None:
            self._service(state.engine.service).record_stream_length(events)

    def engine_failed(self, engine_id: str) -> bool:
        """Record a failure of an engine; return whether it is silent.

        The idle connections to a silent engine are useless.
        """
        state = self._states.get(engine_id)
        if state is None:
            return False
        now = self._clock.seconds()
        is_silent = state.health.is_silent(now)
        state.failed_at = now
        self._suspicions.suspect(engine_id, state.health.failed(now))
        return is_silent

    def may_have_restarted(self, engine_id: str) -> None:
        """Record that an engine's process may have ended: it closed or broke off early."""
        state = self._states.get(engine_id)
        if state is not None:
            state.failed_at = self._clock.seconds()

    def engine_restarted(self, engine_id: str) -> None:
        """Record that an engine's entry is of an earlier process than the one that runs."""
        state = self._states.get(engine_id)
        if state is not None:
            state.has_stale_entry = True

    def must_confirm(self, engine_id: str) -> bool:
        """Return whether an engine must be asked when it started before a stream begins."""
        state = self._states.get(engine_id)
        now = self._clock.seconds()
        return state is not None and self._version_filter.must_confirm(state, now)

    def engine_full(self, engine_id: str) -> None:
        """Avoid an engine briefly that rejected a call at capacity."""
        state = self._states.get(engine_id)
        if state is not None:
            state.health.refused(self._clock.seconds())
