"""Random lives over logs with short histories, and deliberate faults."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from notcharch.accounts.journal_history import JournalHistory
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.program_account import Program
from notcharch.accounts.record_renewal import RecordRenewer
from notcharch.journal.append_times import AppendTimes
from tests.stateful.accounts.retention_machine import (
    RetentionMachine,
    UndisturbedLog,
)
from tests.stateful.runs import RUN, assert_caught
from tests.unit.accounts import (
    test_granted_tokens,
    test_grants_of_a_ledger,
    test_log_retention,
)


def test_budgets_and_turns_hold_over_a_log_that_drops_records_by_age():
    run_state_machine_as_test(RetentionMachine, settings=RUN)


def test_turns_are_found_at_once_while_only_owners_are_lost():
    run_state_machine_as_test(UndisturbedLog, settings=RUN)


def nothing_is_renewed(monkeypatch):
    monkeypatch.setattr(AppendTimes, "due_offset", lambda *_: 0)


def nothing_is_stated(monkeypatch):
    monkeypatch.setattr(RecordRenewer, "_mark", lambda _: None)


def a_missing_record_proves_that_nothing_was_used(monkeypatch):
    monkeypatch.setattr(JournalHistory, "doubt_seconds", lambda *_: 0.0)
    monkeypatch.setattr(JournalHistory, "turn_doubt_seconds", lambda *_: 0.0)


def doubt_is_forgotten_by_the_next_owner(monkeypatch):
    original = JournalHistory.on_takeover

    def on_takeover(self, now):
        self._first_offset = 0
        original(self, now)

    monkeypatch.setattr(JournalHistory, "on_takeover", on_takeover)


def turns_tell_nothing_of_the_account(monkeypatch):
    monkeypatch.setattr(Ledger, "state_after_turn", lambda *_: None)


def a_next_call_is_always_let_in(monkeypatch):
    monkeypatch.setattr("notcharch.accounts.grant_plans.CALLS_WITH_ROOM", -100)


def records_name_no_calls(monkeypatch):
    monkeypatch.setattr(Program, "_inherit", lambda self, *_: self.reserved.clear())


BREAKS = [
    (
        nothing_is_renewed,
        lambda: test_log_retention.test_a_kept_turn_outlives_the_log_and_its_owners(
            20.0
        ),
    ),
    (
        nothing_is_stated,
        lambda: (
            test_log_retention.test_an_unknown_turn_is_denied_once_the_journal_proves_it(
                20.0
            )
        ),
    ),
    (
        a_missing_record_proves_that_nothing_was_used,
        lambda: (
            test_log_retention.test_what_a_longer_absence_may_have_lost_is_neither_denied_nor_given_anew(
                20.0
            )
        ),
    ),
    (
        doubt_is_forgotten_by_the_next_owner,
        lambda: test_log_retention.test_doubt_is_handed_on_to_later_owners(20.0),
    ),
    (
        turns_tell_nothing_of_the_account,
        test_granted_tokens.test_a_turn_that_is_kept_is_certain_for_the_next_owner,
    ),
    (
        a_next_call_is_always_let_in,
        lambda: (
            test_grants_of_a_ledger.test_the_record_of_an_older_gateways_turn_leaves_room_for_three_calls(
                1640, 0
            )
        ),
    ),
    (
        records_name_no_calls,
        test_grants_of_a_ledger.test_the_next_owner_counts_relayed_tokens_as_used,
    ),
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)
