"""Tests of programs that start without a record, and of the next owner's accounting."""

import msgspec
import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.ledger import DEFAULT_KEEP_SECONDS, Ledger, Verdict
from notcharch.accounts.records import AllowanceGiven, decode
from notcharch.accounts.starting_allowance import (
    MAX_PERMILLE,
    NO_ALLOWANCE,
    STEP_PERMILLE,
    VALIDITY_SECONDS,
    Allowance,
)
from notcharch.calls.interface import BUDGET_SPENT
from notcharch.journal.renewal import MAX_MARK_SECONDS
from tests.unit.accounts.steps import (
    assert_out_of_budget,
    assert_unsure,
    bounds_in,
    same_partition_program,
    spend,
)
from tests.unit.accounts.world import EVENT_TOKENS, World


def test_nothing_is_let_in_that_is_not_in_the_journal():
    world = World()
    world.log.trouble = Trouble.REFUSE
    token_limit = 1000 * STEP_PERMILLE // 1000
    within = world.wait_for_decision(world.call(budget=1000, token_limit=token_limit))
    assert within.ticket is not None  # the starting allowance is in the journal
    listener = world.wait_for_decision(world.call(budget=1000, token_limit=1))
    assert_unsure(listener.refusal)
    assert world.clock.seconds() < 3.0


def test_no_program_begins_before_the_allowance_is_in_the_journal():
    ledger = Ledger()
    ledger.allowance.on_takeover(0.0, 1000)
    record = ledger.allowance.record(0.0, 1000, 60.0)
    assert record is not None
    assert ledger.admit("p", "c1", 100, 1000, 0.1) is Verdict.NEEDS_BOUND
    ledger.allowance.on_durable(record, 0.0)
    assert ledger.admit("q", "c2", 100, 1000, 0.2) is Verdict.ADMITTED


def test_a_short_program_begins_while_the_log_takes_nothing():
    """The first call may generate more than the permitted share of the budget."""
    world = World()
    budget, token_limit = 900, 588
    assert token_limit > budget * STEP_PERMILLE // 1000
    assert world.wait_for_decision(
        world.call("former", budget=budget, token_limit=token_limit)
    ).ticket
    world.run(0.5)
    world.log.trouble = Trouble.REFUSE
    call = world.call(
        same_partition_program(world, "former"), budget=budget, token_limit=token_limit
    )
    assert world.wait_for_decision(call).ticket is not None


def test_large_calls_elsewhere_allow_no_more_than_the_limit():
    allowance = Allowance(STEP_PERMILLE, call_tokens=1_000_000)
    assert allowance.tokens(900, 588, keeps_turns=False) == 900 * MAX_PERMILLE // 1000
    assert NO_ALLOWANCE.tokens(900, 588, keeps_turns=False) == 0
    assert Allowance(0, call_tokens=100).tokens(900, 588, keeps_turns=False) == 0


def test_a_successor_counts_the_first_call_of_a_short_program():
    ledger = Ledger()
    ledger.replay(AllowanceGiven(STEP_PERMILLE, 1000, call_tokens=588), 0.0)
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
    former = world.call(
        same_partition_program(world, "p"), budget=1000, token_limit=token_limit
    )
    assert world.wait_for_decision(former).ticket
    world.run(0.5)
    spent = 0
    for _ in range(successors + 1):
        world.log.trouble = Trouble.REFUSE
        while world.wait_for_decision(
            world.call(budget=budget, token_limit=token_limit, wait_seconds=0.2)
        ).ticket:
            spent += token_limit
        world.log.trouble = Trouble.NONE
        for name in world.names:
            world.crash(name, silent=True)
        for name in world.names:
            world.start(name)
        world.run(3.0)
    assert bounds_in(world) == set()
    more, refusal = spend(world, "p", budget, token_limit)
    assert_out_of_budget(refusal, spent + more, budget, token_limit)
    assert spent >= token_limit
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
    world.log.trouble = Trouble.REFUSE
    assert world.wait_for_decision(world.call("early")).refusal is None
    world.run(VALIDITY_SECONDS)
    assert_unsure(world.wait_for_decision(world.call("late")).refusal)
    assert_unsure(world.wait_for_decision(world.call("early")).refusal)


def test_the_allowance_is_renewed_before_it_ends():
    world = World()
    world.run(VALIDITY_SECONDS + MAX_MARK_SECONDS)
    world.log.trouble = Trouble.REFUSE
    assert world.wait_for_decision(world.call()).refusal is None


def test_a_planned_stop_hands_over_what_a_doubted_program_may_still_use():
    world = World()
    call = world.call(budget=1000, token_limit=100)
    assert world.wait_for_decision(call).refusal is None
    for name in world.names:
        world.crash(name, silent=True)
    for name in world.names:
        world.start(name)
    world.run(3.0)  # the next owner counts half of the budget as used
    listener = world.wait_for_decision(world.call(budget=1000, token_limit=100))
    listener.ticket.interrupted(10)
    world.run(0.1)
    world.services[world.owner("p")].leave()
    world.run(3.0)
    spent, _ = spend(world, "p", 1000, 100)
    assert spent == 1000 + 100 - 500 - 100


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
    earlier = msgspec.msgpack.encode(["allowance", STEP_PERMILLE, 1000])
    assert decode(earlier) == AllowanceGiven(STEP_PERMILLE, 1000, call_tokens=0)
