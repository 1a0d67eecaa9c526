"""Answers whose end is only inferred from the end of their connection."""

import pytest

from notcharch.calls.interface import MAY_HAVE_RUN
from notcharch.http.messages import ResponseHead
from notcharch.values.framing import Framing
from tests.unit.calls.test_call_lifecycle import (
    ONE,
    TWO,
    ManualAdmission,
    stream,
)


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
