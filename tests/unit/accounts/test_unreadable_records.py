"""Records of an owner's journal that can't be read, or whose replay fails."""

import msgspec
import pytest

from notcharch.accounts.ledger import Ledger
from notcharch.calls.interface import UNKNOWN_TURN
from notcharch.events import journal, process
from tests.unit.accounts.steps import EVENT, assert_unsure
from tests.unit.accounts.test_dropped_turns import ask, partition_of
from tests.unit.accounts.world import World
from tests.unit.events.capture import captured, of

NESTED = b"\x91" * 60_000
TURN = msgspec.msgpack.encode(["turn", "p", "t", "", b"", b"", 0, 0.0])
NESTED_TURN = b"\x99" + TURN[1:] + NESTED
"""A turn with one more element, which is nested."""
OLD_SECONDS = 400


@pytest.mark.parametrize(
    "record", [b"\x00", b"\xff", NESTED, NESTED_TURN, b"\xc1\x91"], ids=len
)
def test_a_record_that_cannot_be_read_costs_that_record_alone(record):
    world = World()
    first = world.call(body=b"a")
    world.store_turn(first, EVENT)
    partition_of(world, "p").append((record,), None)
    second = world.call(previous=first.id, body=b"b")
    world.restart_all()
    world.store_turn(second, EVENT)
    world.restart_all()
    assert ask(world, second.id).body == b"ahello\nbhello\nx"


def test_a_turn_is_not_denied_whose_record_may_be_the_one_that_cannot_be_read():
    world = World()
    world.store_turn(world.call(body=b"a"), EVENT)
    partition_of(world, "p").append((NESTED,), None)
    world.restart_all()
    assert_unsure(ask(world, "nobody").refusal)
    for _ in range(OLD_SECONDS // 10):
        world.run(10.0)
    assert ask(world, "nobody").refusal == UNKNOWN_TURN


def test_a_record_whose_replay_always_fails_does_not_close_its_partition_for_ever(
    monkeypatch,
):
    original = Ledger.replay

    def replay(self, record, now):
        if record.program == "p":
            raise ValueError("a defect")
        original(self, record, now)

    world = World()
    world.store_turn(world.call(body=b"a"), EVENT)
    monkeypatch.setattr(Ledger, "replay", replay)
    with captured() as messages:
        world.restart_all()
        world.run(5.0)
    assert of(messages, journal.TakeoverFailed)
    assert of(messages, process.PartSkipped)
    assert world.wait_for_decision(world.call()).ticket is not None
