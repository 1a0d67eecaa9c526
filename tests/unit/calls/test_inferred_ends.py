"""Answers whose end is only inferred from the end of their connection."""

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
