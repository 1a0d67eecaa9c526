"""The starting allowance of programs whose turns are kept: a share of one call."""

import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.messages import GrantRaised, TurnAdmitted
from notcharch.accounts.records import AllowanceGiven
from notcharch.accounts.starting_allowance import (
    MAX_CALL_PERMILLE,
    MAX_PERMILLE,
    Allowance,
)
from tests.unit.accounts.gated_calls import GatedCall, GatedProgram, is_undecided
from tests.unit.accounts.world import EVENT_TOKENS, World

FIRST_PERMILLE = 500
"""Share of a call that the first owner of a partition gives."""
OLDER_PERMILLE = 500
"""Share of a budget in records of older builds."""
SHORT_SECONDS = 0.5


def successor(record: AllowanceGiven | None) -> Ledger:
    """Return the ledger of an owner that takes over after a record of its predecessor."""
    ledger = Ledger()
    if record is not None:
        ledger.replay(record, 0.0)
    ledger.allowance.on_takeover(0.0, 1000)
    return ledger


def test_nothing_is_let_in_that_is_not_in_the_journal():
    """Guards against calls and grants that a next owner would not count."""
    world = World()
    world.log.trouble = Trouble.REFUSE
    within = GatedCall(world, "p", 1000, 500)
    assert isinstance(within.admit(), TurnAdmitted)  # the allowance is in the journal
    assert within.granted <= 500 * FIRST_PERMILLE // 1000
    assert not isinstance(within.ask_for_more(SHORT_SECONDS), GrantRaised)
    beside = GatedCall(world, "p", 1000, 1)
    assert is_undecided(beside.admit(SHORT_SECONDS))


def test_a_call_goes_on_within_its_grant_while_the_log_cannot_be_written():
    """Guards against streams that wait for each event, and tokens that no record covers."""
    world = World()
    call = GatedCall(world, "p", 6000, 100)
    call.admit()
    assert call.granted == 50
    world.log.trouble = Trouble.REFUSE
    assert call.relay(50)
    assert call.asked == 0
    assert is_undecided(call.ask_for_more(1.0))
    world.log.trouble = Trouble.NONE
    world.run(1.0)
    assert call.relay(50)
    call.settle()
    assert GatedProgram(world, "p", 6000, 100).turn(100)


@pytest.mark.parametrize("budget", [900, 10_000, 1_000_000])
def test_an_allowance_is_a_share_of_a_call_whatever_the_budget(budget):
    """Guards against doubt of more than a call for programs with large budgets."""
    allowance = Allowance(FIRST_PERMILLE, call_permille=FIRST_PERMILLE)
    assert allowance.tokens(budget, 588, keeps_turns=True) == 294


def test_successors_leave_a_quarter_of_a_call_to_grant():
    """Guards against allowances that leave nothing of a call after some losses."""
    given = None
    shares = []
    for _ in range(6):
        given = successor(given).allowance.record(0.0, 1000, 60.0) or given
        shares.append(given.call_permille)
    assert shares == [FIRST_PERMILLE, *[MAX_CALL_PERMILLE] * 5]


def test_no_share_of_a_call_follows_an_allowance_of_an_older_build():
    """Guards against two rules for kept turns of which a successor would know one."""
    older = AllowanceGiven(OLDER_PERMILLE, 1000, call_tokens=588)
    record = successor(older).allowance.record(0.0, 1000, 60.0)
    assert record == AllowanceGiven(MAX_PERMILLE, 1000, call_tokens=588)


def test_a_larger_call_counts_more_of_the_allowance():
    """Guards against a program that began with a larger call than its next owner sees first."""
    ledger = successor(AllowanceGiven(500, 1000, call_permille=500))
    ledger.admit("p", "c1", 100, 2000, 0.1, event_tokens=EVENT_TOKENS, keeps_turns=True)
    assert ledger.program("p", 0.1).doubted == 50
    ledger.admit("p", "c2", 600, 2000, 0.1, event_tokens=EVENT_TOKENS, keeps_turns=True)
    assert ledger.program("p", 0.1).doubted == 300


def test_a_call_whose_turn_is_not_kept_counts_the_share_of_the_budget():
    """Guards against a program of both kinds of calls that used more than its next owner sees."""
    ledger = successor(AllowanceGiven(500, 1000, call_permille=500))
    ledger.admit("p", "c1", 100, 2000, 0.1, event_tokens=EVENT_TOKENS, keeps_turns=True)
    ledger.admit("p", "c2", 100, 2000, 0.1)
    assert ledger.program("p", 0.1).doubted == 1000


def test_a_kept_turn_needs_a_record_after_calls_by_the_share_of_the_budget():
    """Guards against use that the next owner of a kept turn's program would not count."""
    ledger = successor(None)
    given = ledger.allowance.record(0.0, 1000, 60.0)
    assert given is not None
    ledger.allowance.on_durable(given, 0.0)
    admitted = ledger.admit("p", "c1", 100, 2000, 0.1)
    ledger.complete_call("p", "c1", 100, 0.1, engine="e")
    kept = ledger.admit(
        "p", "c2", 100, 2000, 0.1, event_tokens=EVENT_TOKENS, keeps_turns=True
    )
    assert (admitted.name, kept.name) == ("ADMITTED", "NEEDS_BOUND")
