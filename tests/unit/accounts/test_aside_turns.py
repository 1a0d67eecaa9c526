"""Texts of turns that are set aside while memory is short: kept, found whole, never denied.

A daemon that took over 262 MB of turns had 244 MB: it held all of them, also those that
nobody asked for.
"""

import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.accounts import turns
from notcharch.accounts.turns import FULL_SHARE, TURN_BYTES
from notcharch.calls.interface import UNKNOWN_TURN
from notcharch.journal.interface import LogLimits
from tests.unit.accounts.short_memory import bounded
from tests.unit.accounts.steps import EVENT, assert_unsure
from tests.unit.accounts.test_dropped_turns import ask, partition_of
from tests.unit.accounts.world import World

KILOBYTE = 1024
TURN = 20 * KILOBYTE
BOUND = 8 * TURN
TURNS = 30


def text(number: int) -> bytes:
    return (b"%d;" % number * TURN)[:TURN]


def stored_turns(world, count=TURNS, program="p{}", previous=""):
    calls = []
    for number in range(count):
        call = world.call(program.format(number), body=text(number), previous=previous)
        listener = world.wait_for_decision(call, stores_turns=True)
        assert listener.ticket, listener.refusal
        listener.ticket.completed(EVENT, 1, listener)
        for _ in range(20):
            world.run(0.06)
            if listener.is_durable:
                break
        assert listener.is_durable
        calls.append(call)
        previous = call.id if previous else ""
    return calls


def held(world):
    return [memory.turns.held for memory in world.memories.values()]


def aside_names(world) -> set[str]:
    return {
        name
        for service in world.services.values()
        for owned in service._default_group._owned_partitions._partitions.all()
        for name in owned._ledger.turns._aside
    }


def aside_call(world, calls):
    """Return a call whose text is in the journal alone."""
    return next(call for call in calls if call.id in aside_names(world))


def assert_served(world, calls):
    for number, call in enumerate(calls):
        listener = ask(world, call.id, call.program)
        assert listener.body == text(number) + b"hello\n" + b"x"
        listener.ticket.never_ran()
    assert max(held(world)) <= BOUND


def test_turns_beyond_the_bound_are_found_whole():
    world = World(daemons=1, memory=bounded(turns=BOUND))
    calls = stored_turns(world)
    assert max(held(world)) <= BOUND
    assert len(aside_names(world)) >= TURNS - BOUND // TURN
    assert_served(world, calls)
    assert world.memories[world.names[0]].turns.refused == 0, "no call was refused"


@pytest.mark.parametrize("daemons", [1, 2])
def test_a_takeover_holds_no_more_than_the_bound_and_finds_all_turns(daemons):
    world = World(daemons=daemons, memory=bounded(turns=BOUND))
    calls = stored_turns(world)
    world.restart_all()
    assert max(held(world)) <= BOUND
    assert_served(world, calls)


def test_a_program_of_another_partition_goes_on_from_a_text_that_was_set_aside():
    world = World(daemons=2, memory=bounded(turns=BOUND))
    calls = stored_turns(world)
    listener = ask(world, calls[0].id, "another")
    assert listener.body == text(0) + b"hello\n" + b"x"


def test_texts_larger_than_a_record_are_read_from_all_their_parts():
    limits = LogLimits(record_bytes=7000, call_bytes=9000)
    world = World(daemons=1, memory=bounded(turns=BOUND), log_limits=limits)
    calls = stored_turns(world)
    assert_served(world, calls)
    world.restart_all()
    assert_served(world, calls)


def test_a_text_that_cannot_be_read_now_is_not_denied():
    world = World(daemons=1, memory=bounded(turns=BOUND))
    calls = stored_turns(world)
    call = aside_call(world, calls)
    world.log.trouble = Trouble.REFUSE
    assert_unsure(ask(world, call.id, call.program).refusal)
    world.log.trouble = Trouble.NONE
    world.run(1.0)
    assert_served(world, calls)


def test_a_text_that_the_log_dropped_is_not_denied():
    world = World(daemons=1, memory=bounded(turns=BOUND))
    calls = stored_turns(world)
    call = aside_call(world, calls)
    for partition in world.partitions:
        partition.drop_before(partition.end)
    for program in (call.program, call.program, "another"):
        refusal = ask(world, call.id, program).refusal
        assert_unsure(refusal)
        assert refusal != UNKNOWN_TURN
    others = (other for other in calls if other is not call)
    in_memory = next(other for other in others if other.id not in aside_names(world))
    assert ask(world, in_memory.id, in_memory.program).body


def test_a_chain_is_read_in_few_answers():
    """Each read of the log gives up to a megabyte, which the turns of a chain share."""
    world = World(daemons=1, memory=bounded(turns=BOUND))
    first = world.call("p", body=b"begin")
    world.store_turn(first, EVENT)
    calls = stored_turns(world, 12, "p", first.id)
    stored_turns(world, 12, "q", "")
    reads = world.log.calls
    listener = ask(world, calls[-1].id, "p")
    assert listener.body.startswith(b"beginhello\n" + text(0))
    assert len(listener.body) > 12 * TURN
    assert world.log.calls - reads <= 12


def test_texts_that_were_set_aside_are_written_again_in_time():
    """Records older than half of the log's retention are written again, also unread ones."""
    world = World(daemons=1, memory=bounded(turns=BOUND))
    calls = []
    for number in range(TURNS):
        call = world.call(f"p{number}", body=text(number))
        listener = world.wait_for_decision(
            call, stores_turns=True, retention_seconds=280.0
        )
        listener.ticket.completed(EVENT, 1, listener)
        world.run(0.06)
        assert listener.is_durable
        calls.append(call)
    ends = [partition.end for partition in world.partitions]
    world.run(200.0)
    for partition, end in zip(world.partitions, ends, strict=True):
        partition.drop_before(end)  # as by age
    assert_served(world, calls)
    world.restart_all()
    assert_served(world, calls)


def test_texts_that_are_used_stay_in_memory():
    world = World(daemons=1, memory=bounded(turns=BOUND))
    (used,) = stored_turns(world, 1, "used")
    partition = partition_of(world, "used")
    for number in range(TURNS):
        call = world.call(f"p{number}", body=text(number))
        assert world.store_turn(call, EVENT).is_durable
        ask(world, used.id, "used").ticket.never_ran()
    owned = world.services[world.names[0]]._default_group._owned_partitions
    number = world.partitioning.of_program("used")
    assert used.id in owned._partitions.get(number)._ledger.turns._turns
    assert partition.end


def test_what_a_turn_takes_without_its_text_is_counted():
    world = World(daemons=1, memory=bounded(turns=BOUND))
    stored_turns(world)
    count = len(aside_names(world))
    assert max(held(world)) >= count * TURN_BYTES
    assert max(held(world)) <= FULL_SHARE * BOUND + TURN + TURN_BYTES * 2


def test_short_texts_stay(monkeypatch):
    monkeypatch.setattr(turns, "MIN_ASIDE_BYTES", 2 * TURN)
    world = World(daemons=1, memory=bounded(turns=BOUND))
    stored_turns(world, 5)
    world.run(5.0)
    assert len(aside_names(world)) == 0
