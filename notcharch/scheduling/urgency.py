"""The urgency of a call among those that wait at an engine. Pure.

Engines admit calls of a lower level first. Each priority of a service's routes has a band
of three levels, so that no kind of call is put behind a less urgent one. Within a band:

- first, programs under way that are short of time or near their end;
- then other programs under way, programs that begin with little time, and calls without
  a program;
- last, programs that begin with more time, and those that can no longer be in time.

A call that could still be in time is thus never behind its own kind by a whole band.

Times left are compared with what is usual at first calls of all programs of the same
priority, because these wait together. docs/design/hard-load.md compares this order with others.
"""

import enum

import msgspec

from notcharch.scheduling.learned_values import LearnedMean

LEVELS_PER_PRIORITY = 3
LAST_LEVEL = 9
FIRST_LEVELS = {1: 4, 2: 2, 3: 1}
"""First level by the number of priorities; the bands lie around 5, the level of calls
without one, which older daemons send."""
SHORT_SHARE = 0.4
"""A program under way with less than this share of the usual time of a whole program is
short of time, or near its end."""
SHORT_BEGINNING_SHARE = 1.0
"""A program that begins with at most this share of the usual time counts as under way:
waiting behind all others would make short programs late."""
MIN_PLAUSIBLE_SHARE = 0.25
MAX_PLAUSIBLE_SHARE = 2.0
"""Bounds of a stated time left, as shares of what is usual at the first calls of the
route; the lower one is for first calls only."""
ASSUMED_CALLS = 8.0
"""Calls of a program while its time is not learned, as for limits of tenants."""
MAX_OBJECTIVES = 50.0
"""Upper bound of a stated time left in the learned mean, in objectives of the route."""
MIN_OBJECTIVE_SECONDS = 0.01
"""Lower bound of a route's objective, which its operator may set to zero."""
PROGRAM_WEIGHT = 0.05
"""Weight of the newest program in the usual time: one caller that states a wrong time
hardly changes it."""
QUICK_WEIGHT = 0.3
SLOWER_WEIGHT = 0.02
"""Weights of faster and slower calls in the duration of a quick call: it stays near the
fastest calls, and follows the engines when all become slower."""


class PriorityRank(msgspec.Struct, frozen=True):
    """The rank of a route's priority among the routes of its service."""

    rank: int = 0
    """Number of more urgent priorities."""
    count: int = 1
    """Number of different priorities."""


class ProgramCall(msgspec.Struct, frozen=True):
    """What is known of a call and its program."""

    is_program: bool
    """Whether the call belongs to a program."""
    is_under_way: bool
    """Whether the program had a call before."""
    seconds_left: float | None = None
    """Time left for the program as its caller states it; None if it states none."""


class UsualTimes(msgspec.Struct, frozen=True):
    """What is usual for the programs with which a call is compared."""

    route_program_seconds: float
    """Time left at the first call of programs of the same route."""
    program_seconds: float
    """The same for all routes of the service with the same priority."""
    quick_call_seconds: float
    """Duration of a call of the route that met free engines."""


class Standing(enum.IntEnum):
    """The position of a call within the band of its priority."""

    SHORT = 0
    UNDER_WAY = 1
    LAST = 2


def plausible_seconds(call: ProgramCall, stated: float, usual: UsualTimes) -> float:
    """Return the stated time left within what is plausible for the route."""
    shortest = 0.0 if call.is_under_way else MIN_PLAUSIBLE_SHARE
    bounded = max(stated, shortest * usual.route_program_seconds)
    return min(bounded, MAX_PLAUSIBLE_SHARE * usual.route_program_seconds)


def standing(call: ProgramCall, usual: UsualTimes) -> Standing:
    """Return the position of a call within the band of its priority."""
    if not call.is_program:
        return Standing.UNDER_WAY
    stated = call.seconds_left
    if stated is None:
        return Standing.UNDER_WAY if call.is_under_way else Standing.LAST
    if stated < usual.quick_call_seconds:
        return Standing.LAST
    share = plausible_seconds(call, stated, usual) / usual.program_seconds
    if call.is_under_way:
        return Standing.SHORT if share < SHORT_SHARE else Standing.UNDER_WAY
    return Standing.UNDER_WAY if share <= SHORT_BEGINNING_SHARE else Standing.LAST


def urgency_level(priority: PriorityRank, position: Standing) -> int:
    """Return the level of a call: 0 is first.

    Priorities beyond the third share the last level, behind all others.
    """
    first = FIRST_LEVELS.get(priority.count, 0)
    band = first + LEVELS_PER_PRIORITY * priority.rank
    return min(band + position, LAST_LEVEL)


class ProgramTimes:
    """Learns the time left that callers state at the first calls of programs."""

    def __init__(self, objective_seconds: float) -> None:
        """Assume programs of `ASSUMED_CALLS` calls of a route's objective each."""
        objective = max(objective_seconds, MIN_OBJECTIVE_SECONDS)
        self._mean = LearnedMean(ASSUMED_CALLS * objective, PROGRAM_WEIGHT)

    @property
    def seconds(self) -> float:
        """The usual time left at a first call."""
        return self._mean.value

    def record(self, call: ProgramCall, objective_seconds: float) -> None:
        """Record a call that is admitted; only first calls teach something."""
        stated = call.seconds_left or 0.0
        is_first = call.is_program and not call.is_under_way
        if is_first and stated > 0.0:
            objective = max(objective_seconds, MIN_OBJECTIVE_SECONDS)
            self._mean.record(min(stated, MAX_OBJECTIVES * objective))


class QuickCalls:
    """Learns the duration of a call that meets free engines."""

    def __init__(self) -> None:
        """Start with zero: before the first call, any program could be in time."""
        self.seconds = 0.0

    def record(self, seconds: float) -> None:
        """Record the duration of a served call, from its arrival to its end."""
        if not self.seconds:
            self.seconds = seconds
        weight = QUICK_WEIGHT if seconds < self.seconds else SLOWER_WEIGHT
        self.seconds += weight * (seconds - self.seconds)
