"""Turns and chains larger than a record of the log, a call to it, or a message."""

import pytest

from notcharch.accounts.messages import KeepTurn
from notcharch.accounts.request_retry import MAX_DECISION_WAIT_SECONDS
from notcharch.accounts.turn_parts import split_turn
from notcharch.accounts.turns import PAGE_BYTES, TranscriptPage, Turn, TurnStore
from notcharch.calls.interface import (
    HISTORY_NOT_STORABLE,
    HISTORY_TOO_LONG,
    NO_MEMORY,
    UNKNOWN_TURN,
)
from notcharch.journal.interface import LogLimits
from notcharch.values.identifiers import DaemonName
from tests.unit.accounts.steps import EVENT, same_partition_program
from tests.unit.accounts.world import LOGS, World

MESSAGE_BYTES = 400 * 1024
"""A message of this size takes some milliseconds between two daemons."""
KILOBYTE = 1024
LIMITS = [
    LogLimits(),
    LogLimits(record_bytes=65_536, call_bytes=131_072),
    LogLimits(record_bytes=2_000, call_bytes=5_000),
]


def text_of(name: str, size: int) -> bytes:
    line = f"{name} says this; ".encode()
    return (line * (size // len(line) + 1))[:size]


def new_world(limits: LogLimits | None = None, **options) -> World:
    """Return a world in which no message may be large."""
    world = World(log_limits=limits, **options)
    assert world.fabric.codec is not None
    world.fabric.codec.max_message_bytes = MESSAGE_BYTES
    return world


def store_chain(
    world: World, program: str, *sizes: int, previous: str = "", before: bytes = b""
) -> tuple[str, bytes]:
    """Run turns one after the other; return the last one's id and the whole text."""
    chain = before
    for number, size in enumerate(sizes):
        new_input = text_of(f"{program}.{number}", size)
        call = world.call(program, previous=previous, body=new_input)
        listener = world.store_turn(call, EVENT, at=number % 3)
        assert listener.body == chain + new_input
        assert listener.is_durable
        previous, chain = call.id, chain + new_input + b"hello\n"
    return previous, chain


def go_on(world: World, program: str, previous: str, at: int = 0):
    """Let a program go on from a turn, asking again as callers do."""
    for _ in range(5):
        call = world.call(program, budget=None, previous=previous, body=b"next")
        listener = world.wait_for_decision(call, at=at, stores_turns=True)
        if listener.body is not None:
            return listener
        assert listener.refusal is None or listener.refusal.status == 503
    return listener


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("size", [160, 300, 1024, 3 * 1024])
def test_a_large_turn_is_stored_and_blocks_no_other(limits, size):
    """Guards against a first turn that is refused by the log and sent again for ever."""
    world = new_world(limits)
    program = "p"
    beside = same_partition_program(world, program)
    call = world.call(program, body=text_of("p", size * KILOBYTE), wait_seconds=10.0)
    listener = world.wait_for_decision(call, stores_turns=True)
    listener.ticket.completed(EVENT, 1, listener)
    other = world.store_turn(world.call(beside, body=b"short", wait_seconds=10), EVENT)
    assert other.is_durable
    for _ in range(40):  # the smallest records take a thousand calls of the log
        if not listener.is_durable:
            world.run(1.0)
    assert listener.is_durable
    assert world.log.refused_bytes == []
    world.restart_all()
    again = go_on(world, program, call.id)
    assert again.body == call.body + b"hello\n" + b"next"


@pytest.mark.parametrize("limits", LIMITS[:2])
def test_a_long_chain_is_adopted_after_all_daemons_ended(limits):
    """Guards against the chain of another program as one record, which the log refuses."""
    world = new_world(limits)
    last, chain = store_chain(world, "one", *[80 * KILOBYTE] * 4)
    for program in ("two", "three", "four"):
        world.restart_all()
        listener = go_on(world, program, last, at=1)
        assert listener.body == chain + b"next"
    assert world.log.refused_bytes == []


def test_a_chain_is_handed_on_again_and_again():
    world = new_world()
    last, chain = store_chain(world, "p0", 300 * KILOBYTE, 90 * KILOBYTE)
    for number in range(1, 6):
        last, chain = store_chain(
            world, f"p{number}", 50 * KILOBYTE, previous=last, before=chain
        )
        if number % 2:
            world.restart_all()
    assert world.log.refused_bytes == []
    stored = sum(
        len(record) for place in LOGS for record in world.log.partition(*place).records
    )
    assert stored < 1.02 * 6 * len(chain)


def test_a_chain_longer_than_a_message_is_read_in_pages():
    """Guards against a chain that no message between daemons can carry."""
    world = new_world()
    last, chain = store_chain(world, "one", *[900 * KILOBYTE] * 6)
    world.restart_all()
    assert go_on(world, "one", last, at=2).body == chain + b"next"
    assert go_on(world, "two", last, at=1).body == chain + b"next"


@pytest.mark.parametrize("stop_after", [0.02, 0.05, 0.1, 0.2])
def test_an_owner_that_ends_between_two_parts_leaves_no_half_turn(stop_after):
    world = new_world()
    call = world.call(body=text_of("p", 2048 * KILOBYTE), wait_seconds=20.0)
    gateway = next(n for n in range(3) if world.names[n] != world.owner("p"))
    listener = world.wait_for_decision(call, at=gateway, stores_turns=True)
    listener.ticket.completed(EVENT, 1, listener)
    world.run(stop_after)
    owner: DaemonName = world.owner("p")
    world.crash(owner)
    world.run(0.1)
    world.start(owner)
    world.run(6.0)
    assert listener.is_durable
    world.restart_all()
    assert go_on(world, "p", call.id).body == call.body + b"hello\nnext"


def test_a_turn_whose_gateway_ends_between_two_parts_does_not_exist():
    world = new_world()
    call = world.call(body=text_of("p", 2048 * KILOBYTE), wait_seconds=20.0)
    listener = world.wait_for_decision(call, stores_turns=True)
    listener.ticket.completed(EVENT, 1, listener)
    world.run(0.06)
    listener.is_caller_waiting = False
    world.run(2.0)
    assert not listener.is_durable
    asked = world.call("p", previous=call.id, body=b"x")
    assert world.wait_for_decision(asked, stores_turns=True).refusal == UNKNOWN_TURN


def test_parts_of_two_attempts_are_never_mixed():
    def parts(output: bytes) -> list[str]:
        turn = KeepTurn(0, "p", "t", "", b"i" * 100, output, tokens=1)
        return [part.call for part in split_turn(turn, max_bytes=30)]

    first, second = parts(b"a" * 100), parts(b"a" * 50 + b"b" * 50)
    assert first[-1] == second[-1] == "t"
    assert first[:5] == second[:5]
    assert set(first[5:-1]).isdisjoint(second)
    assert parts(b"a" * 100) == first


@pytest.mark.parametrize("size", [1, 29, 30, 31, 59, 60, 61, 90, 91])
def test_the_parts_of_a_turn_are_its_text(size):
    text = text_of("p", size)
    turn = KeepTurn(0, "p", "t", "before", text[: size // 3], text[size // 3 :], 7)
    parts = split_turn(turn, max_bytes=30)
    assert b"".join(part.input + part.output for part in parts) == text
    assert all(len(part.input) + len(part.output) <= 30 for part in parts)
    assert [part.previous for part in parts] == [
        "before",
        *[part.call for part in parts[:-1]],
    ]
    assert [part.is_part for part in parts] == [True] * (len(parts) - 1) + [False]
    assert sum(part.tokens for part in parts) == 7


def test_a_history_that_is_too_long_is_refused_before_it_runs():
    world = new_world(max_body_bytes=1000 * KILOBYTE)
    last, chain = store_chain(world, "one", *[300 * KILOBYTE] * 3)
    for program in ("one", "two"):
        call = world.call(program, previous=last, body=b"x" * 150 * KILOBYTE)
        listener = world.wait_for_decision(call, stores_turns=True)
        assert listener.refusal == HISTORY_TOO_LONG
    assert go_on(world, "one", last).body == chain + b"next"


def test_a_chain_whose_copy_takes_all_of_the_wait_is_admitted_after_it():
    """The copy of 1.6 MB took 1.44 s, and the call was refused after 1.4 s."""
    world = new_world(LogLimits(record_bytes=20_000, call_bytes=50_000))
    previous = ""
    for _ in range(4):
        call = world.call(
            "p", body=b"x" * 600 * KILOBYTE, previous=previous, wait_seconds=30.0
        )
        listener = world.store_turn(call, EVENT)
        assert listener.is_durable
        previous = call.id
    began = world.clock.seconds()
    listener = world.wait_for_decision(
        world.call("other", previous=previous, wait_seconds=30.0), stores_turns=True
    )
    assert len(listener.body) > 4 * 600 * KILOBYTE
    assert world.clock.seconds() - began > MAX_DECISION_WAIT_SECONDS


@pytest.mark.parametrize("is_handed_on", [False, True], ids=["own", "handed on"])
def test_a_history_without_room_is_refused_before_it_runs(is_handed_on):
    """A hundred programs that go on with a megabyte each took the memory of a machine."""
    world = new_world()
    call = world.call("p", body=b"x" * 600 * KILOBYTE)
    world.store_turn(call, b"data: out\n\n")
    program = "other" if is_handed_on else "p"
    world.restart_all()
    next_call = world.call(program, previous=call.id)
    listener = world.request_admission(next_call, stores_turns=True)
    listener.memory_bytes = 500 * KILOBYTE
    world.run(2.0)
    assert listener.refusal == NO_MEMORY
    assert world.reserved_tokens(program) == 0
    again = world.wait_for_decision(
        world.call(program, previous=call.id), stores_turns=True
    )
    assert len(again.body) > 600 * KILOBYTE
    assert again.reserved >= len(again.body)


def test_a_turn_that_the_log_refuses_all_the_same_is_told_at_once():
    """Guards against callers that wait in vain for what will never be stored."""
    world = new_world(LogLimits(record_bytes=100_000, call_bytes=200_000))
    world.log_may_refuse = True
    for name in world.names:
        world.logs[name].limits = LogLimits()
    world.restart_all()
    beside = same_partition_program(world, "p")
    call = world.call(body=text_of("p", 150 * KILOBYTE))
    listener = world.wait_for_decision(call, stores_turns=True)
    listener.ticket.completed(EVENT, 1, listener)
    other = world.store_turn(world.call(beside, body=b"short"), EVENT)
    assert other.is_durable
    assert listener.is_given_up
    assert len(world.log.refused_bytes) <= 2
    world.run(0.1)
    assert world.reserved_tokens("p") == 0


def test_a_chain_that_the_log_refuses_all_the_same_is_refused_before_it_runs():
    world = new_world()
    last, _ = store_chain(world, "one", *[80 * KILOBYTE] * 2)
    world.log.limits = LogLimits(record_bytes=100_000, call_bytes=200_000)
    call = world.call("two", previous=last, body=b"x")
    listener = world.wait_for_decision(call, stores_turns=True)
    assert listener.refusal == HISTORY_NOT_STORABLE
    assert len(world.log.refused_bytes) == 1


def test_a_requester_that_knows_no_pages_gets_the_whole_chain():
    """An older daemon would take a first page for all of it."""
    store = TurnStore()
    for number in range(5):
        previous = f"t{number - 1}" if number else ""
        store.add(f"t{number}", Turn(previous, b"i" * PAGE_BYTES, b"o"))
    whole = store.page("t4")
    assert whole == TranscriptPage("", (b"i" * PAGE_BYTES + b"o") * 5, "t4", 0)
    first = store.page("t4", "t0", PAGE_BYTES)
    assert (first.after, first.last) == ("t0", "t1")
    assert first.remaining_bytes == 3 * (PAGE_BYTES + 1)
