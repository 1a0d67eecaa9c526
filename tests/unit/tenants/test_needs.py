"""Whether the expected calls of several programs fit, against a simulation in steps."""

from random import Random

import pytest

from notcharch.tenants.needs import Need, Room, max_deficit
from notcharch.tenants.recent_calls import RecentCalls

STEP_SECONDS = 0.001


def deficit_in_steps(needs: list[Need], level: float, rate: float, capacity: float):
    """Return the greatest deficit of a bucket, simulated in small steps."""
    worst = -level
    now = 0.0
    end = max(need.start + need.seconds for need in needs)
    while now < end:
        for need in needs:
            if need.start <= now < need.start + need.seconds:
                level -= need.calls / need.seconds * STEP_SECONDS
        level = min(capacity, level + rate * STEP_SECONDS)
        worst = max(worst, -level)
        now += STEP_SECONDS
    return worst


@pytest.mark.parametrize("seed", range(20))
def test_the_deficit_is_that_of_a_simulation_in_steps(seed):
    """A shortfall between two changes of rate must not be missed."""
    random = Random(seed)
    needs = [
        Need(random.uniform(1, 20), random.uniform(0.5, 6), random.choice([0, 1, 3]))
        for _ in range(4)
    ]
    level, rate = random.uniform(-3, 16), random.uniform(1, 8)
    expected = deficit_in_steps(needs, level, rate, 16.0)
    assert max_deficit(needs, level, rate, 16.0) == pytest.approx(expected, abs=0.1)


def test_the_window_binds_before_the_bucket():
    """A full bucket must not hide that the window is used up."""
    room = Room(16.0, 6.0, 16.0, window_free=3.0, window_seconds=5.0)
    assert room.shortfall([Need(10.0, 4.0)]) == pytest.approx(7.0)


def test_calls_that_leave_the_window_make_room():
    room = Room(16.0, 6.0, 16.0, 3.0, leaving=[(0.5, 4.0), (2.0, 4.0)])
    assert room.shortfall([Need(10.0, 4.0)]) <= 0.0


def test_a_need_after_a_delay_is_what_is_left_of_it():
    assert Need(8.0, 4.0).after(1.0) == Need(6.0, 3.0)
    assert Need(8.0, 4.0, 2.0).after(1.5) == Need(8.0, 4.0, 0.5)
    assert Need(8.0, 4.0).after(9.0).calls == 0.0


def test_room_after_a_delay_has_gained_and_served():
    room = Room(2.0, 6.0, 16.0, 10.0, leaving=[(0.5, 4.0), (2.0, 4.0)])
    later = room.after(1.0, [Need(8.0, 4.0)])
    assert later.level == pytest.approx(2.0 + 6.0 - 2.0)
    assert later.window_free == pytest.approx(10.0 + 4.0 - 2.0)
    assert later.leaving == [(1.0, 4.0)]


def test_each_call_leaves_the_window_when_it_no_longer_counts():
    recent = RecentCalls(5.0)
    recent.add(0.0, 3.0)
    recent.add(1.0, 2.0)
    for seconds, calls in recent.leaving(1.0):
        before = recent.count(1.0 + seconds - 0.01)
        assert before - recent.count(1.0 + seconds) == calls
