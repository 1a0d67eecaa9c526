"""The log lines and figures of the list of engines and of the drained zones."""

from collections.abc import Collection, Mapping

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import Engine
from notcharch.calls.metrics import DRAINED_ZONES, DRAINS_POSITION
from notcharch.events.event import emit
from notcharch.events.process import EnginesChanged, ZonesDrained
from notcharch.scheduling.zone_drains import DrainChange, DrainedZones


class ListedState(msgspec.Struct, frozen=True):
    """What of an engine's entry is worth a line when it changes.

    A cold engine writes anew with each heartbeat for how much longer it is cold; that is
    not.
    """

    is_leaving: bool
    is_cold: bool


class EngineListLog:
    """Writes a line when the list has other engines, or other states of them."""

    def __init__(self, clock: IReactorTime) -> None:
        """Begin with an empty list."""
        self._clock = clock
        self._states: dict[str, ListedState] = {}
        self._told_at = clock.seconds()

    def listed(self, engines: Mapping[str, Engine], gone: Collection[str]) -> None:
        """Hear the list, and which engines are forgotten since the last one."""
        states = {
            id: ListedState(engine.is_leaving, engine.cold_seconds > 0)
            for id, engine in engines.items()
        }
        if states == self._states:
            return
        now = self._clock.seconds()
        emit(
            EnginesChanged(
                engines=len(states),
                leaving=sum(state.is_leaving for state in states.values()),
                cold=sum(state.is_cold for state in states.values()),
                added=sorted(states.keys() - self._states.keys()),
                gone=sorted(gone),
                seconds_since_last=round(now - self._told_at, 3),
            )
        )
        self._states, self._told_at = states, now


def tell_drains(
    newer: DrainedZones, change: DrainChange | None, *, is_from_peer: bool = False
) -> None:
    """Tell that a set of drained zones was taken; `change` is None if it was too old."""
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
