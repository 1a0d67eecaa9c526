"""First response times of a route's calls, and when a call is overdue. Pure.

The limit is computed like the retransmission timeout of TCP (RFC 6298): the mean plus
four mean deviations, multiplied by 1.5. Overdue calls are only abandoned out of a retry
budget that responses refill, so that a slow service under load doesn't have all its
calls abandoned.
"""

import msgspec

MEAN_WEIGHT = 0.125
"""Weight of the newest response in the mean; this and the next two values are those of
TCP round-trip times (RFC 6298)."""
DEVIATION_WEIGHT = 0.25
"""Weight of the newest deviation in the mean deviation."""
DEVIATION_FACTOR = 4.0
"""A response is late after this many mean deviations above the mean."""
LIMIT_MARGIN = 1.5
"""Multiplies the limit: prompts differ in length, and abandoning a call wastes its
run."""
MIN_LIMIT_SECONDS = 0.4
"""Lower bound of the limit; daemons and engines can stall for about 0.1 s."""
MIN_RESPONSES = 8
"""No call is overdue before this number of responses."""
RETRIES_PER_RESPONSE = 0.2
"""Retries earned by each response; one in five keeps retries from feeding an
overload."""
MAX_RETRY_BUDGET = 5.0
"""Maximum number of retries that can be saved up."""


class OverduePolicy(msgspec.Struct, frozen=True):
    """Whether overdue calls are detected."""

    detects_overdue: bool = True


class FirstResponseTimes:
    """The first response times of one route."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean = 0.0
        self._deviation = 0.0
        self._responses = 0
        self._budget = 0.0

    def record(self, seconds: float) -> None:
        """Record the time to a first response."""
        if not self._responses:
            self._mean = seconds
            self._deviation = seconds / 2
        else:
            difference = abs(seconds - self._mean)
            self._deviation += DEVIATION_WEIGHT * (difference - self._deviation)
            self._mean += MEAN_WEIGHT * (seconds - self._mean)
        self._responses += 1
        self._budget = min(self._budget + RETRIES_PER_RESPONSE, MAX_RETRY_BUDGET)

    @property
    def limit_seconds(self) -> float | None:
        """Return the time after which a response is overdue, None if not known yet."""
        if self._responses < MIN_RESPONSES:
            return None
        expected = self._mean + DEVIATION_FACTOR * self._deviation
        return max(MIN_LIMIT_SECONDS, LIMIT_MARGIN * expected)

    def take_retry(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True


class RouteResponseTimes:
    """The first response times of all routes, by route name."""

    def __init__(self, policy: OverduePolicy) -> None:
        """Start without samples."""
        self._policy = policy
        self._routes: dict[str, FirstResponseTimes] = {}

    def of(self, route: str) -> FirstResponseTimes:
        """Return the response times of a route."""
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = FirstResponseTimes()
        return known

    def limit_seconds(self, route: str) -> float | None:
        """Return the time after which a response on a route is overdue, if any."""
        return self.of(route).limit_seconds if self._policy.detects_overdue else None
