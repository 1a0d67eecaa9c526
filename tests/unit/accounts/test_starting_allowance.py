"""How programs begin without a record of their own, and what successors count."""

import msgspec
import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.ledger import DEFAULT_KEEP_SECONDS, Ledger, Verdict
from notcharch.accounts.records import AllowanceGiven, decode
from notcharch.accounts.starting_allowance import (
    LIFE_SECONDS,
    MOST_PERMILLE,
    NO_ALLOWANCE,
    RENEW_SECONDS,
    STEP_PERMILLE,
    Allowance,
)
from notcharch.calls.interface import BUDGET_SPENT
from tests.unit.accounts.steps import (
    assert_unsure,
    bounds_in,
    neighbour,
    spend,
)
from tests.unit.accounts.world import EVENT_TOKENS, World


def test_nothing_is_let_in_that_is_not_in_the_journal():
    world = World()
    world.log.trouble = Trouble.REFUSE
    most = 1000 * STEP_PERMILLE // 1000
    within = world.decided(world.call(budget=1000, most=most))
    assert within.ticket is not None  # the starting allowance is in the journal
    listener = world.decided(world.call(budget=1000, most=1))
    assert_unsure(listener.refusal)
    assert world.clock.seconds() < 3.0


def test_no_program_begins_before_the_allowance_is_in_the_journal():
    ledger = Ledger()
    ledger.allowance.taken_over(0.0, 1000)
    record = ledger.allowance.record(0.0, 1000, 60.0)
    assert record is not None
    assert ledger.admit("p", "c1", 100, 1000, 0.1) is Verdict.NEEDS_BOUND
    ledger.allowance.given(record, 0.0)
    assert ledger.admit("q", "c2", 100, 1000, 0.2) is Verdict.ADMITTED


def test_a_short_program_begins_while_the_log_takes_nothing():
    """Its first call may generate more than the share that programs begin by."""
    world = World()
    budget, most = 900, 588
    assert most > budget * STEP_PERMILLE // 1000
    assert world.decided(world.call("former", budget=budget, most=most)).ticket
    world.run(0.5)
    world.log.trouble = Trouble.REFUSE
    call = world.call(neighbour(world, "former"), budget=budget, most=most)
    assert world.decided(call).ticket is not None


def test_large_calls_elsewhere_allow_no_more_than_the_limit():
    allowance = Allowance(STEP_PERMILLE, call_tokens=1_000_000)
    assert allowance.tokens(900) == 900 * MOST_PERMILLE // 1000
    assert NO_ALLOWANCE.tokens(900) == 0
    assert Allowance(0, call_tokens=100).tokens(900) == 0


def test_a_successor_counts_the_first_call_of_a_short_program():
    ledger = Ledger()
    ledger.replay(AllowanceGiven(STEP_PERMILLE, 1000, call_tokens=588), 0.0)
    ledger.allowance.taken_over(0.0, 1000)
    assert ledger.admit("p", "c1", 100, 900, 0.1) is Verdict.NEEDS_BOUND
    assert ledger.program("p", 0.1).used == 588


@pytest.mark.parametrize("budget", [150, 1200])
@pytest.mark.parametrize("successors", [1, 2, 3])
def test_successors_count_what_programs_may_have_used_without_a_record(
    successors, budget
):
    world = World()
    most = 100
    former = world.call(neighbour(world, "p"), budget=1000, most=most)
    assert world.decided(former).ticket
    world.run(0.5)
    spent = 0
    for _ in range(successors + 1):
        world.log.trouble = Trouble.REFUSE
        while world.decided(
            world.call(budget=budget, most=most, wait_seconds=0.2)
        ).ticket:
            spent += most
        world.log.trouble = Trouble.NONE
        for name in world.names:
            world.crash(name, silent=True)
        for name in world.names:
            world.start(name)
        world.run(3.0)
    assert bounds_in(world) == set()
    more, refusal = spend(world, "p", budget, most)
    assert refusal == BUDGET_SPENT
    assert spent >= most
    assert spent + more <= budget + most


def test_a_planned_stop_leaves_no_doubt_about_programs_without_a_record():
    world = World()
    spent = 0
    for _ in range(3):
        assert world.decided(world.call(budget=1000, most=100)).refusal is None
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
    world.run(LIFE_SECONDS + 2 * DEFAULT_KEEP_SECONDS)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    spent, _ = spend(world, "p", 1000, 100)
    assert spent == 1000


def test_an_owner_that_is_cut_from_the_log_stops_letting_programs_begin():
    world = World()
    world.log.trouble = Trouble.REFUSE
    assert world.decided(world.call("early")).refusal is None
    world.run(LIFE_SECONDS)
    assert_unsure(world.decided(world.call("late")).refusal)
    assert_unsure(world.decided(world.call("early")).refusal)


def test_the_allowance_is_renewed_before_it_ends():
    world = World()
    world.run(LIFE_SECONDS + RENEW_SECONDS)
    world.log.trouble = Trouble.REFUSE
    assert world.decided(world.call()).refusal is None


def test_a_planned_stop_hands_over_what_a_doubted_program_may_still_use():
    world = World()
    call = world.call(budget=1000, most=100)
    assert world.decided(call).refusal is None
    for name in world.names:
        world.crash(name, silent=True)
    for name in world.names:
        world.start(name)
    world.run(3.0)  # its successor counts half of the budget as used
    listener = world.decided(world.call(budget=1000, most=100))
    listener.ticket.interrupted(10)
    world.run(0.1)
    world.services[world.owner("p")].leave()
    world.run(3.0)
    spent, _ = spend(world, "p", 1000, 100)
    assert spent == 1000 + 100 - 500 - 100


def test_losing_its_owner_again_and_again_costs_a_long_program_little_more():
    world = World()
    budget, most = 4000, 100
    spent = 0
    for _ in range(5):
        listener = world.decided(world.call(budget=budget, most=most))
        assert listener.refusal is None
        listener.ticket.interrupted(1)
        spent += EVENT_TOKENS
        world.run(0.1)
        for name in world.names:
            world.crash(name, silent=True)
        for name in world.names:
            world.start(name)
        world.run(3.0)
    more, refusal = spend(world, "p", budget, most)
    assert refusal == BUDGET_SPENT
    assert budget // 6 <= more
    assert spent + more <= budget + most


def test_a_record_of_an_earlier_version_allows_no_first_call():
    """It has the share and its time only."""
    earlier = msgspec.msgpack.encode(["allowance", STEP_PERMILLE, 1000])
    assert decode(earlier) == AllowanceGiven(STEP_PERMILLE, 1000, call_tokens=0)
