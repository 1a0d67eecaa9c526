"""How long a table stays fresh after a confirmation."""

import pytest

from notcharch.tenants.freshness import CLOCK_MARGIN_SECONDS, TableFreshness

BOUND = 5.0


def confirmed(version: int = 3, at: float = 10.0) -> TableFreshness:
    freshness = TableFreshness(BOUND)
    freshness.put_in_force(version)
    freshness.confirm(version, at)
    return freshness


def test_nothing_is_fresh_before_the_first_confirmation():
    freshness = TableFreshness(BOUND)
    assert not freshness.is_fresh(0.0)
    freshness.put_in_force(3)
    assert not freshness.is_fresh(0.0)


@pytest.mark.parametrize(
    ("now", "is_fresh"),
    [(10.0, True), (14.9, True), (14.91, False), (15.0, False), (100.0, False)],
)
def test_a_confirmation_lasts_for_the_bound_less_a_margin(now, is_fresh):
    assert pytest.approx(4.9) == BOUND - CLOCK_MARGIN_SECONDS
    assert confirmed().is_fresh(now) is is_fresh


def test_a_late_confirmation_of_an_earlier_time_changes_nothing():
    freshness = confirmed(at=10.0)
    freshness.confirm(3, 8.0)
    assert freshness.age(11.0) == pytest.approx(1.0)


@pytest.mark.parametrize("version", [2, 4, -1])
def test_a_confirmation_of_another_version_is_ignored(version):
    freshness = confirmed(at=10.0)
    freshness.confirm(version, 14.0)
    assert freshness.age(15.0) == pytest.approx(5.0)


def test_a_newer_table_needs_a_new_confirmation():
    freshness = confirmed(at=10.0)
    freshness.put_in_force(4)
    assert not freshness.is_fresh(10.0)
    freshness.put_in_force(3)
    freshness.confirm(3, 11.0)
    assert not freshness.is_fresh(11.0)


def test_an_expiry_is_known_ahead():
    assert confirmed().is_fresh(13.0, ahead_seconds=1.5)
    assert not confirmed().is_fresh(13.5, ahead_seconds=1.5)


def test_without_a_bound_no_confirmation_is_needed():
    assert TableFreshness(None).is_fresh(1e9)
