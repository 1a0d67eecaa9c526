"""Tests of programs that start without a record, and of the next owner's accounting."""

from functools import partial

import msgspec
import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.ledger import DEFAULT_KEEP_SECONDS, Ledger, Verdict
from notcharch.accounts.messages import GrantRaised, TurnAdmitted
from notcharch.accounts.records import AccountHandedOver, AllowanceGiven, decode
from notcharch.accounts.starting_allowance import (
    MAX_CALL_PERMILLE,
    MAX_PERMILLE,
    NO_ALLOWANCE,
    VALIDITY_SECONDS,
    Allowance,
)
from notcharch.calls.interface import BUDGET_SPENT
from notcharch.journal.renewal import MAX_MARK_SECONDS
from tests.unit.accounts.gated_calls import GatedCall, is_undecided
from tests.unit.accounts.steps import (
    assert_out_of_budget,
    bounds_in,
    records_in,
    spend,
)
from tests.unit.accounts.world import EVENT_TOKENS, World

OLDER_PERMILLE = 500
"""Share of a budget in records of older builds."""
FIRST_PERMILLE = 500
"""Share of a call that the first owner of a partition gives."""
SHORT_SECONDS = 0.5


def is_let_in(world: World, program: str, budget: int, most_tokens: int) -> bool:
    """Return whether a call of a gateway that gates its events begins soon."""
    call = GatedCall(world, program, budget, most_tokens, is_kept=False)
    return isinstance(call.admit(SHORT_SECONDS), TurnAdmitted)


def test_nothing_is_let_in_that_is_not_in_the_journal():
    """Guards against calls and grants that a next owner would not count."""
    world = World()
    world.log.trouble = Trouble.REFUSE
    within = GatedCall(world, "p", 1000, 500, is_kept=False)
    assert isinstance(within.admit(), TurnAdmitted)  # the allowance is in the journal
    assert within.granted <= 500 * FIRST_PERMILLE // 1000
    assert not isinstance(within.ask_for_more(SHORT_SECONDS), GrantRaised)
    beside = GatedCall(world, "p", 1000, 1, is_kept=False)
    assert is_undecided(beside.admit(SHORT_SECONDS))
    assert world.clock.seconds() < 3.0


def test_no_program_begins_before_the_allowance_is_in_the_journal():
    ledger = Ledger()
    ledger.allowance.on_takeover(0.0, 1000)
    record = ledger.allowance.record(0.0, 1000, 60.0)
    assert record is not None
    admit = partial(ledger.admit, event_tokens=EVENT_TOKENS)
    assert admit("p", "c1", 100, 1000, 0.1) is Verdict.NEEDS_BOUND
    ledger.allowance.on_durable(record, 0.0)
    assert admit("q", "c2", 100, 1000, 0.2) is Verdict.ADMITTED


def test_a_short_program_begins_while_the_log_takes_nothing():
    """The first call may generate more than half of the budget."""
    world = World()
    world.log.trouble = Trouble.REFUSE
    assert is_let_in(world, "p", 900, 588)


def test_large_calls_elsewhere_allow_no_more_than_the_limit():
    """Guards against reading the allowances of older builds differently than they do."""
    allowance = Allowance(OLDER_PERMILLE, call_tokens=1_000_000)
    assert allowance.tokens(900, 588) == 900 * MAX_PERMILLE // 1000
    assert NO_ALLOWANCE.tokens(900, 588) == 0
    assert Allowance(0, call_tokens=100).tokens(900, 588) == 0


@pytest.mark.parametrize("budget", [900, 10_000, 1_000_000])
def test_an_allowance_is_a_share_of_a_call_whatever_the_budget(budget):
    """Guards against doubt of more than a call for programs with large budgets."""
    allowance = Allowance(FIRST_PERMILLE, call_permille=FIRST_PERMILLE)
    assert allowance.tokens(budget, 588) == 294


def test_successors_leave_a_quarter_of_a_call_to_grant():
    """Guards against allowances that leave nothing of a call after some losses."""
    shares = []
    given = None
    for _ in range(6):
        ledger = Ledger()
        if given is not None:
            ledger.replay(given, 0.0)
        ledger.allowance.on_takeover(0.0, 1000)
        record = ledger.allowance.record(0.0, 1000, 60.0)
        if record is not None:
            given = record
            shares.append(record.call_permille)
    assert shares == [FIRST_PERMILLE, MAX_CALL_PERMILLE]


def test_an_older_build_counts_no_less_of_an_allowance():
    """Guards against an older successor that counts less than was permitted."""
    ledger = Ledger()
    ledger.allowance.on_takeover(0.0, 1000)
    record = ledger.allowance.record(0.0, 1000, 60.0)
    assert record is not None
    as_older = Allowance(record.permille, record.call_tokens)
    for budget, most_tokens in [(900, 570), (570, 570), (4600, 100)]:
        given = Allowance(record.permille, 0, record.call_permille)
        assert as_older.tokens(budget, most_tokens) >= given.tokens(budget, most_tokens)


def test_nothing_is_added_to_the_allowance_of_an_older_build():
    """Guards against two rules of which a successor would know one."""
    ledger = Ledger()
    ledger.replay(AllowanceGiven(OLDER_PERMILLE, 1000, call_tokens=588), 0.0)
    ledger.allowance.on_takeover(0.0, 1000)
    assert ledger.allowance.record(0.0, 1000, 60.0) is None
    again = ledger.allowance.inherited_record(0.0, 60.0)
    assert again == AllowanceGiven(OLDER_PERMILLE, 1000, call_tokens=588)


def test_a_larger_call_counts_more_of_the_allowance():
    """Guards against a program that began with a larger call than its next owner sees first."""
    ledger = Ledger()
    ledger.replay(AllowanceGiven(500, 1000, call_permille=500), 0.0)
    ledger.allowance.on_takeover(0.0, 1000)
    ledger.admit("p", "c1", 100, 2000, 0.1, event_tokens=EVENT_TOKENS)
    assert ledger.program("p", 0.1).doubted == 50
    ledger.admit("p", "c2", 600, 2000, 0.1, event_tokens=EVENT_TOKENS)
    assert ledger.program("p", 0.1).doubted == 300
    ledger.admit("p", "c3", 200, 2000, 0.1, event_tokens=EVENT_TOKENS)
    assert ledger.program("p", 0.1).doubted == 300


def test_a_successor_counts_the_first_call_of_a_short_program():
    ledger = Ledger()
    ledger.replay(AllowanceGiven(OLDER_PERMILLE, 1000, call_tokens=588), 0.0)
    ledger.allowance.on_takeover(0.0, 1000)
    assert ledger.admit("p", "c1", 100, 900, 0.1) is Verdict.NEEDS_BOUND
    assert ledger.program("p", 0.1).committed == 588
    assert ledger.program("p", 0.1).certain == 0


@pytest.mark.parametrize("budget", [150, 1200])
@pytest.mark.parametrize("successors", [1, 2, 3])
def test_successors_count_what_programs_may_have_used_without_a_record(
    successors, budget
):
    world = World()
    token_limit = 100
    spent = 0
    for _ in range(successors + 1):
        world.log.trouble = Trouble.REFUSE
        call = GatedCall(world, "p", budget, token_limit, is_kept=False)
        call.admit(SHORT_SECONDS)
        call.relay(token_limit, SHORT_SECONDS)
        spent += call.relayed
        world.log.trouble = Trouble.NONE
        for name in world.names:
            world.crash(name, silent=True)
        for name in world.names:
            world.start(name)
        world.run(3.0)
    assert bounds_in(world) == set()
    more, refusal = spend(world, "p", budget, token_limit)
    assert_out_of_budget(refusal, spent + more, budget, token_limit)
    assert spent >= token_limit * FIRST_PERMILLE // 1000
    assert spent + more <= budget + token_limit


def test_a_planned_stop_leaves_no_doubt_about_programs_without_a_record():
    world = World()
    spent = 0
    for _ in range(3):
        assert (
            world.wait_for_decision(world.call(budget=1000, token_limit=100)).refusal
            is None
        )
    for name in world.names[:2]:
        world.services[name].leave()
    world.run(3.0)
    new, refusal = spend(world, "never seen before", 1000, 100, at=lambda _: 2)
    assert refusal == BUDGET_SPENT
    assert new == 1000
    spent, _ = spend(world, "p", 1000, 100, at=lambda _: 2)
    assert spent == 700


def test_the_doubt_about_programs_without_a_record_ends():
    world = World()
    for name in world.names:
        world.crash(name, silent=True)
    world.run(VALIDITY_SECONDS + 2 * DEFAULT_KEEP_SECONDS)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    spent, _ = spend(world, "p", 1000, 100)
    assert spent == 1000


def test_an_owner_that_is_cut_from_the_log_stops_letting_programs_begin():
    world = World()
    early, again, late = (
        GatedCall(world, name, 1000, 100, is_kept=False)
        for name in ("early", "early", "late")
    )
    world.log.trouble = Trouble.REFUSE
    assert isinstance(early.admit(SHORT_SECONDS), TurnAdmitted)
    world.run(VALIDITY_SECONDS)
    assert is_undecided(late.admit(SHORT_SECONDS))
    assert is_undecided(again.admit(SHORT_SECONDS))


def test_the_allowance_is_renewed_before_it_ends():
    world = World()
    world.run(VALIDITY_SECONDS + MAX_MARK_SECONDS)
    world.log.trouble = Trouble.REFUSE
    assert is_let_in(world, "p", 1000, 100)


def test_a_planned_stop_hands_over_what_a_doubted_program_may_still_use():
    world = World()
    assert is_let_in(world, "p", 1000, 100)
    for name in world.names:
        world.crash(name, silent=True)
    for name in world.names:
        world.start(name)
    world.run(3.0)  # the next owner doubts half of a call
    listener = world.wait_for_decision(world.call(budget=1000, token_limit=100))
    listener.ticket.interrupted(10)
    world.run(0.1)
    world.services[world.owner("p")].leave()
    world.run(3.0)
    handed_over = [
        record.doubted_tokens
        for record in records_in(world)
        if isinstance(record, AccountHandedOver) and record.program == "p"
    ]
    assert handed_over[-1] == 100 * FIRST_PERMILLE // 1000
    spent, refusal = spend(world, "p", 1000, 100)
    assert (spent, refusal) == (1000 - 100, BUDGET_SPENT)


def test_losing_its_owner_again_and_again_costs_a_long_program_little_more():
    world = World()
    budget, token_limit = 4000, 100
    spent = 0
    for _ in range(5):
        listener = world.wait_for_decision(
            world.call(budget=budget, token_limit=token_limit)
        )
        assert listener.refusal is None
        listener.ticket.interrupted(1)
        spent += EVENT_TOKENS
        world.run(0.1)
        for name in world.names:
            world.crash(name, silent=True)
        for name in world.names:
            world.start(name)
        world.run(3.0)
    more, refusal = spend(world, "p", budget, token_limit)
    assert_out_of_budget(refusal, spent + more, budget, token_limit)
    assert budget // 6 <= more
    assert spent + more <= budget + token_limit


def test_a_record_of_an_earlier_version_allows_no_first_call():
    """Such a record has no `call_tokens`."""
    earlier = msgspec.msgpack.encode(["allowance", OLDER_PERMILLE, 1000])
    assert decode(earlier) == AllowanceGiven(OLDER_PERMILLE, 1000, call_tokens=0)
