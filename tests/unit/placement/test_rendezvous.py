"""Tests of rendezvous hashing and of assignments cached across membership changes."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from notcharch.placement.assignment import Assignment
from notcharch.placement.rendezvous import winner
from tests.unit.placement.fakes import FakeView, live

REGION_OF_75 = [live(f"daemon-{n}", f"zone-{n % 4}") for n in range(75)]


@st.composite
def members(draw):
    zones = draw(st.lists(st.integers(0, 4), min_size=1, max_size=12))
    return [live(f"daemon-{n}", f"zone-{zone}") for n, zone in enumerate(zones)]


@settings(derandomize=True, deadline=None)
@given(members(), st.integers(0, 100))
def test_one_of_the_members_wins_whatever_their_order(present, key):
    chosen = winner(f"engine/{key}", present)
    assert chosen in {member.member.daemon for member in present}
    assert winner(f"engine/{key}", reversed(present)) == chosen


def test_nobody_wins_without_members():
    assert winner("engine/1", []) is None


@settings(derandomize=True, deadline=None)
@given(members(), st.integers(0, 100), st.data())
def test_a_lost_member_moves_only_what_it_held(present, key, data):
    name = f"engine/{key}"
    before = winner(name, present)
    lost = data.draw(st.sampled_from(present))
    after = winner(name, [member for member in present if member != lost])
    assert (after == before) == (lost.member.daemon != before)


def test_movement_and_balance_in_a_region():
    keys = [f"engine/{n}" for n in range(3072)]
    before = {key: winner(key, REGION_OF_75) for key in keys}
    after = {key: winner(key, REGION_OF_75[1:]) for key in keys}
    removed = REGION_OF_75[0].member.daemon
    assert [key for key in keys if before[key] == removed] == [
        key for key in keys if before[key] != after[key]
    ]
    load = Counter(before.values())
    assert max(load.values()) < 2 * 3072 / 75


def test_leaving_members_hold_only_what_nobody_else_can():
    view = FakeView([live("a", "x"), live("b", "y"), live("c", "z", leaving=True)])
    assignment = Assignment(view)
    for number in range(20):
        assert assignment.steward_of(f"engine-{number}") in {"a", "b"}
    view.change([live("c", "z", leaving=True)])
    assert assignment.steward_of("engine-1") == "c"
    view.change([])
    assert assignment.steward_of("engine-1") is None


@st.composite
def views(draw):
    """Draw membership views in which daemons join, leave, are removed and return."""
    return [
        [
            live(f"daemon-{n}", f"zone-{n % 4}", draw(st.integers(0, 5)) == 0)
            for n in range(12)
            if draw(st.integers(0, 3))
        ]
        for _ in range(draw(st.integers(2, 6)))
    ]


@settings(derandomize=True, deadline=None)
@given(views())
def test_choices_kept_over_changes_are_those_of_a_fresh_assignment(views):
    view = FakeView(views[0])
    assignment = Assignment(view)
    for present in views:
        view.change(present)
        fresh = Assignment(view)
        for n in range(20):
            assert assignment.steward_of(f"e{n}") == fresh.steward_of(f"e{n}")
