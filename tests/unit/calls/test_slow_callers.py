"""Callers that read slowly: the engine is not read, and not blamed."""

import pytest

from notcharch.http.client import ResponseFailure
from tests.unit.calls.world import World

EVENT = b"data: x\n\n"
INTERRUPTED_STREAM = {"is_stream": True, "is_resumable": False}


def streaming(**changes) -> World:
    world = World(**(INTERRUPTED_STREAM | changes))
    world.sent[0].begin()
    world.sent[0].listener.data_received(EVENT)
    return world


def health(world):
    return world.pool._states[world.sent[0].engine.id].health


def test_an_engine_is_not_read_while_its_caller_is_behind():
    world = streaming()
    world.reply.backlog(True)
    assert world.sent[0].is_paused
    world.reply.backlog(False)
    assert not world.sent[0].is_paused


@pytest.mark.parametrize("failure", [ResponseFailure.CLOSED, ResponseFailure.RESET])
def test_an_engine_that_closes_an_unread_answer_has_not_failed(failure):
    world = streaming()
    world.reply.backlog(True)
    world.clock.advance(1.0)
    world.reply.backlog(False)
    world.sent[0].listener.failed(failure)
    assert health(world)._failures == 0
    assert world.reply.end == "aborted"
    assert world.in_flight == 0


def test_an_engine_that_closes_an_answer_that_was_read_has_failed():
    world = streaming()
    world.sent[0].listener.failed(ResponseFailure.CLOSED)
    assert health(world)._failures == 1


def test_an_engine_whose_answer_is_not_read_is_not_silent():
    world = streaming()
    world.reply.backlog(True)
    world.clock.advance(1.0)
    assert not health(world).is_silent(world.clock.seconds())
    world.reply.backlog(False)
    assert not health(world).is_silent(world.clock.seconds())
    world.clock.advance(0.9)
    assert health(world).is_silent(world.clock.seconds())


def test_a_pause_is_not_an_interval_between_events():
    world = streaming()
    world.clock.advance(0.02)
    world.sent[0].listener.data_received(EVENT)
    interval = health(world).event_interval_seconds
    world.reply.backlog(True)
    world.clock.advance(1.0)
    world.reply.backlog(False)
    world.sent[0].listener.data_received(EVENT)
    assert health(world).event_interval_seconds == interval


def test_another_run_for_a_caller_that_is_behind_is_not_read_either():
    world = streaming(is_resumable=True, max_engines=2)
    world.reply.backlog(True)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert len(world.sent) == 2
    world.sent[1].begin()
    world.sent[1].listener.data_received(EVENT)
    assert world.sent[1].is_paused


def test_a_caller_cut_while_it_is_behind_leaves_no_outstanding_call():
    world = streaming()
    world.reply.backlog(True)
    world.reply.disconnect()
    assert world.sent[0].is_abandoned
    assert health(world)._outstanding == 0
    assert world.in_flight == 0
