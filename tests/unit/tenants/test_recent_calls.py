"""Counting calls in a sliding window."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notcharch.tenants.recent_calls import SLOTS, RecentCalls

WINDOW = 5.0


@settings(derandomize=True, deadline=None)
@given(st.lists(st.floats(0.0, 2.0), max_size=60))
def test_no_call_is_forgotten_within_the_window_and_none_is_kept_long(gaps):
    recent = RecentCalls(WINDOW)
    times: list[float] = []
    now = 100.0
    for gap in gaps:
        now += gap
        recent.add(now)
        times.append(now)
        within = sum(at > now - WINDOW for at in times)
        longer = sum(at > now - WINDOW - 2 * WINDOW / SLOTS for at in times)
        assert within <= recent.count(now) <= longer


def test_restored_counts_are_not_younger():
    first = RecentCalls(WINDOW)
    for at in (100.0, 102.0, 104.0):
        first.add(at)
    second = RecentCalls(WINDOW)
    second.restore(first.by_age(104.0), 900.0)
    assert second.count(900.0) == 3
    assert second.count(902.0) >= first.count(106.0)
    assert second.count(900.0 + WINDOW + 1.0) == 0
    second.add(906.0)
    assert second.count(906.0) == pytest.approx(1)
