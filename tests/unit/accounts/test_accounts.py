"""Tests of programs' accounts with crashing daemons and a failing log service."""

import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.records import (
    BoundRaised,
)
from notcharch.calls.interface import BUDGET_SPENT, STATE_UNKNOWN
from notcharch.events import journal
from tests.unit.accounts.steps import (
    EVENT,
    assert_out_of_budget,
    records_in,
    spend,
)
from tests.unit.accounts.world import World
from tests.unit.events.capture import captured, of


def test_a_budget_holds_over_all_daemons():
    world = World()
    spent, refusal = spend(world, "p", 1000, 100, at=lambda turn: turn % 3)
    assert refusal == BUDGET_SPENT
    assert spent == 1000


def test_calls_under_way_count_at_their_most():
    world = World()
    listeners = [
        world.wait_for_decision(world.call(budget=250, token_limit=100))
        for _ in range(3)
    ]
    assert [listener.refusal for listener in listeners] == [None, None, BUDGET_SPENT]


def test_a_call_that_never_ran_costs_nothing():
    world = World()
    for _ in range(5):
        listener = world.wait_for_decision(world.call(budget=100, token_limit=100))
        assert listener.refusal is None
        listener.ticket.never_ran()
        world.run(0.1)


@pytest.mark.parametrize("silent", [False, True])
def test_a_successor_counts_what_the_owner_had_let_in(silent):
    world = World()
    for _ in range(8):
        listener = world.wait_for_decision(
            world.call(budget=1000, token_limit=100), at=0
        )
        assert listener.refusal is None
        listener.ticket.interrupted(10)
    for name in world.names:
        world.crash(name, silent=silent)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    spent, refusal = spend(world, "p", 1000, 100)
    assert_out_of_budget(refusal, 800 + spent, 1000, 100)
    assert 800 + spent <= 1000 + 100


def test_an_owner_that_sleeps_through_its_lease_cannot_give_a_budget_twice():
    world = World()
    spent, _ = spend(world, "p", 400, 100, at=lambda turn: 1)
    for name in world.names[:2]:
        world.fabric.pause(name)
    world.run(3.0)
    for name in world.names[:2]:
        world.fabric.resume(name)
    world.run(1.0)
    more, refusal = spend(world, "p", 400, 100, at=lambda turn: turn % 3)
    assert_out_of_budget(refusal, spent + more, 400, 100)
    assert spent + more <= 400 + 100


def test_a_bound_on_its_way_lets_all_calls_in_that_wait_for_it():
    world = World()
    listeners = [
        world.request_admission(world.call(budget=1000, token_limit=100))
        for _ in range(6)
    ]
    world.run(0.5)
    assert all(listener.ticket is not None for listener in listeners)


def test_an_append_whose_answer_is_lost_is_written_once():
    world = World()
    world.log.trouble = Trouble.LOSE_ANSWER
    call = world.call(budget=1000, token_limit=600, event_tokens=600, wait_seconds=20.0)
    listener = world.request_admission(call, stores_turns=True)
    world.run(0.3)
    world.log.trouble = Trouble.NONE
    world.run(3.0)
    assert listener.is_decided
    bounds = [record for record in records_in(world) if isinstance(record, BoundRaised)]
    assert [(bound.program, bound.bound_tokens) for bound in bounds] == [("p", 600)]


def test_a_planned_stop_hands_partitions_over_without_a_wait():
    world = World()
    call = world.call(body=b"a")
    world.store_turn(call, EVENT)
    world.services[world.names[0]].leave()
    world.run(0.6)
    started = world.clock.seconds()
    after = world.wait_for_decision(
        world.call(previous=call.id, body=b"b"), at=1, stores_turns=True
    )
    assert after.body == b"a" + b"hello\n" + b"b"
    assert world.clock.seconds() - started < 0.5


def test_calls_without_a_budget_are_let_in_at_once():
    world = World()
    listener = world.request_admission(world.call(budget=None))
    assert listener.ticket is not None


def test_a_lapsed_group_is_dealt_anew():
    world = World()
    world.log.groups.rebalance("account-owners")
    world.run(1.0)
    spent, refusal = spend(world, "p", 300, 100, at=lambda turn: turn % 3)
    assert (spent, refusal) == (300, BUDGET_SPENT)


def test_a_planned_stop_hands_budgets_over_to_the_token():
    world = World()
    for _ in range(3):
        listener = world.wait_for_decision(world.call(budget=1000, token_limit=100))
        listener.ticket.interrupted(1)
    running = world.wait_for_decision(world.call(budget=1000, token_limit=100), at=2)
    for name in world.names[:2]:
        world.services[name].leave()
    world.run(1.0)
    running.ticket.interrupted(2)
    world.run(0.2)
    spent, _ = spend(world, "p", 1000, 100, at=lambda turn: 2)
    assert spent == 900  # 30 + 20 + 900 fit, 100 more would not


def test_a_program_that_lost_its_owner_may_finish_its_turn():
    world = World()
    listener = world.wait_for_decision(world.call(budget=150, token_limit=100))
    assert listener.ticket is not None
    for name in world.names:
        world.crash(name)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    again = world.wait_for_decision(world.call(budget=150, token_limit=100))
    assert again.refusal is None
    third = world.wait_for_decision(world.call(budget=150, token_limit=100))
    assert third.refusal == BUDGET_SPENT


def test_a_long_program_goes_on_while_the_log_cannot_be_written():
    world = World()
    first = world.wait_for_decision(world.call(budget=6000, token_limit=100))
    first.ticket.interrupted(3)
    world.run(0.1)
    world.log.trouble = Trouble.REFUSE
    for _ in range(15):
        listener = world.wait_for_decision(world.call(budget=6000, token_limit=100))
        assert listener.refusal is None
        listener.ticket.interrupted(10)
        world.run(0.1)


def test_an_owner_knows_where_a_program_ran_last():
    world = World()
    first = world.wait_for_decision(world.call(), at=0)
    assert first.ticket.cached_engine == ""
    first.ticket.engine_started("i-7")
    first.ticket.interrupted(1)
    world.run(0.1)
    assert world.wait_for_decision(world.call(), at=1).ticket.cached_engine == "i-7"
    for name in world.names[:2]:
        world.services[name].leave()
    world.run(1.0)
    assert world.wait_for_decision(world.call(), at=2).ticket.cached_engine == "i-7"


def test_a_fault_of_the_program_in_a_takeover_does_not_end_it(monkeypatch):
    original = Ledger.replay
    faults = []

    def replay(self, record, *arguments):
        if not faults:
            faults.append(record)
            raise ValueError("a defect")
        original(self, record, *arguments)

    world = World()
    assert world.wait_for_decision(world.call()).ticket is not None
    monkeypatch.setattr(Ledger, "replay", replay)
    for name in world.names:
        world.crash(name)
        world.start(name)
    with captured() as messages:
        world.run(2.0)
    assert faults
    assert of(messages, journal.TakeoverFailed)
    assert world.wait_for_decision(world.call()).ticket is not None


@pytest.mark.parametrize("silent", [False, True])
def test_a_daemon_that_the_log_refuses_learns_of_a_new_owner_from_its_peers(silent):
    world = World()
    refused, crashed = world.names[0], world.names[1]
    program = world.program_of(crashed)
    assert world.wait_for_decision(world.call(program)).refusal is None
    world.refuse(refused)
    world.crash(crashed, silent=silent)
    world.run(2.0)
    assert world.owner(program) == world.names[2]
    listener = world.wait_for_decision(world.call(program, wait_seconds=1.0), at=0)
    assert listener.refusal is None


def test_an_owner_that_the_log_refuses_is_succeeded_also_for_its_own_callers():
    world = World()
    refused = world.names[0]
    program = world.program_of(refused)
    world.refuse(refused)
    world.run(2.0)
    assert world.owner(program) != refused
    call = world.call(program, budget=1000, token_limit=600)  # needs a higher bound
    assert world.wait_for_decision(call, at=0).refusal is None


def test_suspicions_about_engines_ride_on_admissions():
    world = World()
    first, owner, third = world.names
    program = world.program_of(owner)
    now = world.clock.seconds()
    world.suspicions[first].suspect("bad", now + 3.0)
    assert world.wait_for_decision(world.call(program), at=0).refusal is None
    assert world.suspicions[owner].is_suspected("bad", world.clock.seconds())
    assert not world.suspicions[third].is_suspected("bad", world.clock.seconds())
    assert world.wait_for_decision(world.call(program), at=2).refusal is None
    assert world.suspicions[third].is_suspected("bad", world.clock.seconds())
    world.run(3.0)
    for _ in range(6):  # without a new observation the suspicion expires at all daemons
        assert world.wait_for_decision(world.call(program), at=2).refusal is None
    assert not any(
        board.is_suspected("bad", world.clock.seconds())
        for board in world.suspicions.values()
    )


def test_a_call_that_was_given_up_before_its_admission_reserves_nothing():
    """The caller's retry is not refused because of the tokens of the abandoned call."""
    world = World()
    world.log.trouble = Trouble.REFUSE
    given_up = world.wait_for_decision(
        world.call("p", budget=900, token_limit=700, wait_seconds=0.5)
    )
    assert given_up.refusal == STATE_UNKNOWN
    world.log.trouble = Trouble.NONE
    world.run(3.0)
    again = world.wait_for_decision(world.call("p", budget=900, token_limit=700))
    assert again.refusal is None
