"""Three-way merge: conflicts and findings of pairs of edits."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notcharch.table.edits import (
    EMPTY_CONTENTS,
    SetCell,
    SetKey,
    SetRow,
    SetZoneDrain,
    TableContents,
    difference,
    inverse,
)
from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.table.merge import merge

GUIDE = ServiceRow("guide", "studio", "small")
OTHER = ServiceRow("guide", "studio", "large")
BASE = TableContents.of([GUIDE], [TenantKey("studio", "a" * 64)])


DRAIN = SetZoneDrain("z-1", False, True)


def cell(name, before, after):
    return SetCell("guide", name, before, after)


@pytest.mark.parametrize(
    ("theirs", "mine", "conflicts"),
    [
        ([cell("share", 1.0, 2.0)], cell("priority", 5, 1), []),
        ([cell("share", 1.0, 2.0)], cell("share", 1.0, 2.0), []),
        (
            [cell("share", 1.0, 2.0)],
            cell("share", 1.0, 3.0),
            ["rows[guide].share: base 1.0, in force 2.0, yours 3.0"],
        ),
        (
            [cell("share", 1.0, 2.0), cell("share", 2.0, 1.0)],
            cell("share", 1.0, 3.0),
            [],
        ),
        (
            [SetRow("guide", GUIDE, None)],
            cell("share", 1.0, 3.0),
            ["rows[guide].share: base 1.0, in force 'no row', yours 3.0"],
        ),
        (
            [cell("share", 1.0, 2.0)],
            SetRow("guide", GUIDE, None),
            ["rows[guide].share: base 1.0, in force 2.0, yours 'no row'"],
        ),
        ([SetRow("guide", GUIDE, None)], SetRow("guide", GUIDE, None), []),
        (
            [],
            SetRow("guide", None, OTHER),
            ["rows[guide].pool: base 'no row', in force 'small', yours 'large'"],
        ),
        ([], SetRow("guide", None, GUIDE), []),
        ([DRAIN], DRAIN, []),
        ([DRAIN], SetZoneDrain("z-2", False, True), []),
        ([DRAIN, inverse(DRAIN)], DRAIN, []),
        ([], inverse(DRAIN), []),
        (
            [SetKey("a" * 64, "studio", "b")],
            SetKey("a" * 64, "studio", None),
            ["keys[" + "a" * 12 + "]: base 'studio', in force 'b', yours 'no key'"],
        ),
        ([], SetKey("c" * 64, None, "studio"), []),
    ],
)
def test_pairs_of_edits(theirs, mine, conflicts):
    current = merge(BASE, theirs)
    assert current.is_clean
    outcome = merge(current.contents, [mine])
    assert [f"{item.place}: {item.message}" for item in outcome.conflicts] == conflicts


@pytest.mark.parametrize(
    ("edit", "place"),
    [
        (cell("share", 1.0, 0.0), "rows[guide].share"),
        (cell("share", 1.0, "x"), "rows[guide].share"),
        (cell("colour", 1.0, "x"), "rows[guide].colour"),
        (cell("service", "guide", "x"), "rows[guide].service"),
        (cell("max_answer_tokens", 1024, 10**8), "rows[guide].max_answer_tokens"),
        (SetKey("short", None, "studio"), "keys[short].key_sha256"),
    ],
)
def test_edits_that_break_a_rule(edit, place):
    assert [item.place for item in merge(BASE, [edit]).findings] == [place]


def test_two_sound_edits_can_break_a_rule_together():
    smaller = cell("budget_tokens", 1_000_000, 5000)
    longer = cell("max_answer_tokens", 1024, 8000)
    assert merge(BASE, [smaller]).is_clean
    assert merge(BASE, [longer]).is_clean
    assert not merge(BASE, [smaller, longer]).is_clean


ROWS = st.builds(
    ServiceRow,
    service=st.sampled_from("abc"),
    tenant=st.sampled_from(["t", "u"]),
    pool=st.just("p"),
    share=st.sampled_from([1.0, 2.0]),
    priority=st.integers(0, 2),
)
KEYS = st.builds(
    TenantKey, tenant=st.sampled_from("tu"), key_sha256=st.sampled_from("fed")
)
CONTENTS = st.builds(TableContents.of, st.lists(ROWS), st.lists(KEYS))


@settings(derandomize=True, deadline=None, database=None)
@given(CONTENTS, CONTENTS)
def test_a_difference_applied_gives_its_target_and_undone_its_base(base, target):
    edits = difference(base, target)
    applied = merge(base, edits)
    assert applied.contents == target
    assert applied.applied == edits
    undo = [inverse(edit) for edit in reversed(edits)]
    assert merge(target, undo).contents == base
    assert msgspec.json.decode(
        msgspec.json.encode(edits), type=tuple[SetCell | SetRow | SetKey, ...]
    ) == tuple(edits)


def test_the_first_table_is_a_difference_from_nothing():
    edits = difference(EMPTY_CONTENTS, BASE)
    assert merge(EMPTY_CONTENTS, edits).contents == BASE


def test_drains_are_laid_over_those_in_force():
    drained = merge(BASE, [DRAIN]).contents
    assert drained.drained_zones == {"z-1"}
    assert difference(BASE, drained) == (DRAIN,)
    assert merge(drained, [inverse(DRAIN)]).contents == BASE
    assert not merge(BASE, [SetZoneDrain("no zone", False, True)]).is_clean
