"""A stream holds events of one software version of its service's engines."""

from notcharch.http.client import ResponseFailure
from tests.unit.calls.world import World

ONE = b"id: 1\ndata: a\n\n"
STREAM = {"is_stream": True, "is_resumable": True, "max_engines": 2}
"""A route whose streams may be resumed."""


def test_a_broken_stream_does_not_go_on_at_another_version():
    world = World(("a", "b"), versions={"a": "v1", "b": "v2"}, **STREAM)
    first = world.sent[0]
    first.begin()
    first.listener.data_received(ONE)
    first.listener.failed(ResponseFailure.RESET)
    assert len(world.sent) == 1
    assert world.reply.end == "aborted"


def test_a_stream_of_unknown_version_is_not_taken_up_at_any():
    world = World(
        ("a", "b"),
        versions={"a": "v1", "b": "v2"},
        resumed={"first_attempt": "0", "last_event_id": b"1"},
        **STREAM,
    )
    assert world.sent == []
    assert world.reply.end == "refused"
    assert world.reply.refusal.retry_after_seconds is not None
