"""Plain answers are read from engines no faster than their callers read them."""

import pytest

from notcharch.calls.held_answer import MAX_HELD_BYTES, MAX_HELD_ONCE_BYTES
from notcharch.http.buffered_bytes import BufferedBytes
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import ResponseHead
from notcharch.http.metrics import ANSWERS_RELAYED_EARLY
from tests.unit.calls.world import World

MEGABYTE = 1024 * 1024
PIECE = b"x" * (16 * 1024)
ONCE = MAX_HELD_ONCE_BYTES // len(PIECE) + 1
"""Pieces of an answer that is not held for a call that is not sent again."""


def give(sent, pieces: int) -> None:
    for _ in range(pieces):
        sent.listener.data_received(PIECE)


def begin(sent, status: int = 200, *, length: int, seal: bool = True) -> None:
    headers = [(b"content-length", str(length).encode())]
    if seal:
        headers.append((b"seal", b"x"))
    sent.listener.head_received(ResponseHead(status, headers))


def early() -> float:
    return ANSWERS_RELAYED_EARLY._value.get()


def test_an_answer_of_a_call_that_is_not_sent_again_waits_at_its_engine():
    """Guards against engines that are read at full speed for callers that are behind."""
    world = World(is_repeatable=False)
    (sent,) = world.sent
    begin(sent, length=1000 * len(PIECE))
    give(sent, ONCE - 1)
    assert world.reply.head is None
    world.reply.backlog(True)
    give(sent, 1)
    assert world.reply.data == PIECE * ONCE
    assert world.services.answers.total == 0
    assert sent.is_paused


def test_the_last_run_of_a_call_counts_as_one_that_is_not_sent_again():
    """Guards against holding an answer for a retry that is not allowed any more."""
    world = World(is_repeatable=True, max_engines=2)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    begin(world.sent[1], length=1000 * len(PIECE))
    give(world.sent[1], ONCE)
    assert len(world.reply.data) == ONCE * len(PIECE)


def test_an_answer_of_a_call_that_may_be_sent_again_is_held_for_it():
    """Guards against giving up the second run for memory that is not short."""
    world = World(is_repeatable=True, max_engines=2)
    (sent,) = world.sent
    begin(sent, length=1000 * len(PIECE))
    give(sent, MAX_HELD_BYTES // len(PIECE))
    assert world.reply.head is None
    sent.listener.failed(ResponseFailure.RESET)
    world.sent[1].respond(200, b"whole")
    assert world.reply.data == b"whole"


@pytest.mark.parametrize(("status", "seal"), [(404, True), (200, False)])
def test_an_answer_that_may_not_be_relayed_before_its_end_is_held(status, seal):
    """Guards against an error of 100 KB that is given up where it came through before."""
    world = World(is_repeatable=False)
    (sent,) = world.sent
    begin(sent, status, length=8 * len(PIECE), seal=seal)
    give(sent, 8)
    assert not sent.is_abandoned
    assert world.reply.head is None
    sent.listener.completed()
    if status == 404:
        assert world.reply.data == PIECE * 8


def test_a_relayed_answer_keeps_its_length():
    """Guards against callers that can't tell a short answer from a whole one."""
    world = World()
    (sent,) = world.sent
    begin(sent, length=20 * len(PIECE))
    give(sent, 20)
    sent.listener.completed()
    assert world.reply.length == 20 * len(PIECE)
    assert world.reply.end == "finished"


def test_a_stream_of_events_has_no_length():
    """Guards against the length of one run's stream for events of several runs."""
    world = World(is_stream=True)
    (sent,) = world.sent
    begin(sent, length=9)
    sent.listener.data_received(b"data: x\n\n")
    assert world.reply.length is None


def test_an_answer_that_gives_way_is_relayed_instead_of_given_up():
    """Guards against a caller that loses its answer because others' take the memory."""
    answers = BufferedBytes(MEGABYTE)
    before = early()
    worlds = [
        World(is_repeatable=True, max_engines=2, answers=answers) for _ in range(6)
    ]
    for world in worlds:
        begin(world.sent[0], length=15 * len(PIECE))
        give(world.sent[0], 12)
        assert answers.total <= MEGABYTE
    for world in worlds:
        world.clock.advance(0)
    relayed = [world for world in worlds if world.reply.head is not None]
    assert relayed
    assert early() == before + len(relayed)
    for world in worlds:
        give(world.sent[0], 3)
        world.sent[0].listener.completed()
        assert world.reply.data == PIECE * 15
        assert world.reply.end in ("whole", "finished")
    assert answers.total == 0


def test_an_answer_that_gives_way_and_may_not_be_relayed_is_given_up():
    """Guards against an unsealed answer that is relayed when memory is short."""
    answers = BufferedBytes(200_000)
    world = World(is_repeatable=True, max_engines=2, answers=answers)
    begin(world.sent[0], length=15 * len(PIECE), seal=False)
    give(world.sent[0], 13)
    world.clock.advance(0)
    assert world.sent[0].is_abandoned
    world.sent[1].respond(200, b"whole")
    assert world.reply.data == b"whole"


def test_an_engine_that_closes_an_answer_its_caller_did_not_read_is_not_avoided():
    """Guards against an engine that counts as failed for a caller that is slow."""
    world = World()
    (sent,) = world.sent
    begin(sent, length=1000 * len(PIECE))
    world.reply.backlog(True)
    give(sent, ONCE)
    sent.listener.failed(ResponseFailure.TRUNCATED)
    assert world.reply.end == "aborted"
    assert world.pool.takes_calls("a")
    assert not world.sender.closed_idle
