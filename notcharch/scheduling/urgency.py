"""The urgency of a call among those that wait at an engine. Pure.

Engines admit calls of a lower level first. Each priority of a service's routes has a band
of three levels, so that no kind of call is put behind a less urgent one. Within a band:

- first, programs under way whose time left is shorter than their remaining work, or
  short and at least half done;
- then other programs under way, and calls without a program;
- last, programs that begin, and those that can no longer be in time.

A call that could still be in time is thus never behind its own kind by a whole band.
"""

import enum

import msgspec

from notcharch.scheduling.learned_values import LearnedMean

LEVELS_PER_PRIORITY = 3
LAST_LEVEL = 9
FIRST_LEVELS = {1: 4, 2: 2, 3: 1}
"""First level by the number of priorities; the bands lie around 5, the level of calls
without one, which older daemons send."""
SHORT_FACTOR = 1.3
"""Time left is short below this multiple of the remaining work: the tightest targets are
1.3 times the work on idle engines."""
HALF_DONE_SHARE = 0.5
MAX_PLAUSIBLE_FACTOR = 2.0
"""A stated time left counts at most as this multiple of what is usual at first calls,
or of the work of a whole program."""
ASSUMED_CALLS = 8.0
"""Calls of a program before they are learned, as for limits of tenants."""
MAX_CALLS = 50.0
"""Upper bound of the learned calls of a program; some programs loop without end."""
BEGIN_WEIGHT = 0.02
"""Weight of the newest call in the share of calls that begin programs: some fifty calls
have several beginnings."""
MAX_OBJECTIVES = 50.0
"""Upper bound of a stated time left at a first call, in objectives of the route."""
MIN_OBJECTIVE_SECONDS = 0.01
"""Lower bound of a route's objective, which its operator may set to zero."""
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
    calls_so_far: int | None = None
    """Earlier calls of the program; None if unknown."""


class RouteUsual(msgspec.Struct, frozen=True):
    """What is usual for the programs of a route."""

    calls: float
    """Calls of a program."""
    call_seconds: float
    quick_call_seconds: float
    """Duration of a call that met free engines."""
    program_seconds: float
    """Time left at the first call."""


class Standing(enum.IntEnum):
    """The position of a call within the band of its priority."""

    SHORT = 0
    UNDER_WAY = 1
    LAST = 2


def plausible_seconds(stated: float, usual: RouteUsual) -> float:
    """Return the stated time left within what is plausible for the route."""
    work = usual.calls * usual.call_seconds
    longest = MAX_PLAUSIBLE_FACTOR * max(usual.program_seconds, work)
    return min(max(stated, 0.0), longest)


def remaining_calls(call: ProgramCall, usual: RouteUsual) -> float:
    """Return the expected remaining calls of a program, including this one.

    Where its earlier calls are unknown, it counts as on schedule: the share of its time
    that is left is the share of its calls.
    """
    if call.calls_so_far is not None:
        return max(usual.calls - call.calls_so_far, 1.0)
    if not call.is_under_way or call.seconds_left is None:
        return max(usual.calls, 1.0)
    seconds = plausible_seconds(call.seconds_left, usual)
    share = min(seconds / usual.program_seconds, 1.0)
    return max(usual.calls * share, 1.0)


def standing(call: ProgramCall, usual: RouteUsual) -> Standing:
    """Return the position of a call within the band of its priority."""
    if not call.is_program:
        return Standing.UNDER_WAY
    if not call.is_under_way:
        return Standing.LAST
    if call.seconds_left is None:
        return Standing.UNDER_WAY
    left = plausible_seconds(call.seconds_left, usual)
    remaining = remaining_calls(call, usual)
    if left < remaining * usual.quick_call_seconds:
        return Standing.LAST
    work = remaining * usual.call_seconds
    is_half_done = remaining <= HALF_DONE_SHARE * usual.calls
    if left < work or (left < SHORT_FACTOR * work and is_half_done):
        return Standing.SHORT
    return Standing.UNDER_WAY


def urgency_level(priority: PriorityRank, position: Standing) -> int:
    """Return the level of a call: 0 is first.

    Priorities beyond the third share the last level, behind all others.
    """
    first = FIRST_LEVELS.get(priority.count, 0)
    band = first + LEVELS_PER_PRIORITY * priority.rank
    return min(band + position, LAST_LEVEL)


class RouteProgress:
    """Learns what is usual for the programs of one route.

    The calls of a program are the inverse of the share of calls that begin one: programs
    may send each call to another daemon, so no daemon sees whole programs.
    """

    def __init__(self, route_objective_seconds: float) -> None:
        """Assume programs of `ASSUMED_CALLS` calls of the route's objective each."""
        objective_seconds = max(route_objective_seconds, MIN_OBJECTIVE_SECONDS)
        self._max_program_seconds = MAX_OBJECTIVES * objective_seconds
        self._begins = LearnedMean(
            1.0 / ASSUMED_CALLS, BEGIN_WEIGHT, replaces_assumed=False
        )
        self._program_seconds = LearnedMean(ASSUMED_CALLS * objective_seconds)
        self._call_seconds = LearnedMean(objective_seconds)
        self._quick_seconds = 0.0
        """Zero before the first call: until then any call could be in time."""

    @property
    def usual(self) -> RouteUsual:
        """Return what is usual now."""
        return RouteUsual(
            calls=min(1.0 / max(self._begins.value, 1.0 / MAX_CALLS), MAX_CALLS),
            call_seconds=self._call_seconds.value,
            quick_call_seconds=self._quick_seconds,
            program_seconds=self._program_seconds.value,
        )

    def record_call(self, call: ProgramCall) -> None:
        """Record a call of a program that is sent to an engine."""
        if not call.is_program:
            return
        self._begins.record(0.0 if call.is_under_way else 1.0)
        stated = call.seconds_left or 0.0
        if not call.is_under_way and stated > 0.0:
            self._program_seconds.record(min(stated, self._max_program_seconds))

    def record_duration(self, seconds: float) -> None:
        """Record the duration of a served call, from its arrival to its end."""
        self._call_seconds.record(seconds)
        if not self._quick_seconds:
            self._quick_seconds = seconds
        is_quicker = seconds < self._quick_seconds
        weight = QUICK_WEIGHT if is_quicker else SLOWER_WEIGHT
        self._quick_seconds += weight * (seconds - self._quick_seconds)
