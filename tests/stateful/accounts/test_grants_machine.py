"""Random histories of calls that are granted tokens in parts, and deliberate faults."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from notcharch.accounts import grant_plans
from notcharch.accounts.ledger import Ledger, Verdict
from notcharch.accounts.program_account import Program
from tests.stateful.accounts.grants_machine import GrantsMachine
from tests.stateful.runs import RUN, assert_caught
from tests.unit.accounts import (
    test_call_allowance,
    test_granted_tokens,
    test_grants_of_a_ledger,
)


def test_grants_keep_budgets_and_serve_programs_with_room():
    """Guards against tokens beyond budget and one call, and against doubt that refuses."""
    run_state_machine_as_test(GrantsMachine, settings=RUN)


def a_call_is_granted_as_a_whole(monkeypatch):
    monkeypatch.setattr(grant_plans, "first_grant", lambda slack, event, most: most)


def a_grant_takes_all_that_is_left(monkeypatch):
    monkeypatch.setattr(grant_plans, "first_grant", lambda slack, event, most: slack)


def relayed_tokens_stay_doubted(monkeypatch):
    original = Program.take_up

    def take_up(self, *arguments, **options):
        held = original(self, *arguments, **options)
        held.relayed = 0
        return held

    monkeypatch.setattr(Program, "take_up", take_up)


def a_grant_is_raised_before_it_is_written(monkeypatch):
    monkeypatch.setattr(Ledger, "_durable_room", lambda *_: 10**9)


def a_taken_up_call_stays_in_doubt(monkeypatch):
    original = Program.take_up

    def take_up(self, *arguments, **options):
        doubted = self.doubted
        held = original(self, *arguments, **options)
        self.doubted = doubted
        return held

    monkeypatch.setattr(Program, "take_up", take_up)


def spent_is_said_of_doubted_tokens(monkeypatch):
    original = Ledger._check_budget

    def check(self, *arguments, **options):
        verdict = original(self, *arguments, **options)
        return Verdict.SPENT if verdict is Verdict.DOUBTED else verdict

    monkeypatch.setattr(Ledger, "_check_budget", check)


BREAKS = [
    (
        a_call_is_granted_as_a_whole,
        lambda: (
            test_granted_tokens.test_a_program_is_served_after_six_losses_of_gateway_and_owner(
                900
            )
        ),
    ),
    (
        a_grant_takes_all_that_is_left,
        test_grants_of_a_ledger.test_the_bound_covers_what_is_granted,
    ),
    (
        relayed_tokens_stay_doubted,
        test_granted_tokens.test_what_was_relayed_is_certain_for_the_next_owner,
    ),
    (
        a_grant_is_raised_before_it_is_written,
        test_call_allowance.test_nothing_is_let_in_that_is_not_in_the_journal,
    ),
    (
        a_taken_up_call_stays_in_doubt,
        test_granted_tokens.test_a_call_that_is_taken_up_is_doubted_no_more,
    ),
    (
        spent_is_said_of_doubted_tokens,
        test_granted_tokens.test_a_program_in_doubt_is_not_told_that_its_budget_is_spent,
    ),
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)
