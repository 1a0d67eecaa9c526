"""Random planned stops with a fixed seed, and deliberate faults."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from twisted.internet.defer import succeed

from notcharch.accounts.account_group import AccountGroup
from notcharch.journal.staying_members import MembersAsked, StayingMembers
from tests.stateful.accounts.stops_machine import StopsMachine
from tests.stateful.runs import RUN, assert_caught
from tests.unit.accounts import test_all_stop

WITHOUT_SHRINKING = settings(RUN, phases=[Phase.generate], report_multiple_bugs=False)
"""Shrinking the history of a fault that was made on purpose would take minutes."""


def random_stops():
    run_state_machine_as_test(StopsMachine, settings=WITHOUT_SHRINKING)


def others_stop_and_the_first_has_calls():
    test_all_stop.test_the_first_daemon_that_left_owns_partitions_again_for_its_last_calls(
        1
    )


def test_planned_stops_in_any_order_serve_all_calls():
    """Guards against calls without an owner in some order of stops and starts."""
    run_state_machine_as_test(StopsMachine, settings=RUN)


def others_always_seem_to_stay(monkeypatch):
    answer = MembersAsked(1, is_any_staying=True)
    monkeypatch.setattr(StayingMembers, "ask", lambda _: succeed(answer))


def nobody_joins_again(monkeypatch):
    monkeypatch.setattr(AccountGroup, "rejoin", lambda _: None)


@pytest.mark.parametrize(
    ("break_it", "scenario"),
    [
        (others_always_seem_to_stay, random_stops),
        (nobody_joins_again, others_stop_and_the_first_has_calls),
    ],
)
def test_faults_are_noticed(break_it, scenario, monkeypatch):
    """Guards against a machine that passes whatever stops do."""
    assert_caught(break_it, scenario, monkeypatch)
