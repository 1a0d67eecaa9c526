"""Accounts of programs over daemons that crash and a log service that fails."""

import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.ledger import DEFAULT_KEEP_SECONDS, Ledger, Verdict
from notcharch.accounts.records import (
    AllowanceGiven,
    AnyRecord,
    BoundRaised,
    TurnKept,
    decode,
)
from notcharch.accounts.starting_allowance import (
    LIFE_SECONDS,
    MOST_PERMILLE,
    NO_ALLOWANCE,
    RENEW_SECONDS,
    STEP_PERMILLE,
    Allowance,
)
from notcharch.calls.interface import BUDGET_SPENT, STATE_UNSURE, UNKNOWN_TURN
from notcharch.events import journal
from tests.unit.accounts.world import EVENT_TOKENS, World
from tests.unit.events.capture import captured, of

EVENT = b"id: 1\ndata: hello\n\n"


def records_in(world: World) -> list[AnyRecord]:
    found = [decode(data) for part in world.partitions for data in part.records]
    return [record for record in found if record is not None]


def bounds_in(world: World) -> set[str]:
    return {
        record.program
        for record in records_in(world)
        if isinstance(record, BoundRaised)
    }


def neighbour(world: World, program: str) -> str:
    """Give another program of the same partition."""
    names = (f"{program}{number}" for number in range(100))
    of_program = world.partitioning.of_program
    return next(name for name in names if of_program(name) == of_program(program))


def spend(world: World, program: str, budget: int, most: int, at=lambda turn: 0):
    """Run turns that generate all they may until the program is refused."""
    spent = 0
    for turn in range(40):
        call = world.call(program, budget=budget, most=most)
        listener = world.decided(call, at(turn))
        if listener.refusal is not None:
            return spent, listener.refusal
        listener.ticket.broke_off(most // EVENT_TOKENS)
        spent += most
    raise AssertionError("never refused")


def test_a_budget_holds_over_all_daemons():
    world = World()
    spent, refusal = spend(world, "p", 1000, 100, at=lambda turn: turn % 3)
    assert refusal == BUDGET_SPENT
    assert spent == 1000


def test_calls_under_way_count_at_their_most():
    world = World()
    listeners = [world.decided(world.call(budget=250, most=100)) for _ in range(3)]
    assert [listener.refusal for listener in listeners] == [None, None, BUDGET_SPENT]


def test_a_call_that_never_ran_costs_nothing():
    world = World()
    for _ in range(5):
        listener = world.decided(world.call(budget=100, most=100))
        assert listener.refusal is None
        listener.ticket.never_ran()
        world.run(0.1)


@pytest.mark.parametrize("silent", [False, True])
def test_a_successor_counts_what_the_owner_had_let_in(silent):
    world = World()
    for _ in range(8):
        listener = world.decided(world.call(budget=1000, most=100), at=0)
        assert listener.refusal is None
        listener.ticket.broke_off(10)
    for name in world.names:
        world.crash(name, silent=silent)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    spent, refusal = spend(world, "p", 1000, 100)
    assert refusal == BUDGET_SPENT
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
    assert refusal == BUDGET_SPENT
    assert spent + more <= 400 + 100


def test_nothing_is_let_in_that_is_not_in_the_journal():
    world = World()
    world.log.trouble = Trouble.REFUSE
    most = 1000 * STEP_PERMILLE // 1000
    within = world.decided(world.call(budget=1000, most=most))
    assert within.ticket is not None  # the starting allowance is in the journal
    listener = world.decided(world.call(budget=1000, most=1))
    assert listener.refusal == STATE_UNSURE
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
    assert world.decided(world.call("late")).refusal == STATE_UNSURE
    assert world.decided(world.call("early")).refusal == STATE_UNSURE


def test_the_allowance_is_renewed_before_it_ends():
    world = World()
    world.run(LIFE_SECONDS + RENEW_SECONDS)
    world.log.trouble = Trouble.REFUSE
    assert world.decided(world.call()).refusal is None


def test_a_bound_on_its_way_lets_all_calls_in_that_wait_for_it():
    world = World()
    listeners = [world.ask(world.call(budget=1000, most=100)) for _ in range(6)]
    world.run(0.5)
    assert all(listener.ticket is not None for listener in listeners)


def test_an_append_whose_answer_is_lost_is_written_once():
    world = World()
    world.log.trouble = Trouble.LOSE_ANSWER
    call = world.call(budget=1000, most=600, wait_seconds=20.0)
    listener = world.ask(call, keeps_turns=True)
    world.run(0.3)
    world.log.trouble = Trouble.NONE
    world.run(3.0)
    assert listener.is_decided
    bounds = [record for record in records_in(world) if isinstance(record, BoundRaised)]
    assert [(bound.program, bound.bound_tokens) for bound in bounds] == [("p", 1000)]


def test_a_kept_chain_is_rebuilt_at_any_daemon():
    world = World()
    previous, expected = "", b""
    for turn in range(6):
        text = f"input {turn};".encode()
        call = world.call(previous=previous, body=text)
        listener = world.kept(call, EVENT * (turn + 1), at=turn % 3)
        assert listener.is_durable
        assert listener.body == expected + text
        expected += text + b"hello\n" * (turn + 1)
        previous = call.id


def test_a_branch_goes_on_from_an_earlier_turn():
    world = World()
    first = world.call(body=b"a")
    world.kept(first, EVENT)
    second = world.call(previous=first.id, body=b"b")
    world.kept(second, EVENT)
    branch = world.kept(world.call(previous=first.id, body=b"c"), EVENT, at=1)
    assert branch.body == b"a" + b"hello\n" + b"c"


def test_kept_turns_outlive_all_daemons():
    world = World()
    first = world.call(body=b"a")
    world.kept(first, EVENT)
    for name in world.names:
        world.crash(name)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    again = world.decided(world.call(previous=first.id, body=b"b"), keeps_turns=True)
    assert again.body == b"a" + b"hello\n" + b"b"


def test_an_unknown_turn_is_refused_only_when_that_is_certain():
    world = World()
    sure = world.decided(world.call(previous="nobody"), keeps_turns=True)
    assert sure.refusal == UNKNOWN_TURN
    world.log.trouble = Trouble.LOSE_CALL
    unsure = world.decided(world.call(previous="nobody"), keeps_turns=True)
    assert unsure.refusal == STATE_UNSURE


def test_a_sleeper_does_not_deny_a_turn_that_its_successor_kept():
    world = World()
    call = world.call(body=b"a")
    owner_names = list(world.names)
    world.fabric.pause(owner_names[0])
    world.run(3.0)
    world.kept(call, EVENT, at=1)
    world.fabric.resume(owner_names[0])
    after = world.ask(world.call(previous=call.id, body=b"b"), at=0, keeps_turns=True)
    world.run(2.0)
    assert after.refusal != UNKNOWN_TURN
    assert after.body == b"a" + b"hello\n" + b"b"


def test_the_end_of_a_kept_turn_waits_for_the_journal():
    world = World()
    listener = world.decided(world.call(), keeps_turns=True)
    world.log.trouble = Trouble.REFUSE
    listener.ticket.completed(EVENT, 1, listener)
    world.run(1.0)
    assert not listener.is_durable
    world.log.trouble = Trouble.NONE
    world.run(1.5)
    assert listener.is_durable


def test_a_planned_stop_hands_partitions_over_without_a_wait():
    world = World()
    call = world.call(body=b"a")
    world.kept(call, EVENT)
    world.services[world.names[0]].leave()
    world.run(0.6)
    started = world.clock.seconds()
    after = world.decided(
        world.call(previous=call.id, body=b"b"), at=1, keeps_turns=True
    )
    assert after.body == b"a" + b"hello\n" + b"b"
    assert world.clock.seconds() - started < 0.5


def test_calls_without_a_budget_are_let_in_at_once():
    world = World()
    listener = world.ask(world.call(budget=None))
    assert listener.ticket is not None


def test_a_lapsed_group_is_dealt_anew():
    world = World()
    world.log.groups.rebalance("account-owners")
    world.run(1.0)
    spent, refusal = spend(world, "p", 300, 100, at=lambda turn: turn % 3)
    assert (spent, refusal) == (300, BUDGET_SPENT)


def test_a_new_program_goes_on_from_a_turn_of_another():
    world = World()
    first = world.call("one", body=b"a")
    world.kept(first, EVENT)
    second = world.call("one", previous=first.id, body=b"b")
    world.kept(second, EVENT)
    for program in ("two", "three", "four"):
        call = world.call(program, previous=second.id, body=b"c")
        listener = world.kept(call, EVENT, at=2)
        assert listener.body == b"ahello\nbhello\nc"
        after = world.call(program, previous=call.id, body=b"d")
        assert world.kept(after, EVENT, at=1).body == b"ahello\nbhello\nchello\nd"


def test_a_turn_is_not_denied_while_one_owner_is_missing():
    world = World()
    first = world.call("one", body=b"a")
    world.kept(first, EVENT)
    world.fabric.pause(world.names[0])
    world.run(0.2)
    for program in ("two", "three", "four", "five"):
        call = world.call(program, previous=first.id, body=b"c")
        listener = world.decided(call, at=1, keeps_turns=True)
        assert listener.refusal != UNKNOWN_TURN


def epochs(world):
    return [partition.epoch for partition in world.partitions]


def test_asking_for_turns_that_nobody_keeps_disturbs_no_owner():
    world = World()
    claims = epochs(world)
    for number in range(5):
        world.decided(world.call(previous=f"nobody {number}"), keeps_turns=True)
        assert world.kept(world.call(body=b"a"), EVENT).is_durable
    world.run(1.0)
    assert epochs(world) == claims
    spent, _ = spend(world, "q", 600, 100)
    assert spent == 600


def test_a_planned_stop_hands_budgets_over_to_the_token():
    world = World()
    for _ in range(3):
        listener = world.decided(world.call(budget=1000, most=100))
        listener.ticket.broke_off(1)
    running = world.decided(world.call(budget=1000, most=100), at=2)
    for name in world.names[:2]:
        world.services[name].leave()
    world.run(1.0)
    running.ticket.broke_off(2)
    world.run(0.2)
    spent, _ = spend(world, "p", 1000, 100, at=lambda turn: 2)
    assert spent == 900  # 30 + 20 + 900 fit, 100 more would not


def test_a_program_that_lost_its_owner_may_finish_its_turn():
    world = World()
    listener = world.decided(world.call(budget=150, most=100))
    assert listener.ticket is not None
    for name in world.names:
        world.crash(name)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    again = world.decided(world.call(budget=150, most=100))
    assert again.refusal is None
    third = world.decided(world.call(budget=150, most=100))
    assert third.refusal == BUDGET_SPENT


def test_what_still_counts_outlives_the_retention_of_the_log():
    """A program of many minutes: the log drops its oldest records meanwhile."""
    world = World()
    previous, expected = "", b""
    for turn in range(9):
        call = world.call(budget=1000, previous=previous, body=f"{turn};".encode())
        assert world.kept(call, EVENT).is_durable
        expected += call.body + b"hello\n"
        previous = call.id
        ends = [partition.end for partition in world.partitions]
        for _ in range(5):
            world.run(10.0)
        world.ends = [*getattr(world, "ends", []), ends]
        if turn >= 6:  # what was written 300 seconds ago is gone
            for partition, end in zip(
                world.partitions, world.ends[turn - 6], strict=True
            ):
                partition.drop_before(end)
    for name in world.names:
        world.crash(name)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    after = world.decided(
        world.call(budget=1000, previous=previous, body=b"x"), keeps_turns=True
    )
    assert after.body == expected + b"x"


def test_what_nobody_may_ask_for_is_forgotten():
    world = World()
    call = world.call(body=b"a")
    world.kept(call, EVENT)
    for _ in range(20):
        world.run(10.0)
    owned = [
        partition
        for service in world.services.values()
        for partition in service._owned._dealt.all()
    ]
    assert len(owned) == 4
    assert all(call.id not in partition._ledger.turns for partition in owned)
    assert all(len(partition._ledger) == 0 for partition in owned)


def test_a_long_program_goes_on_while_the_log_cannot_be_written():
    world = World()
    first = world.decided(world.call(budget=6000, most=100))
    first.ticket.broke_off(3)
    world.run(0.1)
    world.log.trouble = Trouble.REFUSE
    for _ in range(15):
        listener = world.decided(world.call(budget=6000, most=100))
        assert listener.refusal is None
        listener.ticket.broke_off(10)
        world.run(0.1)


def test_an_owner_knows_where_a_program_ran_last():
    world = World()
    first = world.decided(world.call(), at=0)
    assert first.ticket.home == ""
    first.ticket.runs_at("i-7")
    first.ticket.broke_off(1)
    world.run(0.1)
    assert world.decided(world.call(), at=1).ticket.home == "i-7"
    for name in world.names[:2]:
        world.services[name].leave()
    world.run(1.0)
    assert world.decided(world.call(), at=2).ticket.home == "i-7"


def test_a_fault_of_the_program_in_a_takeover_does_not_end_it(monkeypatch):
    original = Ledger.replay
    faults = []

    def replay(self, record, now):
        if not faults:
            faults.append(record)
            raise ValueError("a defect")
        original(self, record, now)

    world = World()
    assert world.decided(world.call()).ticket is not None
    monkeypatch.setattr(Ledger, "replay", replay)
    for name in world.names:
        world.crash(name)
        world.start(name)
    with captured() as messages:
        world.run(2.0)
    assert faults
    assert of(messages, journal.TakeoverFailed)
    assert world.decided(world.call()).ticket is not None


@pytest.mark.parametrize("silent", [False, True])
def test_a_daemon_that_the_log_refuses_learns_of_a_new_owner_from_its_peers(silent):
    world = World()
    refused, lost = world.names[0], world.names[1]
    program = world.program_of(lost)
    assert world.decided(world.call(program)).refusal is None
    world.refuse(refused)
    world.crash(lost, silent=silent)
    world.run(2.0)
    assert world.owner(program) == world.names[2]
    listener = world.decided(world.call(program, wait_seconds=1.0), at=0)
    assert listener.refusal is None


def test_an_owner_that_the_log_refuses_is_succeeded_also_for_its_own_callers():
    world = World()
    refused = world.names[0]
    program = world.program_of(refused)
    world.refuse(refused)
    world.run(2.0)
    assert world.owner(program) != refused
    call = world.call(program, budget=1000, most=600)  # more than it may let in
    assert world.decided(call, at=0).refusal is None


def test_a_turn_that_is_kept_again_while_it_is_being_written_is_written_once():
    world = World()
    call = world.call(wait_seconds=20.0)
    listener = world.decided(call, keeps_turns=True)
    world.log.trouble = Trouble.REFUSE
    listener.ticket.completed(EVENT, 1, listener)
    world.run(4.0)
    assert not listener.is_durable
    world.log.trouble = Trouble.NONE
    world.run(2.0)
    assert listener.is_durable
    turns = [record for record in records_in(world) if isinstance(record, TurnKept)]
    assert [turn.turn for turn in turns] == [call.id]


def test_suspicions_about_engines_ride_on_admissions():
    world = World()
    first, owner, third = world.names
    program = world.program_of(owner)
    now = world.clock.seconds()
    world.suspicions[first].suspect("bad", now + 3.0)
    assert world.decided(world.call(program), at=0).refusal is None
    assert world.suspicions[owner].is_suspected("bad", world.clock.seconds())
    assert not world.suspicions[third].is_suspected("bad", world.clock.seconds())
    assert world.decided(world.call(program), at=2).refusal is None
    assert world.suspicions[third].is_suspected("bad", world.clock.seconds())
    world.run(3.0)
    for _ in range(6):  # nobody sees it again, so it is forgotten everywhere
        assert world.decided(world.call(program), at=2).refusal is None
    assert not any(
        board.is_suspected("bad", world.clock.seconds())
        for board in world.suspicions.values()
    )


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
    listener.ticket.broke_off(10)
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
        listener.ticket.broke_off(1)
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


def test_a_call_that_was_given_up_before_its_admission_reserves_nothing():
    """Its caller's next try is not refused for tokens that nobody will generate."""
    world = World()
    world.log.trouble = Trouble.REFUSE
    given_up = world.decided(world.call("p", budget=900, most=700, wait_seconds=0.5))
    assert given_up.refusal == STATE_UNSURE
    world.log.trouble = Trouble.NONE
    world.run(3.0)
    again = world.decided(world.call("p", budget=900, most=700))
    assert again.refusal is None
