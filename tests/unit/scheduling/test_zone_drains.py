"""Drained zones when their sets arrive in any order."""

import pytest

from notcharch.scheduling.zone_drains import DrainChange, DrainedZones, ZoneDrains


def zones(position: int, *names: str) -> DrainedZones:
    return DrainedZones(frozenset(names), position)


def test_nothing_is_known_at_first():
    drains = ZoneDrains()
    assert not drains.are_known
    assert not drains.is_drained("a")


@pytest.mark.parametrize(
    ("newer", "drained", "cancelled"),
    [
        (zones(5, "a"), "", ""),
        (zones(6, "a"), "", ""),
        (zones(6, "a", "b"), "b", ""),
        (zones(6), "", "a"),
        (zones(6, "b"), "b", "a"),
    ],
)
def test_a_newer_set_tells_what_it_changes(newer, drained, cancelled):
    drains = ZoneDrains()
    drains.update(zones(5, "a"), 0.0)
    change = drains.update(newer, 1.0)
    assert change == DrainChange(frozenset(drained), frozenset(cancelled))
    assert change.has_changes is bool(drained or cancelled)
    assert drains.current == newer


def test_an_older_set_is_not_taken():
    drains = ZoneDrains()
    drains.update(zones(5, "a"), 0.0)
    assert drains.update(zones(4), 1.0) is None
    assert drains.is_drained("a")


def test_a_drain_lasts_from_when_it_was_seen_first():
    drains = ZoneDrains()
    drains.update(zones(1, "a"), 10.0)
    drains.update(zones(2, "a", "b"), 14.0)
    assert drains.longest_drain_seconds(("a", "b"), 15.0) == 5.0
    assert drains.longest_drain_seconds(("b", "c"), 15.0) == 1.0
    drains.update(zones(3, "b"), 16.0)
    assert drains.longest_drain_seconds(("a",), 17.0) == 0.0
    assert drains.longest_drain_seconds((), 17.0) == 0.0
