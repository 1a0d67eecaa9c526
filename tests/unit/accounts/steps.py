"""What several tests of accounts do and look at."""

from notcharch.accounts.records import (
    AnyRecord,
    BoundRaised,
    decode,
)
from notcharch.calls.interface import STATE_UNKNOWN, Refusal
from tests.unit.accounts.world import EVENT_TOKENS, World

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
        listener.ticket.interrupted(most // EVENT_TOKENS)
        spent += most
    raise AssertionError("never refused")


def epochs(world):
    return [partition.epoch for partition in world.partitions]


def assert_unsure(refusal: Refusal | None) -> None:
    """Check that nobody decided, and that a later time to come back is told, if any."""
    assert refusal is not None
    told = (refusal.status, refusal.reason)
    assert told == (STATE_UNKNOWN.status, STATE_UNKNOWN.reason)
    assert refusal.retry_after_seconds >= STATE_UNKNOWN.retry_after_seconds
