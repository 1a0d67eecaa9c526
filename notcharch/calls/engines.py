"""The engines that calls can be sent to, and the choice among them."""

from collections.abc import Collection, Iterable
from random import Random

import xxhash
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import Engine

SUSPECT_SECONDS = 1.0
"""So long an engine that failed is passed over while others serve."""

REFUSAL_SECONDS = 0.25
"""So long an engine that was full is passed over while others serve."""

LEAVING_SECONDS = 1.0
"""So long an engine that leaves, or is not listed any more, is still a last resort.

It serves for longer. After an outage of the store, engines that live are missing from
the list until their next heartbeats.
"""

RETURNING_SECONDS = 2.0
"""So long an engine whose entry lapsed in an outage of the list is taken for alive."""

HOME_SLACK_CALLS = 3
"""A home engine is kept until it has so many more of our calls than the least busy."""


KEPT_HOME_SLACK_CALLS = 8
"""The engine that has a program's prefix is left only when it is this much busier: to
read a long prefix anew costs more than some waiting."""


class EngineState:
    """What this daemon knows of one engine from its own calls."""

    def __init__(self, engine: Engine) -> None:
        """Begin with no calls."""
        self.engine = engine
        self.in_flight = 0
        self.left_at: float | None = None
        """Clock seconds at which it was first seen to leave, or was not listed."""
        self.lapsed_at: float | None = None
        """Clock seconds at which it was not listed any more, just after an outage."""
        self.avoid_until = 0.0
        """Clock seconds; passed over before, while others serve."""


class EnginePool:
    """The engines of all services, with our own calls to each."""

    def __init__(
        self,
        clock: IReactorTime,
        zone: str,
        random: Random,
        leaving_seconds: float = LEAVING_SECONDS,
        returning_seconds: float = RETURNING_SECONDS,
    ) -> None:
        """Begin with no engines; those that leave are a last resort for a while.

        Those that lapsed in an outage of the list are expected back for another while.
        """
        self._leaving_seconds = leaving_seconds
        self._returning_seconds = returning_seconds
        self._clock = clock
        self._zone = zone
        self._random = random
        self._states: dict[str, EngineState] = {}
        self._by_service: dict[str, list[EngineState]] = {}

    def replace(
        self, engines: Iterable[Engine], *, is_after_outage: bool = False
    ) -> list[str]:
        """Take a new list of engines; give the ids of those that are forgotten.

        `is_after_outage`: engines that live may be missing from the list.
        """
        now = self._clock.seconds()
        listed = {engine.id: engine for engine in engines}
        states: dict[str, EngineState] = {}
        for id, engine in listed.items():
            state = states[id] = self._states.get(id) or EngineState(engine)
            state.engine = engine
            state.lapsed_at = None
            if not engine.is_leaving:
                state.left_at = None
            elif state.left_at is None:
                state.left_at = now
        for id, state in self._states.items():
            if id not in listed and self._stays(state, now, is_after_outage):
                states[id] = state
        forgotten = [id for id in self._states if id not in states]
        self._states = states
        self._by_service = {}
        for state in states.values():
            self._by_service.setdefault(state.engine.service, []).append(state)
        return forgotten

    def _stays(self, state: EngineState, now: float, is_after_outage: bool) -> bool:
        """Note when an engine vanished; tell whether it may get calls all the same."""
        if is_after_outage and state.left_at is None and state.lapsed_at is None:
            state.lapsed_at = now
        if self._is_returning(state, now):
            return True
        if state.left_at is None:
            state.left_at = now
        return now - state.left_at < self._leaving_seconds

    def _is_returning(self, state: EngineState, now: float) -> bool:
        if state.lapsed_at is None:
            return False
        return now - state.lapsed_at < self._returning_seconds

    def choose(
        self, service: str, home_key: str, tried: Collection[str], home: str = ""
    ) -> Engine | None:
        """Give the engine for a call; None if no untried one takes work.

        `home_key` names what the calls share whose prefix an engine may keep; all
        daemons of a zone give one key the same home, in their own zone if they can.
        `home` is the engine that has the prefix already, if one is known to.
        """
        now = self._clock.seconds()
        states = [
            state
            for state in self._candidates(service, now)
            if state.engine.id not in tried
        ]
        if not states:
            return None
        sound = [state for state in states if state.avoid_until <= now] or states
        least = min(state.in_flight / state.engine.slots for state in sound)
        for state in sound:
            allowed = least * state.engine.slots + KEPT_HOME_SLACK_CALLS
            if state.engine.id == home and state.in_flight <= allowed:
                return state.engine
        if home_key:
            return self._home(sound, home_key).engine
        return self._least_busy(sound).engine

    def _candidates(self, service: str, now: float) -> list[EngineState]:
        """Give the engines that stay; if most have just left, those as well."""
        states = [
            state
            for state in self._by_service.get(service, [])
            if state.lapsed_at is None or self._is_returning(state, now)
        ]
        staying = [state for state in states if state.left_at is None]
        if 2 * len(staying) > len(states):
            return staying
        return staying + [
            state
            for state in states
            if state.left_at is not None and now - state.left_at < self._leaving_seconds
        ]

    def _home(self, states: list[EngineState], key: str) -> EngineState:
        """Prefer the first of the engines' hashes with the key that isn't too busy."""
        least = min(state.in_flight / state.engine.slots for state in states)
        free = [
            state
            for state in states
            if state.in_flight <= least * state.engine.slots + HOME_SLACK_CALLS
        ]
        near = [state for state in free if state.engine.zone == self._zone]
        return min(
            near or free,
            key=lambda state: xxhash.xxh64_intdigest(
                f"{state.engine.id}|{key}".encode()
            ),
        )

    def _least_busy(self, states: list[EngineState]) -> EngineState:
        return min(
            states,
            key=lambda state: (
                state.in_flight / state.engine.slots,
                state.engine.zone != self._zone,
                self._random.random(),
            ),
        )

    def count(self, service: str) -> int:
        """Give how many engines of a service take work."""
        return len(self._candidates(service, self._clock.seconds()))

    def began(self, engine_id: str) -> None:
        """Count a call that is sent to an engine."""
        state = self._states.get(engine_id)
        if state is not None:
            state.in_flight += 1

    def ended(self, engine_id: str) -> None:
        """Count a call that is over."""
        state = self._states.get(engine_id)
        if state is not None and state.in_flight > 0:
            state.in_flight -= 1

    def failed(self, engine_id: str) -> None:
        """Pass over an engine for a while that could not be spoken to."""
        self._avoid(engine_id, SUSPECT_SECONDS)

    def was_full(self, engine_id: str) -> None:
        """Pass over an engine for a moment that took no more."""
        self._avoid(engine_id, REFUSAL_SECONDS)

    def _avoid(self, engine_id: str, seconds: float) -> None:
        state = self._states.get(engine_id)
        if state is not None:
            state.avoid_until = self._clock.seconds() + seconds
