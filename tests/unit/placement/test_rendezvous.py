"""Rendezvous hashing over zones."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from notcharch.placement.assignment import Assignment
from notcharch.placement.rendezvous import spread_over_zones
from tests.unit.placement.fakes import FakeView, live

REGION_OF_75 = [live(f"daemon-{n}", f"zone-{n % 4}") for n in range(75)]


@st.composite
def members(draw):
    zones = draw(st.lists(st.integers(0, 4), min_size=1, max_size=12))
    return [live(f"daemon-{n}", f"zone-{zone}") for n, zone in enumerate(zones)]


@settings(derandomize=True, deadline=None)
@given(members(), st.integers(0, 100), st.integers(1, 5))
def test_as_many_members_and_zones_as_there_are(present, key, count):
    chosen = spread_over_zones(f"partition/{key}", present, count)
    zone_of = {m.member.daemon: m.zone for m in present}
    zones = {zone_of[daemon] for daemon in chosen}
    assert len(set(chosen)) == len(chosen) == min(count, len(present))
    assert len(zones) == min(count, len(set(zone_of.values())))


@settings(derandomize=True, deadline=None)
@given(members(), st.integers(0, 100), st.data())
def test_a_lost_member_moves_only_what_it_held(present, key, data):
    name = f"partition/{key}"
    before = spread_over_zones(name, present, 3)
    lost = data.draw(st.sampled_from(present))
    rest = [member for member in present if member != lost]
    after = spread_over_zones(name, rest, 3)
    if lost.member.daemon not in before:
        assert after == before
    elif len({member.zone for member in rest}) >= 3:
        assert len(set(before) - set(after)) == 1


def test_movement_and_balance_in_a_region():
    keys = [f"partition/{n}" for n in range(1024)]
    before = {key: set(spread_over_zones(key, REGION_OF_75, 3)) for key in keys}
    after = {key: set(spread_over_zones(key, REGION_OF_75[1:], 3)) for key in keys}
    lost = REGION_OF_75[0].member.daemon
    held = [key for key in keys if lost in before[key]]
    moved = [key for key in keys if before[key] != after[key]]
    assert moved == held
    assert all(len(before[key] - after[key]) == 1 for key in moved)
    load = Counter(daemon for chosen in before.values() for daemon in chosen)
    assert max(load.values()) < 2 * 3 * 1024 / 75


def test_leaving_members_hold_only_what_nobody_else_can():
    view = FakeView([live("a", "x"), live("b", "y"), live("c", "z", leaving=True)])
    assignment = Assignment(view, 3)
    for partition in range(20):
        assert set(assignment.replicas_of(partition)) == {"a", "b", "c"}
        assert assignment.replicas_of(partition)[2] == "c"
        assert assignment.steward_of(f"engine-{partition}") != "c"
    view.change([*view.members, live("d", "z")])
    for partition in range(20):
        assert set(assignment.replicas_of(partition)) == {"a", "b", "d"}
    view.change([live("c", "z", leaving=True)])
    assert assignment.steward_of("engine-1") == "c"
    view.change([])
    assert assignment.steward_of("engine-1") is None
    assert assignment.replicas_of(1) == ()


@st.composite
def views(draw):
    """Let daemons come, go, leave, return and change their zones."""
    return [
        [
            live(f"daemon-{n}", f"zone-{draw(st.integers(0, 3))}", draw(st.booleans()))
            if draw(st.integers(0, 5)) == 0
            else live(f"daemon-{n}", f"zone-{n % 4}")
            for n in range(12)
            if draw(st.integers(0, 3))
        ]
        for _ in range(draw(st.integers(2, 6)))
    ]


@settings(derandomize=True, deadline=None)
@given(views(), st.integers(1, 4))
def test_choices_kept_over_changes_are_those_of_a_fresh_assignment(views, replicas):
    view = FakeView(views[0])
    assignment = Assignment(view, replicas)
    for present in views:
        view.change(present)
        fresh = Assignment(view, replicas)
        for n in range(20):
            assert assignment.replicas_of(n) == fresh.replicas_of(n)
            assert assignment.steward_of(f"e{n}") == fresh.steward_of(f"e{n}")
