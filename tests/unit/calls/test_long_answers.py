"""Answers of engines that are long, or have no end: what is held and read is bounded."""

import pytest

from notcharch.calls.held_answer import (
    MAX_ANSWER_BYTES,
    MAX_EVENT_BYTES,
    MAX_HELD_BYTES,
)
from notcharch.calls.incarnation_check import MAX_REPORT_BYTES
from notcharch.events import http
from notcharch.http.buffered_bytes import BufferedBytes
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import ResponseHead
from notcharch.values.framing import Framing
from tests.unit.calls.world import World
from tests.unit.events.capture import captured, of

PIECE = b"x" * (64 * 1024)
LONG = MAX_HELD_BYTES // len(PIECE) + 3
"""Pieces of an answer that is too long to be held."""
ENDLESS = MAX_ANSWER_BYTES // len(PIECE) + 10


def feed(sent, piece: bytes, most: int) -> int:
    """Give an engine's bytes until they are not read any more; return how many were."""
    for count in range(most):
        if sent.is_abandoned:
            return count * len(piece)
        sent.listener.data_received(piece)
    return most * len(piece)


def held(world) -> int:
    return world.services.answers.total


def test_a_long_honest_answer_comes_through():
    world = World()
    (sent,) = world.sent
    sent.begin()
    feed(sent, PIECE, LONG)
    assert held(world) == 0
    sent.listener.completed()
    assert world.reply.head.status == 200
    assert world.reply.data == PIECE * LONG
    assert world.reply.end == "finished"


def test_a_short_answer_is_held_until_it_is_whole():
    world = World(is_repeatable=True, max_engines=2)
    (sent,) = world.sent
    sent.begin()
    feed(sent, PIECE, 2)
    assert world.reply.head is None
    assert held(world) == 2 * len(PIECE)
    sent.listener.failed(ResponseFailure.RESET)
    assert held(world) == 0
    world.sent[1].respond(200, b"whole")
    assert world.reply.data == b"whole"


def test_a_long_answer_that_was_broken_off_does_not_look_complete():
    world = World(is_repeatable=True, max_engines=2)
    (sent,) = world.sent
    sent.begin()
    feed(sent, PIECE, LONG)
    sent.listener.failed(ResponseFailure.RESET)
    assert world.reply.end == "aborted"
    assert len(world.sent) == 1


def test_a_long_answer_without_framing_is_relayed_after_its_engine_was_asked():
    world = World()
    (sent,) = world.sent
    sent.begin(framing=Framing.CONNECTION)
    feed(sent, PIECE, LONG)
    sent.listener.completed()
    assert world.reply.end == ""
    world.sent[1].respond(200, b"7")
    assert world.reply.end == "finished"
    assert world.reply.data == PIECE * LONG


def test_a_long_answer_is_not_read_while_its_caller_is_behind():
    world = World()
    (sent,) = world.sent
    sent.begin()
    feed(sent, PIECE, LONG)
    world.reply.backlog(True)
    assert sent.is_paused
    world.reply.backlog(False)
    assert not sent.is_paused


@pytest.mark.parametrize(("status", "seal"), [(200, False), (500, True), (404, True)])
def test_bytes_without_end_that_are_not_relayed_are_bounded(status, seal):
    world = World(is_repeatable=True, max_engines=2)
    (sent,) = world.sent
    headers = [(b"seal", b"x")] if seal else []
    sent.listener.head_received(ResponseHead(status, headers))
    with captured() as messages:
        assert feed(sent, PIECE, ENDLESS) <= MAX_HELD_BYTES + len(PIECE)
    assert held(world) == 0
    assert len(of(messages, http.AnswerTooLong)) == 1
    world.sent[1].respond(200, b"whole")
    assert world.reply.data == b"whole"


def test_an_answer_without_end_is_read_up_to_a_limit_and_then_cut():
    world = World()
    (sent,) = world.sent
    sent.begin()
    assert feed(sent, PIECE, ENDLESS) <= MAX_ANSWER_BYTES + len(PIECE)
    assert world.reply.end == "aborted"


@pytest.mark.parametrize("stores_turns", [False, True])
def test_an_event_without_end_is_bounded(stores_turns):
    world = World(is_stream=True, stores_turns=stores_turns)
    (sent,) = world.sent
    sent.begin()
    sent.listener.data_received(b"data: x\n\n")
    assert feed(sent, PIECE, ENDLESS) <= MAX_EVENT_BYTES + 2 * len(PIECE)
    assert held(world) == 0
    assert world.reply.data == b"data: x\n\n"


def test_events_without_end_on_a_route_that_stores_them_are_bounded():
    limit = 4 * 1024 * 1024
    world = World(is_stream=True, stores_turns=True, answers=BufferedBytes(limit))
    (sent,) = world.sent
    sent.begin()
    event = b"data: " + PIECE + b"\n\n"
    read = 0
    while not sent.is_abandoned and read < 2 * limit:
        sent.listener.data_received(event)
        world.clock.advance(0.001)
        read += len(event)
    assert read <= limit + 2 * len(event)
    assert world.reply.end == "aborted"
    assert held(world) == 0


def test_a_report_without_end_is_bounded_and_tells_nothing():
    world = World()
    (sent,) = world.sent
    sent.begin(framing=Framing.CONNECTION)
    sent.listener.data_received(b"whole")
    sent.listener.completed()
    question = world.sent[1]
    question.begin()
    assert feed(question, PIECE, ENDLESS) <= MAX_REPORT_BYTES + len(PIECE)
    assert world.reply.data == b"whole"
