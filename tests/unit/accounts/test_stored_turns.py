"""Tests of stored turns, which any daemon can rebuild and only confirmed absence denies."""

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.records import (
    TurnKept,
)
from notcharch.calls.interface import UNKNOWN_TURN
from tests.unit.accounts.steps import (
    EVENT,
    assert_unsure,
    epochs,
    records_in,
    spend,
)
from tests.unit.accounts.world import World


def test_a_kept_chain_is_rebuilt_at_any_daemon():
    world = World()
    previous, expected = "", b""
    for turn in range(6):
        text = f"input {turn};".encode()
        call = world.call(previous=previous, body=text)
        listener = world.store_turn(call, EVENT * (turn + 1), at=turn % 3)
        assert listener.is_durable
        assert listener.body == expected + text
        expected += text + b"hello\n" * (turn + 1)
        previous = call.id


def test_a_branch_goes_on_from_an_earlier_turn():
    world = World()
    first = world.call(body=b"a")
    world.store_turn(first, EVENT)
    second = world.call(previous=first.id, body=b"b")
    world.store_turn(second, EVENT)
    branch = world.store_turn(world.call(previous=first.id, body=b"c"), EVENT, at=1)
    assert branch.body == b"a" + b"hello\n" + b"c"


def test_kept_turns_outlive_all_daemons():
    world = World()
    first = world.call(body=b"a")
    world.store_turn(first, EVENT)
    for name in world.names:
        world.crash(name)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    again = world.wait_for_decision(
        world.call(previous=first.id, body=b"b"), stores_turns=True
    )
    assert again.body == b"a" + b"hello\n" + b"b"


def test_an_unknown_turn_is_refused_only_when_that_is_certain():
    world = World()
    sure = world.wait_for_decision(world.call(previous="nobody"), stores_turns=True)
    assert sure.refusal == UNKNOWN_TURN
    world.log.trouble = Trouble.LOSE_CALL
    undecided_refusal = world.wait_for_decision(
        world.call(previous="nobody"), stores_turns=True
    )
    assert_unsure(undecided_refusal.refusal)


def test_a_sleeper_does_not_deny_a_turn_that_its_successor_kept():
    world = World()
    call = world.call(body=b"a")
    owner_names = list(world.names)
    world.fabric.pause(owner_names[0])
    world.run(3.0)
    world.store_turn(call, EVENT, at=1)
    world.fabric.resume(owner_names[0])
    after = world.request_admission(
        world.call(previous=call.id, body=b"b"), at=0, stores_turns=True
    )
    world.run(2.0)
    assert after.refusal != UNKNOWN_TURN
    assert after.body == b"a" + b"hello\n" + b"b"


def test_the_end_of_a_kept_turn_waits_for_the_journal():
    world = World()
    listener = world.wait_for_decision(world.call(), stores_turns=True)
    world.log.trouble = Trouble.REFUSE
    listener.ticket.completed(EVENT, 1, listener)
    world.run(1.0)
    assert not listener.is_durable
    world.log.trouble = Trouble.NONE
    world.run(1.5)
    assert listener.is_durable


def test_a_new_program_goes_on_from_a_turn_of_another():
    world = World()
    first = world.call("one", body=b"a")
    world.store_turn(first, EVENT)
    second = world.call("one", previous=first.id, body=b"b")
    world.store_turn(second, EVENT)
    for program in ("two", "three", "four"):
        call = world.call(program, previous=second.id, body=b"c")
        listener = world.store_turn(call, EVENT, at=2)
        assert listener.body == b"ahello\nbhello\nc"
        after = world.call(program, previous=call.id, body=b"d")
        assert world.store_turn(after, EVENT, at=1).body == b"ahello\nbhello\nchello\nd"


def test_a_turn_is_not_denied_while_one_owner_is_missing():
    world = World()
    first = world.call("one", body=b"a")
    world.store_turn(first, EVENT)
    world.fabric.pause(world.names[0])
    world.run(0.2)
    for program in ("two", "three", "four", "five"):
        call = world.call(program, previous=first.id, body=b"c")
        listener = world.wait_for_decision(call, at=1, stores_turns=True)
        assert listener.refusal != UNKNOWN_TURN


def test_asking_for_turns_that_nobody_keeps_disturbs_no_owner():
    world = World()
    claims = epochs(world)
    for number in range(5):
        world.wait_for_decision(
            world.call(previous=f"nobody {number}"), stores_turns=True
        )
        assert world.store_turn(world.call(body=b"a"), EVENT).is_durable
    world.run(1.0)
    assert epochs(world) == claims
    spent, _ = spend(world, "q", 600, 100)
    assert spent == 600


def test_what_still_counts_outlives_the_retention_of_the_log():
    """The log drops the oldest records while the program still runs."""
    world = World()
    previous, expected = "", b""
    for turn in range(9):
        call = world.call(budget=1000, previous=previous, body=f"{turn};".encode())
        assert world.store_turn(call, EVENT).is_durable
        expected += call.body + b"hello\n"
        previous = call.id
        ends = [partition.end for partition in world.partitions]
        for _ in range(5):
            world.run(10.0)
        world.ends = [*getattr(world, "ends", []), ends]
        if turn >= 6:  # the log drops records written 300 seconds ago
            for partition, end in zip(
                world.partitions, world.ends[turn - 6], strict=True
            ):
                partition.drop_before(end)
    for name in world.names:
        world.crash(name)
    for name in world.names:
        world.start(name)
    world.run(3.0)
    after = world.wait_for_decision(
        world.call(budget=1000, previous=previous, body=b"x"), stores_turns=True
    )
    assert after.body == expected + b"x"


def test_what_nobody_may_ask_for_is_forgotten():
    world = World()
    call = world.call(body=b"a")
    world.store_turn(call, EVENT)
    for _ in range(20):
        world.run(10.0)
    owned = [
        partition
        for service in world.services.values()
        for partition in service._default_group._owned_partitions._partitions.all()
    ]
    assert len(owned) == 4
    assert all(call.id not in partition._ledger.turns for partition in owned)
    assert all(len(partition._ledger) == 0 for partition in owned)


def test_a_turn_that_is_kept_again_while_it_is_being_written_is_written_once():
    world = World()
    call = world.call(wait_seconds=20.0)
    listener = world.wait_for_decision(call, stores_turns=True)
    world.log.trouble = Trouble.REFUSE
    listener.ticket.completed(EVENT, 1, listener)
    world.run(4.0)
    assert not listener.is_durable
    world.log.trouble = Trouble.NONE
    world.run(2.0)
    assert listener.is_durable
    turns = [record for record in records_in(world) if isinstance(record, TurnKept)]
    assert [turn.turn for turn in turns] == [call.id]
