"""How long the calls of each route took lately, and how long their callers read on.

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
RARE_SHARE = 0.98
"""Share of the calls that take no longer than a rare duration.

Of fifty calls and more, one that took very long is left out: an engine that hung once must
not decide on all calls of the next two minutes.
"""
READING_SHARE = 0.8
"""Share of the callers that read no longer: a few slow ones tell nothing of the others."""
MAX_ROUTES = 256
"""Routes beyond this number replace those that were used the longest ago."""


class Durations(msgspec.Struct, frozen=True):
    """The durations of a route's latest calls."""

    usual_seconds: float
    """Most calls took no longer from their first send to the end of their answer."""
    rare_seconds: float
    """Nearly all calls took no longer."""
    reading_seconds: float = 0.0
    """After that, most callers read no longer until the last byte had left."""


class EndedCall(msgspec.Struct, frozen=True):
    """One call whose answer has left the process."""

    ended_at: float
    """Clock seconds."""
    seconds: float
    """From its first send to the end of its answer."""
    reading_seconds: float = 0.0
    """From then until the last byte had left the process."""


class RouteDurations:
    """The latest calls of one route."""

    def __init__(self) -> None:
        """Start without calls."""
        self._calls: deque[EndedCall] = deque(maxlen=MAX_CALLS)

    def record(self, call: EndedCall) -> None:
        """Record a call."""
        self._calls.append(call)

    def durations(self, now: float, running: Iterable[float] = ()) -> Durations | None:
        """Return the durations, None if they are not known.

        `running` are the ages of calls that have not ended: those will take longer still,
        so they count once they are older than most calls that have ended.
        """
        oldest = now - WINDOW_SECONDS
        calls = [call for call in self._calls if call.ended_at >= oldest]
        if len(calls) < MIN_CALLS:
            return None
        ended = [call.seconds for call in calls]
        usual = _quantile(ended, USUAL_SHARE)
        known = ended + [age for age in running if age > usual]
        return Durations(
            _quantile(known, USUAL_SHARE),
            _quantile(known, RARE_SHARE),
            _quantile([call.reading_seconds for call in calls], READING_SHARE),
        )


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[math.ceil(len(values) * share) - 1]


class CallDurations:
    """The latest calls of all routes, by route name."""

    def __init__(self) -> None:
        """Start without calls."""
        self._routes: OrderedDict[str, RouteDurations] = OrderedDict()

    def record(self, route: str, call: EndedCall) -> None:
        """Record a call of a route."""
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = RouteDurations()
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        known.record(call)

    def of(
        self, route: str, now: float, running: Iterable[float] = ()
    ) -> Durations | None:
        """Return the durations of a route's calls, None if they are not known."""
        known = self._routes.get(route)
        return None if known is None else known.durations(now, running)
