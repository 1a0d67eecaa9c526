"""How long the calls of each route took lately, from their first send to their last byte.

Pure: the time is an argument. A planned stop uses it to tell which calls can still end.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec

MAX_CALLS = 128
"""Number of calls that are kept of a route; one in twenty of them is six calls."""
WINDOW_SECONDS = 120.0
"""Older calls tell nothing: engines and their load change within minutes."""
MIN_CALLS = 3
"""With fewer calls the durations of a route are not known."""
USUAL_SHARE = 0.95
"""Share of the calls that take no longer than the usual duration."""
MAX_ROUTES = 256
"""Routes beyond this number replace those that were used the longest ago."""


class Durations(msgspec.Struct, frozen=True):
    """The durations of a route's latest calls."""

    usual_seconds: float
    """Most calls took no longer."""
    longest_seconds: float


class RouteDurations:
    """The latest calls of one route."""

    def __init__(self) -> None:
        """Start without calls."""
        self._calls: deque[tuple[float, float]] = deque(maxlen=MAX_CALLS)
        """The clock seconds of the end and the duration of each."""

    def record(self, now: float, seconds: float) -> None:
        """Record a call that ends now."""
        self._calls.append((now, seconds))

    def durations(self, now: float, running: Iterable[float] = ()) -> Durations | None:
        """Return the durations, None if they are not known.

        `running` are the ages of calls that have not ended: those will take longer still,
        so they count once they are older than most calls that have ended.
        """
        oldest = now - WINDOW_SECONDS
        ended = sorted(seconds for end, seconds in self._calls if end >= oldest)
        if len(ended) < MIN_CALLS:
            return None
        usual = _usual(ended)
        later = [age for age in running if age > usual]
        known = sorted([*ended, *later])
        return Durations(_usual(known), known[-1])


def _usual(ordered: list[float]) -> float:
    return ordered[math.ceil(len(ordered) * USUAL_SHARE) - 1]


class CallDurations:
    """The latest calls of all routes, by route name."""

    def __init__(self) -> None:
        """Start without calls."""
        self._routes: OrderedDict[str, RouteDurations] = OrderedDict()

    def record(self, route: str, now: float, seconds: float) -> None:
        """Record a call of a route that ends now."""
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = RouteDurations()
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        known.record(now, seconds)

    def of(
        self, route: str, now: float, running: Iterable[float] = ()
    ) -> Durations | None:
        """Return the durations of a route's calls, None if they are not known."""
        known = self._routes.get(route)
        return None if known is None else known.durations(now, running)
