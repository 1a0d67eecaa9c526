"""The log's output: bounded, in order, never waiting, with the important lines last."""

import errno

import msgspec
import pytest
from twisted.internet.task import Clock

from notcharch.events.output import MOST_BYTES, ROUTINE_LINES_A_SECOND, LogOutput

ROUTINE = 2200
OTHER = 2201


class Reader:
    """A descriptor that takes as much as it is told to."""

    def __init__(self) -> None:
        self.room = 1 << 30
        self.data = b""
        self.error: int | None = None

    def write(self, descriptor: int, data: bytes) -> int:
        if self.error is not None:
            raise OSError(self.error, "")
        if not self.room:
            raise OSError(errno.EAGAIN, "")
        taken = data[: self.room]
        self.room -= len(taken)
        self.data += taken
        return len(taken)

    @property
    def lines(self) -> list[dict]:
        whole = self.data[: self.data.rfind(b"\n") + 1]
        return [msgspec.json.decode(line) for line in whole.splitlines()]


class World:
    def __init__(self) -> None:
        self.clock = Clock()
        self.reader = Reader()
        self.output = LogOutput(1, self.clock, frozenset((ROUTINE,)), self.reader.write)

    def emit(self, number: int, count: int = 1, text: str = "") -> None:
        for place in range(count):
            self.output({"event_number": number, "place": place, "text": text})

    def places(self, number: int) -> list[int]:
        lines = self.reader.lines
        return [line["place"] for line in lines if line["event_number"] == number]


def test_lines_come_in_order():
    world = World()
    world.emit(OTHER, 5)
    world.clock.advance(0.2)
    assert world.places(OTHER) == [0, 1, 2, 3, 4]


def test_nothing_is_written_while_a_request_is_served():
    world = World()
    world.reader.error = errno.EIO
    world.emit(OTHER)  # no error reaches who emits


def test_routine_lines_are_few_in_a_second():
    world = World()
    world.emit(ROUTINE, 10 * ROUTINE_LINES_A_SECOND)
    world.emit(OTHER, 3)
    world.clock.advance(0.2)
    assert len(world.places(ROUTINE)) == ROUTINE_LINES_A_SECOND
    assert world.places(OTHER) == [0, 1, 2]
    assert world.output.take_dropped() == (9 * ROUTINE_LINES_A_SECOND, 0)
    assert world.output.take_dropped() == (0, 0)
    world.clock.advance(1.0)
    world.emit(ROUTINE)
    world.clock.advance(0.2)
    assert len(world.places(ROUTINE)) == ROUTINE_LINES_A_SECOND + 1


def test_a_reader_that_stalls_costs_nothing_but_lines():
    world = World()
    world.reader.room = 0
    long = "x" * 1000
    for _ in range(40):
        world.emit(ROUTINE, 20, long)
        world.emit(OTHER, 40, long)
        world.clock.advance(1.0)
    assert world.output._bytes <= MOST_BYTES + 2000
    routine, others = world.output.take_dropped()
    assert routine > 0
    assert others > 0
    world.reader.room = 1 << 30
    world.clock.advance(1.0)
    assert len(world.places(OTHER)) == 40 * 40 - others


def test_routine_lines_are_the_first_to_go():
    world = World()
    world.reader.room = 0
    world.emit(OTHER, 300, "x" * 1000)
    world.emit(ROUTINE, 10)
    world.emit(OTHER, 100, "x" * 1000)
    routine, others = world.output.take_dropped()
    assert (routine, others) == (10, 0)


@pytest.mark.parametrize("room", [1, 10, 100])
def test_lines_written_in_pieces_are_whole(room):
    world = World()
    world.emit(OTHER, 20)
    for _ in range(3000):
        world.reader.room = room
        world.clock.advance(0.1)
    assert world.places(OTHER) == list(range(20))


def test_a_reader_that_left_ends_the_lines_not_the_process():
    world = World()
    world.reader.error = errno.EPIPE
    world.emit(OTHER, 5)
    world.clock.advance(0.2)
    assert world.output._bytes == 0
