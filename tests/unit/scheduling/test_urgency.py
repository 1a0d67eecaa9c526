"""Tests of the urgency of calls, and of what is learned for it."""

import math
from itertools import pairwise

import pytest

from notcharch.scheduling.urgency import (
    ASSUMED_CALLS,
    MAX_CALLS,
    PriorityRank,
    ProgramCall,
    RouteProgress,
    RouteUsual,
    Standing,
    standing,
    urgency_level,
)

USUAL = RouteUsual(
    calls=8.0, call_seconds=0.5, quick_call_seconds=0.2, program_seconds=6.0
)
BEGINS = ProgramCall(is_program=True, is_under_way=False, seconds_left=6.0)


def under_way(left: float | None, calls: int | None = None) -> ProgramCall:
    return ProgramCall(
        is_program=True, is_under_way=True, seconds_left=left, calls_so_far=calls
    )


@pytest.mark.parametrize(
    ("call", "found"),
    [
        (BEGINS, Standing.LAST),
        (ProgramCall(is_program=False, is_under_way=False), Standing.UNDER_WAY),
        (under_way(None), Standing.UNDER_WAY),
        (under_way(6.0), Standing.UNDER_WAY),
        # Near its end: less than one usual call is left.
        (under_way(0.4), Standing.SHORT),
        # Earlier calls known: 4 are left, with 2 s of work.
        (under_way(1.9, 4), Standing.SHORT),
        (under_way(2.5, 4), Standing.SHORT),
        (under_way(2.7, 4), Standing.UNDER_WAY),
        # 7 are left: the program is not half done, and has to be shorter of time.
        (under_way(3.6, 1), Standing.UNDER_WAY),
        (under_way(3.4, 1), Standing.SHORT),
        # Even quick calls would be late.
        (under_way(0.7, 4), Standing.LAST),
        (under_way(0.1), Standing.LAST),
        (under_way(-3.0), Standing.LAST),
        (under_way(0.4, 100), Standing.SHORT),
    ],
)
def test_the_standing_of_a_call(call, found):
    assert standing(call, USUAL) is found


@pytest.mark.parametrize("stated", [1e18, math.inf, math.nan])
def test_an_implausible_time_left_gains_nothing(stated):
    """Guards against callers that state any time left."""
    assert standing(under_way(stated), USUAL) is Standing.UNDER_WAY


@pytest.mark.parametrize("count", range(1, 8))
def test_no_kind_is_behind_a_less_urgent_one(count):
    bands = [
        [urgency_level(PriorityRank(rank, count), position) for position in Standing]
        for rank in range(count)
    ]
    for band, next_band in pairwise(bands):
        assert max(band) < min(next_band) or set(next_band) == {9}
        assert min(next_band) - min(band) <= 3
    assert all(0 <= level <= 9 for band in bands for level in band)


def test_a_call_without_a_level_is_in_the_middle_where_all_calls_are_of_one_kind():
    """Guards against starving calls of older daemons, which state no level: it is 5."""
    levels = [urgency_level(PriorityRank(), position) for position in Standing]
    assert levels == [4, 5, 6]


def test_the_calls_of_a_program_are_learned_without_seeing_whole_programs():
    progress = RouteProgress(0.5)
    assert progress.usual.calls == pytest.approx(ASSUMED_CALLS)
    for _ in range(200):
        progress.record_call(BEGINS)
        for _ in range(3):
            progress.record_call(under_way(3.0))
    assert progress.usual.calls == pytest.approx(4.0, rel=0.15)
    assert progress.usual.program_seconds == pytest.approx(6.0)


def test_learned_values_stay_within_bounds():
    progress = RouteProgress(0.5)
    for stated in (1e18, math.inf, math.nan, -1.0, 0.0, 1e18):
        progress.record_call(ProgramCall(True, False, stated))
    for _ in range(1000):
        progress.record_call(under_way(1.0))
    usual = progress.usual
    assert 1.0 <= usual.calls <= MAX_CALLS
    assert 0.0 < usual.program_seconds <= 25.0


def test_a_route_without_an_objective_has_usual_values():
    usual = RouteProgress(0.0).usual
    assert usual.program_seconds > 0.0
    assert standing(under_way(0.0), usual) is Standing.SHORT


def test_the_duration_of_a_quick_call_stays_near_the_fastest():
    progress = RouteProgress(0.5)
    for _ in range(100):
        progress.record_duration(0.2)
        progress.record_duration(2.0)
    usual = progress.usual
    assert usual.quick_call_seconds < 0.4
    assert usual.call_seconds > 1.0
