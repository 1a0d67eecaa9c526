"""Who tracks the load of engines, and where it is needed."""

from random import Random

import pytest

from notcharch.scheduling.load_trackers import (
    HANDOVER_SECONDS,
    MAX_HANDOVER_SECONDS,
    ExchangeMode,
    TrackerElection,
    TrackerViews,
    exchange_mode,
    tracker_count,
    trackers_to_ask,
)

MEMBERS = tuple(f"d{number:02}" for number in range(48))
ENGINES = tuple(f"e{number}" for number in range(100))


@pytest.mark.parametrize(
    ("members", "trackers"), [(0, 0), (1, 1), (12, 1), (13, 2), (48, 4), (300, 25)]
)
def test_the_number_of_trackers_grows_with_the_members(members, trackers):
    """With a fixed number, the work of a tracker would grow with the daemons."""
    assert tracker_count(members) == trackers
    names = tuple(f"d{number}" for number in range(members))
    assert len(TrackerElection(names).trackers("s")) == trackers


def test_daemons_agree_and_services_differ():
    """Daemons elect without a message, and one daemon must not track everything."""
    first = TrackerElection(MEMBERS)
    second = TrackerElection(tuple(reversed(MEMBERS)))
    services = [f"s{number}" for number in range(8)]
    assert all(first.trackers(name) == second.trackers(name) for name in services)
    assert len({first.trackers(name) for name in services}) == 8
    for engine in ENGINES:
        tracker = first.tracker("s0", engine)
        assert tracker == second.tracker("s0", engine)
        assert tracker in first.trackers("s0")


def test_engines_are_spread_over_the_trackers():
    """The busiest tracker bounds the load that the exchange can bear."""
    election = TrackerElection(MEMBERS)
    tracked = [election.tracker("s", engine) for engine in ENGINES]
    assert max(tracked.count(name) for name in election.trackers("s")) <= 35


def test_a_member_that_leaves_moves_only_its_own_engines():
    """Each moved engine has no whole count for a second."""
    before = TrackerElection(MEMBERS)
    trackers = before.trackers("s")
    other = next(name for name in MEMBERS if name not in trackers)
    after = TrackerElection(tuple(name for name in MEMBERS if name != other))
    assert after.trackers("s") == trackers
    after = TrackerElection(tuple(name for name in MEMBERS if name != trackers[0]))
    for engine in ENGINES:
        new = after.tracker("s", engine)
        assert new in (before.tracker("s", engine), after.trackers("s")[-1]) or (
            before.tracker("s", engine) == trackers[0]
        )


def test_without_members_nobody_tracks():
    """A daemon that has just started knows no members."""
    election = TrackerElection(())
    assert (election.trackers("s"), election.tracker("s", "e")) == ((), None)
    assert exchange_mode(1, 0, 1.0) is ExchangeMode.OFF


@pytest.mark.parametrize(
    ("slots", "run_seconds", "mode"),
    [
        (8, 0.05, ExchangeMode.REQUESTS),
        (8, 0.049, ExchangeMode.REPORTS),
        (8, 0.024, ExchangeMode.OFF),
        (8, None, ExchangeMode.REQUESTS),
        (9, 0.2, ExchangeMode.OFF),
        (0, 0.2, ExchangeMode.OFF),
    ],
)
def test_where_the_exchange_is_on(slots, run_seconds, mode):
    """Deployments with large engines are served as before."""
    assert exchange_mode(slots, 48, run_seconds) is mode


def test_the_exchange_is_off_where_few_daemons_share_an_engine():
    """Guards against messages where a daemon's own calls show an engine's load."""
    assert exchange_mode(6, 11, 0.2) is ExchangeMode.OFF
    assert exchange_mode(6, 12, 0.2) is ExchangeMode.REQUESTS


def test_asked_trackers():
    """The cached engine's tracker is asked for certain, and never one twice."""
    candidates = ("a", "b", "c", "d", "e")
    drawn = [trackers_to_ask(candidates, "d", Random(seed)) for seed in range(50)]
    assert all(names[0] == "d" and len(set(names)) == 3 for names in drawn)
    assert {name for names in drawn for name in names} == set(candidates)
    assert sorted(trackers_to_ask(("a", "b"), None, Random(1))) == ["a", "b"]
    assert trackers_to_ask(("a",), "gone", Random(1)) == ["a"]


def test_a_handover_ends():
    """Reports to two trackers are twice the work, and the one before may be gone."""
    views = TrackerViews()
    assert views.update(MEMBERS, 0.0)
    assert views.asked is views.current
    first = views.current
    left = first.trackers("s")[0]
    others = tuple(name for name in MEMBERS if name != left)
    assert views.update(others, 10.0)
    assert views.asked is first
    moved = next(e for e in ENGINES if first.tracker("s", e) != _now(views, e))
    assert set(views.reported_to("s", moved)) == {
        first.tracker("s", moved),
        _now(views, moved),
    }
    assert views.known_members() == set(MEMBERS)
    assert not views.update(others, 10.0 + HANDOVER_SECONDS)
    assert views.asked is views.current
    assert views.reported_to("s", moved) == (_now(views, moved),)


def test_a_handover_is_bounded_while_members_keep_changing():
    """The trackers before all changes may have ended long ago."""
    views = TrackerViews()
    views.update(MEMBERS, 0.0)
    first = views.current
    now = 10.0
    for count in range(1, 10):
        views.update(MEMBERS[count:], now)
        is_over = now - 10.0 >= MAX_HANDOVER_SECONDS
        assert (views.asked is first) == (not is_over)
        now += 0.5


def _now(views, engine):
    return views.current.tracker("s", engine)
