"""Tests of the urgency of calls, and of what is learned for it."""

import math
from itertools import pairwise

import pytest

from notcharch.scheduling.urgency import (
    ASSUMED_CALLS,
    PriorityRank,
    ProgramCall,
    ProgramTimes,
    QuickCalls,
    Standing,
    UsualTimes,
    standing,
    urgency_level,
)
from tests.unit.scheduling.urgency_play import UrgencyPlay

USUAL = UsualTimes(
    route_program_seconds=4.0, program_seconds=6.0, quick_call_seconds=0.2
)


def begins(left: float | None) -> ProgramCall:
    return ProgramCall(is_program=True, is_under_way=False, seconds_left=left)


def under_way(left: float | None) -> ProgramCall:
    return ProgramCall(is_program=True, is_under_way=True, seconds_left=left)


@pytest.mark.parametrize(
    ("call", "found"),
    [
        (ProgramCall(is_program=False, is_under_way=False), Standing.UNDER_WAY),
        (under_way(None), Standing.UNDER_WAY),
        (under_way(6.0), Standing.UNDER_WAY),
        (under_way(2.5), Standing.UNDER_WAY),
        (under_way(2.3), Standing.SHORT),
        (under_way(0.21), Standing.SHORT),
        (begins(None), Standing.LAST),
        (begins(6.1), Standing.LAST),
        (begins(5.9), Standing.UNDER_WAY),
        (begins(0.21), Standing.UNDER_WAY),
        # Even a quick call would be late.
        (under_way(0.19), Standing.LAST),
        (under_way(-3.0), Standing.LAST),
        (begins(0.19), Standing.LAST),
    ],
)
def test_the_standing_of_a_call(call, found):
    assert standing(call, USUAL) is found


@pytest.mark.parametrize("stated", [1e18, math.inf, math.nan])
def test_an_implausible_time_left_gains_nothing(stated):
    """Guards against callers that state any time left."""
    assert standing(under_way(stated), USUAL) is Standing.UNDER_WAY
    assert standing(begins(stated), USUAL) is Standing.LAST


def test_a_beginning_gains_nothing_by_stating_less_time_than_its_route_usually_has():
    """Guards against long programs that state little time to precede short ones."""
    usual = UsualTimes(
        route_program_seconds=30.0, program_seconds=6.0, quick_call_seconds=0.2
    )
    assert standing(begins(0.5), usual) is Standing.LAST


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


def test_the_time_of_a_program_is_learned_from_first_calls():
    times = ProgramTimes(0.5)
    assert times.seconds == ASSUMED_CALLS * 0.5
    times.record(begins(3.0), 0.5)
    for _ in range(50):
        times.record(under_way(0.1), 0.5)
        times.record(ProgramCall(False, False, 0.1), 0.5)
        times.record(begins(None), 0.5)
    assert times.seconds == 3.0
    times.record(begins(5.0), 0.5)
    assert times.seconds == pytest.approx(3.1)


def test_the_learned_time_stays_within_bounds():
    """Guards against callers that state any time left."""
    times = ProgramTimes(0.5)
    for _ in range(100):
        for stated in (math.nan, -1.0, 0.0, 1e18, math.inf):
            times.record(begins(stated), 0.5)
    assert times.seconds <= 25.0
    one = ProgramTimes(0.5)
    one.record(begins(3.0), 0.5)
    one.record(begins(1e18), 0.5)
    assert one.seconds < 4.2


def test_a_route_without_an_objective_has_a_usual_time():
    times = ProgramTimes(0.0)
    assert times.seconds > 0.0
    times.record(begins(5.0), 0.0)
    assert 0.0 < times.seconds < 1.0


def test_the_duration_of_a_quick_call_stays_near_the_fastest():
    quick = QuickCalls()
    for _ in range(100):
        quick.record(0.2)
        quick.record(2.0)
    assert 0.2 <= quick.seconds < 0.4
    for _ in range(300):
        quick.record(2.0)
    assert quick.seconds > 1.9


@pytest.mark.parametrize("seed", [1, 2])
def test_fewer_played_programs_are_late_than_in_the_order_of_arrival(seed):
    """Guards against an order that only moves the lateness to other programs."""
    by_arrival = UrgencyPlay(0.75, seed, is_rated=False).late_share(9.0)
    by_urgency = UrgencyPlay(0.75, seed, is_rated=True).late_share(9.0)
    assert by_urgency < 0.8 * by_arrival
