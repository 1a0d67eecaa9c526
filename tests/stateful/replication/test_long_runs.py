"""Some of the longer runs, and that they notice every deliberate break."""

import pytest

from tests.stateful.replication.breaks import BREAKS
from tests.stateful.replication.long_run import first_violation

EXAMPLES = range(1, 41)
SEARCHED = range(1, 300)


def test_the_first_examples_hold():
    assert first_violation(EXAMPLES) is None


@pytest.mark.parametrize("name", sorted(BREAKS))
def test_a_deliberate_break_is_noticed(name):
    broken = BREAKS[name]
    known = range(broken.found_at, broken.found_at + 1)
    with broken.applied():
        assert first_violation(known) or first_violation(SEARCHED)


@pytest.mark.parametrize("name", sorted(BREAKS))
def test_the_same_example_holds_without_the_break(name):
    found_at = BREAKS[name].found_at
    assert first_violation(range(found_at, found_at + 1)) is None
