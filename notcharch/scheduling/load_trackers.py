"""Which daemons track the load of a service's engines, and when they are needed. Pure.

The choice depends only on the members and the names, so daemons with the same view of
the members agree without a message.
"""

import enum
import math
from collections.abc import Collection, Sequence
from random import Random

import xxhash

MEMBERS_PER_TRACKER = 12
"""Members per load tracker, so that the work of a tracker does not grow with them."""
MAX_ENGINE_SLOTS = 8
"""An engine with more slots absorbs the few calls that daemons send to it at once."""
MIN_MEMBERS_PER_SLOT = 2
"""With as many daemons for each slot of an engine, a daemon's own calls say next to
nothing about the engine's load. Only owners of partitions are known as members, so there
may be more daemons."""
MIN_RUN_SECONDS = 0.05
"""A request takes 2 ms; it must not cost a short call a tenth of its time."""
MIN_REPORTED_RUN_SECONDS = MIN_RUN_SECONDS / 2
"""Daemons that measure a slightly shorter run still report calls: counts stay whole."""
HANDOVER_SECONDS = 1.25
"""How long the trackers before are asked: new ones answer after 1 s, and tick each 0.25 s."""
MAX_HANDOVER_SECONDS = 4.0
"""Bound for a series of changes, after which the trackers before may be gone."""
ASKED_TRACKERS = 3
"""Trackers asked for one call, if there are as many."""


class ExchangeMode(enum.Enum):
    """What a daemon does about the load of one service's engines."""

    OFF = "off"
    """The daemon's own calls are enough, or the calls are too short."""
    REPORTS = "reports"
    """Calls are reported, but no loads are requested."""
    REQUESTS = "requests"
    """Calls are reported, and loads are requested for each dispatch."""


def exchange_mode(
    engine_slots: int, members: int, mean_run_seconds: float | None
) -> ExchangeMode:
    """Return the mode for a service, by the slots of an engine and its calls' mean run.

    Loads are also requested for calls of unknown duration, which may be long. The first
    completed call shows it.
    """
    is_shared = members >= MIN_MEMBERS_PER_SLOT * engine_slots
    if not is_shared or not 0 < engine_slots <= MAX_ENGINE_SLOTS:
        return ExchangeMode.OFF
    if mean_run_seconds is None or mean_run_seconds >= MIN_RUN_SECONDS:
        return ExchangeMode.REQUESTS
    if mean_run_seconds >= MIN_REPORTED_RUN_SECONDS:
        return ExchangeMode.REPORTS
    return ExchangeMode.OFF


def tracker_count(members: int) -> int:
    """Return the number of trackers of each service."""
    return math.ceil(members / MEMBERS_PER_TRACKER)


def _rank(member: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{member}|{name}".encode())


class TrackerElection:
    """The trackers by one view of the members; results are cached."""

    def __init__(self, members: Sequence[str]) -> None:
        """Elect among `members`."""
        self.members = members
        self._trackers: dict[str, tuple[str, ...]] = {}
        self._tracker_of: dict[tuple[str, str], str] = {}

    def trackers(self, service: str) -> tuple[str, ...]:
        """Return the trackers of a service; none without members."""
        known = self._trackers.get(service)
        if known is None:
            ranked = sorted(self.members, key=lambda member: _rank(member, service))
            known = tuple(ranked[: tracker_count(len(self.members))])
            self._trackers[service] = known
        return known

    def tracker(self, service: str, engine: str) -> str | None:
        """Return the tracker of an engine; None without members."""
        key = (service, engine)
        known = self._tracker_of.get(key)
        if known is not None:
            return known
        trackers = self.trackers(service)
        if not trackers:
            return None
        elected = min(trackers, key=lambda member: _rank(member, engine))
        self._tracker_of[key] = elected
        return elected


class TrackerViews:
    """The trackers by the present members, and those before while new ones learn.

    A new tracker does not know the calls that already run. For a moment calls are
    reported to both trackers of an engine, and the one before is asked.
    """

    def __init__(self) -> None:
        """Begin without members."""
        self.current = TrackerElection(())
        self._previous: TrackerElection | None = None
        self._changed_at = 0.0
        self._handover_since = 0.0

    def update(self, members: Sequence[str], now: float) -> bool:
        """Use the present members; return whether they have changed."""
        is_changed = members != self.current.members
        if is_changed:
            if self._previous is None and self.current.members:
                self._previous = self.current
                self._handover_since = now
            self.current = TrackerElection(members)
            self._changed_at = now
        if (
            now - self._changed_at >= HANDOVER_SECONDS
            or now - self._handover_since >= MAX_HANDOVER_SECONDS
        ):
            self._previous = None
        return is_changed

    @property
    def members(self) -> Sequence[str]:
        """The present members."""
        return self.current.members

    @property
    def asked(self) -> TrackerElection:
        """The election whose trackers know the running calls."""
        return self._previous or self.current

    def known_members(self) -> set[str]:
        """Return the present members, and those before in a handover."""
        return {*self.current.members, *self.asked.members}

    def reported_to(self, service: str, engine: str) -> tuple[str, ...]:
        """Return the trackers to which calls at an engine are reported."""
        tracker = self.current.tracker(service, engine)
        if self._previous is None:
            return () if tracker is None else (tracker,)
        before = self._previous.tracker(service, engine)
        elected = dict.fromkeys((tracker, before))
        return tuple(name for name in elected if name is not None)


def trackers_to_ask(
    candidates: Collection[str],
    cached_tracker: str | None,
    random: Random,
    count: int = ASKED_TRACKERS,
) -> list[str]:
    """Return the tracker of the cached engine, if it is a candidate, and random others."""
    first = [cached_tracker] if cached_tracker in candidates else []
    others = [name for name in candidates if name != cached_tracker]
    drawn = random.sample(others, min(count - len(first), len(others)))
    return [name for name in first if name is not None] + drawn
