"""Runs of whole daemons with faults of the network and the log service."""

import pytest

from tests.stateful.replication.region_breaks import REGION_BREAKS
from tests.stateful.replication.region_run import first_violation

EXAMPLES = range(1, 41)
SEARCHED = range(1, 400)

FOUND = [
    pytest.param(1027, id="deaths_of_a_configuration_learnt_later_were_not_known"),
    pytest.param(1280, id="a_commit_notice_skipped_while_a_round_was_in_flight"),
    pytest.param(1019, id="a_blank_member_counted_as_lost_though_it_had_a_vote"),
    pytest.param(1108, id="rebuilt_before_a_survivor_was_seen_again"),
]


def test_the_first_examples_hold():
    assert first_violation(EXAMPLES) is None


@pytest.mark.parametrize("seed", FOUND)
def test_an_example_that_found_a_fault_holds(seed):
    assert first_violation(range(seed, seed + 1)) is None


@pytest.mark.parametrize("name", sorted(REGION_BREAKS))
def test_a_deliberate_break_is_noticed(name):
    broken = REGION_BREAKS[name]
    known = range(broken.found_at, broken.found_at + 1)
    with broken.applied():
        assert first_violation(known) or first_violation(SEARCHED)
