"""Random histories of programs' accounts with a fixed seed, and deliberate faults."""

import pytest
from hypothesis.stateful import run_state_machine_as_test
from twisted.internet.defer import succeed

from notcharch.accounts import starting_allowance, turns
from notcharch.accounts.call_account import CallAccount
from notcharch.accounts.ledger import Ledger, Verdict
from notcharch.accounts.partition import OwnedPartition
from notcharch.accounts.starting_allowance import (
    NO_ALLOWANCE,
    STEP_PERMILLE,
    Allowance,
    StartingAllowance,
)
from notcharch.journal.entries import Outcome
from notcharch.journal.writer import PartitionWriter
from tests.stateful.accounts.machine import AccountsMachine
from tests.stateful.runs import RUN, assert_caught
from tests.unit.accounts import (
    test_accounts,
    test_starting_allowance,
    test_stored_turns,
)
from tests.unit.accounts.short_memory import without_texts


def test_budgets_and_kept_turns_hold():
    run_state_machine_as_test(AccountsMachine, settings=RUN)


class OlderGateways(AccountsMachine):
    """Gateways whose calls are granted as a whole."""

    is_older = True


def test_budgets_and_kept_turns_hold_with_gateways_of_older_builds():
    """Guards against calls of a mixed fleet that are counted with a part of their grant."""
    run_state_machine_as_test(OlderGateways, settings=RUN)


def test_budgets_and_kept_turns_hold_while_all_texts_are_set_aside(monkeypatch):
    """Memory is always short: each text is read from the journal for each call."""
    monkeypatch.setattr(turns, "MIN_ASIDE_BYTES", 0)
    run_state_machine_as_test(ShortOfMemory, settings=RUN)


class ShortOfMemory(AccountsMachine):
    """Daemons that hold no text."""

    memory = staticmethod(without_texts)


def bounds_are_not_written(monkeypatch):
    def write(self, record, done, **_):
        done(Outcome.DURABLE)

    monkeypatch.setattr(PartitionWriter, "write", write)


def unknown_turns_are_denied_in_doubt(monkeypatch):
    monkeypatch.setattr(OwnedPartition, "_is_still_owner", lambda _: succeed(True))


def a_successor_counts_nothing(monkeypatch):
    original = Ledger.replay

    def replay(self, record, *arguments):
        original(self, record, *arguments)
        for program in self._programs.values():
            program.used = program.doubted = 0
            program.reserved.clear()

    monkeypatch.setattr(Ledger, "replay", replay)


def a_successor_ignores_allowances(monkeypatch):
    monkeypatch.setattr(StartingAllowance, "inherited", lambda *_: NO_ALLOWANCE)


def a_successor_ignores_the_first_calls_that_were_allowed(monkeypatch):
    def replay(self, record):
        self._inherited = Allowance(record.permille)
        self._inherited_written_at = record.written_at

    monkeypatch.setattr(StartingAllowance, "replay", replay)


def allowances_add_up_without_end(monkeypatch):
    monkeypatch.setattr(starting_allowance, "MAX_PERMILLE", 5000)
    monkeypatch.setattr(StartingAllowance, "replay", count_only_the_last_step)


def count_only_the_last_step(self, record):
    self._inherited = Allowance(STEP_PERMILLE, record.call_tokens)
    self._inherited_written_at = record.written_at


def an_allowance_never_ends(monkeypatch):
    monkeypatch.setattr(StartingAllowance, "is_in_force", lambda *_: True)


def calls_that_were_given_up_are_forgotten(monkeypatch):
    original = Ledger.admit

    def admit(self, name, *call):
        self.program(name, now=0.0).abandoned.clear()
        return original(self, name, *call)

    monkeypatch.setattr(Ledger, "admit", admit)


def budgets_are_not_compared(monkeypatch):
    monkeypatch.setattr(Ledger, "_check_budget", lambda *_: Verdict.ADMITTED)


def turns_are_shown_before_they_are_written(monkeypatch):
    def keep(self, output, events, then):
        then.durable()

    monkeypatch.setattr(CallAccount, "_store_turn", keep)


BREAKS = [
    (
        bounds_are_not_written,
        test_starting_allowance.test_nothing_is_let_in_that_is_not_in_the_journal,
    ),
    (
        a_successor_counts_nothing,
        lambda: test_accounts.test_a_successor_counts_what_the_owner_had_let_in(
            silent=False
        ),
    ),
    (
        a_successor_ignores_allowances,
        lambda: (
            test_starting_allowance.test_successors_count_what_programs_may_have_used_without_a_record(
                successors=2, budget=1200
            )
        ),
    ),
    (
        a_successor_ignores_the_first_calls_that_were_allowed,
        test_starting_allowance.test_a_successor_counts_the_first_call_of_a_short_program,
    ),
    (
        allowances_add_up_without_end,
        lambda: (
            test_starting_allowance.test_successors_count_what_programs_may_have_used_without_a_record(
                successors=3, budget=1200
            )
        ),
    ),
    (
        an_allowance_never_ends,
        test_starting_allowance.test_an_owner_that_is_cut_from_the_log_stops_letting_programs_begin,
    ),
    (
        calls_that_were_given_up_are_forgotten,
        test_accounts.test_a_call_that_was_given_up_before_its_admission_reserves_nothing,
    ),
    (budgets_are_not_compared, test_accounts.test_a_budget_holds_over_all_daemons),
    (
        unknown_turns_are_denied_in_doubt,
        test_stored_turns.test_an_unknown_turn_is_refused_only_when_that_is_certain,
    ),
    (
        turns_are_shown_before_they_are_written,
        test_stored_turns.test_the_end_of_a_kept_turn_waits_for_the_journal,
    ),
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)
