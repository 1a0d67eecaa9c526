"""Answers whose end is only inferred from the end of their connection."""

import pytest

from notcharch.calls.end_check import CHECK_SECONDS
from notcharch.calls.interface import MAY_HAVE_RUN
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import ResponseHead
from notcharch.values.framing import Framing
from tests.unit.calls.test_call_lifecycle import (
    ONE,
    TWO,
    ManualAdmission,
    stream,
)
from tests.unit.calls.world import World, engine


def unframed(sent, data: bytes) -> None:
    """Answer with neither a length nor chunks, and end by a clean close."""
    sent.begin(framing=Framing.CONNECTION)
    sent.listener.data_received(data)
    sent.listener.completed()


def test_an_unframed_stream_cut_inside_an_event_does_not_look_whole():
    world = stream()
    unframed(world.sent[0], ONE + TWO[:5])
    assert (world.reply.end, world.reply.data) == ("aborted", ONE)


def test_an_unframed_stream_cut_inside_an_event_goes_on_after_its_last_whole_event():
    world = stream(is_resumable=True, max_engines=2)
    unframed(world.sent[0], ONE + TWO[:5])
    assert world.sent[1].header(b"after") == b"1"
    world.sent[1].begin()
    world.sent[1].listener.data_received(TWO)
    world.sent[1].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", ONE + TWO)


def test_half_an_event_of_an_unframed_stream_is_not_stored_in_its_turn():
    admission = ManualAdmission()
    world = stream(admission=admission, stores_turns=True)
    admission.admit()
    unframed(world.sent[0], ONE + TWO[:5])
    assert admission.reports == ["interrupted after 1"]


@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_a_framed_stream_that_ends_inside_an_event_does_not_look_whole(
    framing, line_end
):
    world = stream()
    world.sent[0].begin(framing=framing)
    data = (ONE + TWO[:-1]).replace(b"\n", line_end)
    world.sent[0].listener.data_received(data)
    world.sent[0].listener.completed()
    assert world.reply.end == "aborted"
    assert world.reply.data.rstrip() == ONE.replace(b"\n", line_end).rstrip()


def test_a_stream_that_ends_inside_its_first_event_ends_in_an_answer():
    world = stream()
    unframed(world.sent[0], ONE[:5])
    assert (world.reply.end, world.reply.refusal) == ("refused", MAY_HAVE_RUN)


@pytest.mark.parametrize("cut", range(1, len(TWO)))
def test_a_stream_cut_at_any_byte_of_an_event_does_not_look_whole(cut):
    world = stream()
    unframed(world.sent[0], ONE + TWO[:cut])
    assert (world.reply.end, world.reply.data) == ("aborted", ONE)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("rest", [b"", b"\n", b"\n\n", b": kept alive\n"])
def test_a_stream_that_ends_after_an_event_is_whole(line_end, rest):
    world = stream()
    world.sent[0].begin()
    data = (ONE + TWO + rest).replace(b"\n", line_end)
    for byte in data:
        world.sent[0].listener.data_received(bytes((byte,)))
    world.sent[0].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", data)


def test_a_body_that_is_no_stream_of_events_is_whole_without_any():
    world = stream()
    headers = [(b"seal", b"x"), (b"content-type", b"application/json")]
    world.sent[0].listener.head_received(ResponseHead(200, headers))
    world.sent[0].listener.data_received(b"{}")
    world.sent[0].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", b"{}")


RESUMABLE = {"is_resumable": True, "max_engines": 2}


def plain(sent, data: bytes = b"body") -> None:
    """Answer a call without a stream, unframed."""
    headers = [(b"seal", b"x")]
    head = ResponseHead(200, headers, framing=Framing.CONNECTION)
    sent.listener.head_received(head)
    sent.listener.data_received(data)
    sent.listener.completed()


def ended_between_events(**changes) -> World:
    world = stream(**changes)
    unframed(world.sent[0], ONE)
    return world


def test_nothing_is_asked_about_an_answer_that_tells_its_end():
    world = stream()
    world.sent[0].begin(framing=Framing.CHUNKS)
    world.sent[0].listener.data_received(ONE)
    world.sent[0].listener.completed()
    assert (world.reply.end, len(world.sent)) == ("finished", 1)


def test_an_unframed_stream_is_whole_once_its_engine_answers():
    world = ended_between_events()
    question = world.sent[1]
    assert (question.engine, question.head.target) == (world.sent[0].engine, b"/report")
    assert (world.reply.end, world.reply.data) == ("", ONE)
    question.respond(200, b"{}")
    assert (world.reply.end, world.reply.data) == ("finished", ONE)
    assert world.in_flight == 0
    assert world.sender.released == [world.sent[0], question]


def test_an_unframed_plain_answer_is_whole_once_its_engine_answers():
    world = World()
    plain(world.sent[0])
    assert world.reply.end == ""
    world.sent[1].respond(400, seal=False)
    assert (world.reply.end, world.reply.data) == ("whole", b"body")


def test_the_engine_that_ran_an_unframed_stream_tells_what_follows_its_last_event():
    world = ended_between_events(**RESUMABLE)
    question = world.sent[1]
    assert question.engine == world.sent[0].engine
    assert (question.header(b"after"), question.body) == (b"1", b"body")
    question.respond(200, b"")
    assert (world.reply.end, world.reply.data) == ("finished", ONE)


def gone(world: World) -> None:
    world.sent[-1].is_refused = True
    world.sent[-1].listener.unreachable()


def cut(world: World) -> None:
    world.sent[-1].listener.failed(ResponseFailure.RESET)


def other(world: World) -> None:
    world.sent[-1].refuse(421)


ENDED = [gone, cut]


@pytest.mark.parametrize("end", ENDED)
def test_an_unframed_stream_whose_engine_died_between_events_does_not_look_whole(end):
    world = ended_between_events()
    end(world)
    assert (world.reply.end, world.reply.data) == ("aborted", ONE)
    assert world.in_flight == 0


@pytest.mark.parametrize("end", ENDED)
def test_an_unframed_plain_answer_whose_engine_died_does_not_look_whole(end):
    world = World()
    plain(world.sent[0])
    end(world)
    assert world.reply.refusal == MAY_HAVE_RUN


def test_an_unframed_plain_answer_whose_engine_died_is_repeated_where_it_may_be():
    world = World(is_repeatable=True, max_engines=2)
    plain(world.sent[0], b"bo")
    gone(world)
    world.sent[2].respond(200, b"body")
    assert (world.reply.end, world.reply.data) == ("whole", b"body")


@pytest.mark.parametrize("end", [*ENDED, other])
def test_an_unframed_stream_whose_engine_died_goes_on_where_it_may(end):
    world = ended_between_events(**RESUMABLE)
    end(world)
    assert world.sent[2].engine != world.sent[0].engine
    assert world.sent[2].header(b"after") == b"1"
    world.sent[2].begin()
    world.sent[2].listener.data_received(TWO)
    world.sent[2].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", ONE + TWO)


def test_a_stream_that_a_living_engine_broke_off_between_events_goes_on():
    world = ended_between_events(**RESUMABLE)
    question = world.sent[1]
    question.begin()
    question.listener.data_received(TWO[:3])
    assert question.is_abandoned
    assert world.sent[2].header(b"after") == b"1"
    world.sent[2].begin()
    world.sent[2].listener.data_received(TWO)
    world.sent[2].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", ONE + TWO)


def restartable(**changes) -> World:
    return World(started_ms=70, **changes)


def tell_start(sent, started_ms: int) -> None:
    sent.respond(200, b"%d" % started_ms)


def unframed_after_start(world: World) -> None:
    """Answer unframed; the engine tells its start meanwhile, another one than listed."""
    [sent] = world.sent
    sent.begin(framing=Framing.CONNECTION)
    sent.listener.data_received(ONE)
    tell_start(world.sent[1], 77)
    sent.listener.completed()


def test_an_engine_that_started_again_has_broken_its_answers_off():
    world = restartable(is_stream=True)
    unframed_after_start(world)
    tell_start(world.sent[2], 78)
    assert (world.reply.end, world.reply.data) == ("aborted", ONE)


def test_an_engine_that_started_again_before_its_answer_has_not_broken_it_off():
    world = restartable(is_stream=True)
    unframed_after_start(world)
    tell_start(world.sent[2], 77)
    assert (world.reply.end, world.reply.data) == ("finished", ONE)


def may_have_restarted(world: World) -> bool:
    state = world.pool._states[world.sent[0].engine.id]
    return state.failed_at is not None


@pytest.mark.parametrize("is_inside_event", [True, False])
def test_an_engine_that_closed_early_may_have_started_again(is_inside_event):
    world = restartable(is_stream=True)
    assert not may_have_restarted(world)
    world.sent[0].begin(framing=Framing.CONNECTION)
    world.sent[0].listener.data_received(ONE + TWO[:5])
    if is_inside_event:
        world.sent[0].listener.completed()
    else:
        world.sent[0].listener.failed(ResponseFailure.TRUNCATED)
    assert may_have_restarted(world)


def test_a_start_that_was_not_told_in_time_breaks_nothing():
    world = restartable()
    plain(world.sent[0])
    tell_start(world.sent[2], 77)
    assert world.reply.end == "whole"
    assert world.sent[1].is_abandoned


def full(world: World) -> None:
    world.sent[-1].refuse(503)


def silent(world: World) -> None:
    world.clock.advance(CHECK_SECONDS)


def hard_to_reach(world: World) -> None:
    world.sent[-1].listener.unreachable()


def failing(world: World) -> None:
    world.sent[-1].respond(500)


def garbling(world: World) -> None:
    world.sent[-1].listener.failed(ResponseFailure.GARBLED)


@pytest.mark.parametrize("end", [full, silent, hard_to_reach, failing, garbling])
@pytest.mark.parametrize("changes", [{}, RESUMABLE])
def test_an_engine_that_does_not_tell_breaks_no_whole_stream(end, changes):
    world = ended_between_events(**changes)
    end(world)
    assert (world.reply.end, world.reply.data) == ("finished", ONE)
    assert world.in_flight == 0


def test_an_idle_connection_that_is_closed_is_no_sign_of_a_dead_engine():
    world = ended_between_events()
    world.sent[1].is_reused = True
    world.sent[1].listener.failed(ResponseFailure.RESET)
    assert world.sender.closed_idle == [world.sent[0].engine.id]
    world.sent[2].respond(200, b"{}")
    assert world.reply.end == "finished"


def test_an_unframed_stream_without_events_is_not_whole():
    world = stream()
    unframed(world.sent[0], b"")
    assert (world.reply.end, world.reply.refusal) == ("refused", MAY_HAVE_RUN)


def test_an_unframed_stream_without_events_runs_anew_where_it_may():
    world = stream(**RESUMABLE)
    unframed(world.sent[0], b"")
    world.sent[1].begin()
    world.sent[1].listener.data_received(ONE)
    world.sent[1].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", ONE)


def test_a_draining_engine_is_not_asked_to_run_again():
    world = stream(**RESUMABLE)
    ran = world.sent[0].engine
    world.pool.replace([engine(name) for name in ("a", "b", "c") if name != ran.id])
    unframed(world.sent[0], ONE)
    assert world.sent[1].head.target == b"/report"


def test_a_caller_that_leaves_during_the_check_ends_it():
    world = ended_between_events(**RESUMABLE)
    world.reply.disconnect()
    assert world.sent[1].is_abandoned
    assert world.in_flight == 0
    world.clock.advance(CHECK_SECONDS)


def test_a_check_leaves_time_for_the_end_of_a_whole_stream():
    world = stream(wait_seconds=CHECK_SECONDS)
    unframed(world.sent[0], ONE)
    world.clock.advance(CHECK_SECONDS / 2)
    assert (world.reply.end, world.reply.data) == ("finished", ONE)
