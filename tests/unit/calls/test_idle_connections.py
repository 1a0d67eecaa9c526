"""Idle connections to engines have a number, however many engines there are."""

from types import SimpleNamespace

from twisted.internet.task import Clock

from notcharch.calls.engine_sender import MAX_IDLE, MAX_IDLE_TOTAL, EngineSender
from tests.unit.http.pipe import ClientSide


def released(sender, engine_id) -> ClientSide:
    side = ClientSide()
    side.connection.is_reusable = True
    sender.release(engine_id, SimpleNamespace(connection=side.connection))
    return side


def open_sides(sides):
    return [side for side in sides if not side.transport.is_closed]


def test_the_connections_to_engines_used_longest_ago_are_closed():
    """8 to each of 3,000 engines took 96 MB."""
    sender = EngineSender(Clock(), "")
    sides = []
    for number in range(MAX_IDLE_TOTAL):
        sides += [released(sender, f"e{number}") for _ in range(2)]
    assert open_sides(sides) == sides[-MAX_IDLE_TOTAL:]
    again = released(sender, f"e{MAX_IDLE_TOTAL // 2}")
    assert len(open_sides([*sides, again])) == MAX_IDLE_TOTAL


def test_what_is_taken_closed_or_above_an_engines_number_counts_no_more():
    sender = EngineSender(Clock(), "")
    sides = [released(sender, "a") for _ in range(3 * MAX_IDLE)]
    assert len(open_sides(sides)) == MAX_IDLE
    assert sender._idle_count == MAX_IDLE
    assert sender._take_idle("a") is sides[-1].connection
    assert sender._idle_count == MAX_IDLE - 1
    sender.close_idle("a")
    sender.close_idle("a")
    assert sender._idle_count == sender.idle_bytes == 0
    assert sender._take_idle("a") is None


def test_connections_that_expired_count_no_more_when_the_engine_is_used():
    clock = Clock()
    sender = EngineSender(clock, "")
    released(sender, "a")
    released(sender, "b")
    clock.advance(60.0)
    assert sender._take_idle("a") is None
    assert sender._idle_count == 1
