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
DEVIATIONS = 4.0
"""So many mean deviations above the mean an answer is late."""
MARGIN = 1.5
"""Times that: prompts differ in length, and a call given up in vain costs its run."""
LEAST_LIMIT_SECONDS = 0.4
"""No answer is overdue sooner: daemons and engines stand still for some 0.1 s at times."""
LEAST_ANSWERS = 8
"""Before so many answers nothing is overdue."""
BUDGET_PER_ANSWER = 0.2
"""Calls that may be given up for each answer that came: one in five, so that giving up
cannot feed an overload."""
MOST_BUDGET = 5.0
"""Calls that may be given up at once."""


class WaitPolicy(msgspec.Struct, frozen=True):
    """Whether overdue calls are looked after at all."""

    watches_overdue: bool = True


class AnswerWaits:
    """The waits for first answers on one route."""

    def __init__(self) -> None:
        """Begin without an observation."""
        self._mean = 0.0
        self._deviation = 0.0
        self._answers = 0
        self._budget = 0.0

    def answered(self, seconds: float) -> None:
        """Learn how long a first answer took."""
        if not self._answers:
            self._mean = seconds
            self._deviation = seconds / 2
        else:
            difference = abs(seconds - self._mean)
            self._deviation += DEVIATION_WEIGHT * (difference - self._deviation)
            self._mean += MEAN_WEIGHT * (seconds - self._mean)
        self._answers += 1
        self._budget = min(self._budget + BUDGET_PER_ANSWER, MOST_BUDGET)

    @property
    def limit_seconds(self) -> float | None:
        """Give the wait after which an answer is overdue; None if that isn't known."""
        if self._answers < LEAST_ANSWERS:
            return None
        usual = self._mean + DEVIATIONS * self._deviation
        return max(LEAST_LIMIT_SECONDS, MARGIN * usual)

    def take_retry(self) -> bool:
        """Spend one retry, if the budget has one."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True


class RouteWaits:
    """The waits of all routes, by their names."""

    def __init__(self, policy: WaitPolicy) -> None:
        """Begin without an observation."""
        self._policy = policy
        self._routes: dict[str, AnswerWaits] = {}

    def of(self, route: str) -> AnswerWaits:
        """Give the waits of a route."""
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = AnswerWaits()
        return known

    def limit_seconds(self, route: str) -> float | None:
        """Give the wait after which an answer on a route is overdue, if one is."""
        return self.of(route).limit_seconds if self._policy.watches_overdue else None
