"""How long the first answer to a call of one route takes, and when it is overdue. Pure.

The limit is that of retransmissions in TCP (RFC 6298): the mean and four mean
deviations, here once and a half. Calls that are overdue are only given up out of a
retry budget that answered calls fill, so that a service under load, whose answers all
come late, is not given up call by call.
"""

import msgspec

MEAN_WEIGHT = 0.125
"""Of the newest answer in the mean; with the next two, as TCP does for its round trips
(RFC 6298)."""
DEVIATION_WEIGHT = 0.25
"""Of the newest deviation in the mean deviation."""
DEVIATION_FACTOR = 4.0
"""So many mean deviations above the mean an answer is late."""
LIMIT_MARGIN = 1.5
"""Times that: prompts differ in length, and a call given up in vain costs its run."""
MIN_LIMIT_SECONDS = 0.4
"""No answer is overdue sooner: daemons and engines stand still for some 0.1 s at times."""
MIN_RESPONSES = 8
"""Before so many answers nothing is overdue."""
RETRIES_PER_RESPONSE = 0.2
"""Calls that may be given up for each answer that came: one in five, so that giving up
cannot feed an overload."""
MAX_RETRY_BUDGET = 5.0
"""Calls that may be given up at once."""


class OverduePolicy(msgspec.Struct, frozen=True):
    """Whether overdue calls are looked after at all."""

    detects_overdue: bool = True


class FirstResponseTimes:
    """The waits for first answers on one route."""

    def __init__(self) -> None:
        """Begin without an observation."""
        self._mean = 0.0
        self._deviation = 0.0
        self._responses = 0
        self._budget = 0.0

    def record(self, seconds: float) -> None:
        """Learn how long a first answer took."""
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
        """Give the wait after which an answer is overdue; None if that isn't known."""
        if self._responses < MIN_RESPONSES:
            return None
        expected = self._mean + DEVIATION_FACTOR * self._deviation
        return max(MIN_LIMIT_SECONDS, LIMIT_MARGIN * expected)

    def take_retry(self) -> bool:
        """Spend one retry, if the budget has one."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True


class RouteResponseTimes:
    """The waits of all routes, by their names."""

    def __init__(self, policy: OverduePolicy) -> None:
        """Begin without an observation."""
        self._policy = policy
        self._routes: dict[str, FirstResponseTimes] = {}

    def of(self, route: str) -> FirstResponseTimes:
        """Give the waits of a route."""
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = FirstResponseTimes()
        return known

    def limit_seconds(self, route: str) -> float | None:
        """Give the wait after which an answer on a route is overdue, if one is."""
        return self.of(route).limit_seconds if self._policy.detects_overdue else None
