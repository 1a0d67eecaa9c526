"""The state of a tracker."""

import math

from notcharch.engine_load.messages import EngineCallsChanged, FinishedCall
from notcharch.engine_load.tracked_loads import (
    COUNT_EXPIRY_SECONDS,
    DISMISSED_SECONDS,
    TrackedLoads,
)
from notcharch.values.identifiers import DaemonName, Incarnation, Member


def member(name: str, incarnation: int = 1) -> Member:
    return Member(DaemonName(name), Incarnation(incarnation))


def notice(sequence: int, calls: dict[str, int], *finished: FinishedCall):
    return EngineCallsChanged("s", sequence, calls, finished)


def in_flight(loads: TrackedLoads, now: float) -> dict[str, int]:
    return {load.engine: load.in_flight for load in loads.loads("s", now)}


def elected(*engines: str, at: float = 0.0) -> TrackedLoads:
    loads = TrackedLoads(at)
    loads.elect(dict.fromkeys(engines, "s"), at)
    return loads


def tick(loads: TrackedLoads, begin: float, end: float) -> None:
    """Tick as often as a daemon does."""
    for number in range(1, round((end - begin) / 0.25) + 1):
        assert loads.tick(begin + number * 0.25) == 0.0


def test_an_engine_is_known_after_a_second():
    """Calls that run already are told by the first refreshes."""
    loads = elected("e")
    assert in_flight(loads, 0.99) == {}
    assert in_flight(loads, 1.0) == {"e": 0}
    assert loads.loads("another", 1.0) == ()


def test_older_notices_change_nothing():
    """A reordered notice would count calls that have ended."""
    loads = elected("e")
    loads.apply(member("a"), notice(5, {"e": 0}), 1.0)
    loads.apply(member("a"), notice(4, {"e": 2}), 1.1)
    loads.apply(member("a"), notice(5, {"e": 2}), 1.1)
    assert in_flight(loads, 1.2) == {"e": 0}
    loads.apply(member("a", 2), notice(1, {"e": 3}), 1.2)
    loads.apply(member("a", 1), notice(9, {"e": 7}), 1.3)
    assert in_flight(loads, 1.3) == {"e": 3}


def test_a_count_expires_exactly_after_its_last_notice():
    """A daemon may die, and nobody tells its trackers."""
    loads = elected("e")
    loads.apply(member("a"), notice(1, {"e": 2}), 0.5)
    loads.apply(member("b"), notice(1, {"e": 1}), 1.0)
    loads.apply(member("a"), notice(2, {"e": 2}), 1.5)
    assert in_flight(loads, 1.0 + COUNT_EXPIRY_SECONDS - 0.001) == {"e": 3}
    assert in_flight(loads, 1.0 + COUNT_EXPIRY_SECONDS) == {"e": 2}
    assert in_flight(loads, 1.5 + COUNT_EXPIRY_SECONDS) == {"e": 0}


def test_a_late_tick_restarts_the_tracking():
    """In a pause of 0.5 s or more, a refresh was missed."""
    loads = elected("e")
    for at in (0.25, 0.5, 0.75, 1.0):
        assert loads.tick(at) == 0.0
    assert not loads.is_pause_unnoticed(1.49)
    assert loads.is_pause_unnoticed(1.5)
    assert loads.tick(1.5) == 0.5
    assert in_flight(loads, 2.49) == {}
    assert in_flight(loads, 2.5) == {"e": 0}


def test_a_dismissed_tracker_answers_for_a_moment():
    """Its successor does not know the running calls yet."""
    loads = elected("e")
    tick(loads, 0.0, 2.0)
    loads.elect({}, 2.0)
    tick(loads, 2.0, 4.0)
    assert in_flight(loads, 4.0) == {"e": 0}
    loads.apply(member("a"), notice(1, {"e": 1}), 4.0)
    tick(loads, 4.0, 2.0 + DISMISSED_SECONDS)
    assert in_flight(loads, 2.0 + DISMISSED_SECONDS) == {"e": 1}
    tick(loads, 2.0 + DISMISSED_SECONDS, 4.0 + COUNT_EXPIRY_SECONDS)
    assert loads.engine_count == 0


def test_the_mean_interval_follows_the_engine():
    """Engines get faster and slower; the mean of all calls ever would hide it."""
    loads = elected("e")
    for number in range(70):
        interval = 0.010 if number < 10 else 0.025
        calls = FinishedCall("e", interval)
        loads.apply(member("a"), notice(number, {"e": 0}, calls), 1.0)
    (load,) = loads.loads("s", 1.0)
    assert 0.023 < load.event_interval_seconds < 0.025


def test_impossible_numbers_are_ignored():
    """A defect of one daemon must not make an engine look idle to all."""
    loads = elected("e")
    bad = [FinishedCall("e", value) for value in (math.nan, math.inf, -1.0, 0.0)]
    loads.apply(member("a"), notice(1, {"e": -4}, *bad), 1.0)
    loads.apply(member("b"), notice(1, {"e": 1}), 1.0)
    (load,) = loads.loads("s", 1.0)
    assert (load.in_flight, load.event_interval_seconds) == (1, None)
