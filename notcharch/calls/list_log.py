"""Log events and metrics of the list of engines and of the drained zones."""

from collections.abc import Collection, Mapping

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import Engine
from notcharch.calls.metrics import DRAINED_ZONES, DRAINS_POSITION
from notcharch.events.event import emit
from notcharch.events.process import EnginesChanged, ZonesDrained
from notcharch.scheduling.zone_drains import DrainChange, DrainedZones


class ListedState(msgspec.Struct, frozen=True):
    """The part of an engine's entry whose changes are logged.

    The remaining warm-up time is left out, since it changes with each heartbeat.
    """

    is_draining: bool
    is_cold: bool
    version: str


class EngineListLog:
    """Logs changes of the listed engines and of their states."""

    def __init__(self, clock: IReactorTime) -> None:
        """Start with an empty list."""
        self._clock = clock
        self._states: dict[str, ListedState] = {}
        self._reported_at = clock.seconds()

    def listed(self, engines: Mapping[str, Engine], removed: Collection[str]) -> None:
        """Compare a list with the previous one; `removed` are the removed engines."""
        states = {
            id: ListedState(
                engine.is_draining, bool(engine.cold_seconds), engine.version
            )
            for id, engine in engines.items()
        }
        if states == self._states:
            return
        now = self._clock.seconds()
        emit(
            EnginesChanged(
                engines=len(states),
                leaving=sum(state.is_draining for state in states.values()),
                cold=sum(state.is_cold for state in states.values()),
                added=sorted(states.keys() - self._states.keys()),
                gone=sorted(removed),
                seconds_since_last=round(now - self._reported_at, 3),
                versions=self._new_versions(states),
            )
        )
        self._states, self._reported_at = states, now

    def _new_versions(self, states: Mapping[str, ListedState]) -> dict[str, str]:
        """Return the versions of the engines whose version was not reported yet."""
        return {
            id: state.version
            for id, state in states.items()
            if id not in self._states or self._states[id].version != state.version
        }


def report_drains(
    newer: DrainedZones, change: DrainChange | None, *, is_from_peer: bool = False
) -> None:
    """Log new drained zones; `change` is None if the update was stale."""
    if change is None:
        return
    DRAINS_POSITION.set(newer.position)
    DRAINED_ZONES.set(len(newer.zones))
    if change.has_changes:
        emit(
            ZonesDrained(
                drained=sorted(change.drained),
                given_back=sorted(change.cancelled),
                in_force=sorted(newer.zones),
                position=newer.position,
                is_from_peer=is_from_peer,
            )
        )
