"""A stream holds events of one software version of its service's engines."""

from notcharch.calls.interface import (
    ORIGIN_UNKNOWN,
    TURN_NOT_RESUMABLE,
    Engine,
    NoStreamOrigins,
    ServiceShare,
)
from notcharch.http.client import ResponseFailure
from notcharch.scheduling.stream_origin import (
    FoundOrigin,
    OriginSource,
    StreamOrigin,
)
from tests.unit.calls.world import SERVICE, World

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


class KnownOrigin(NoStreamOrigins):
    """Finds one origin of every stream, when the test says so."""

    def __init__(self, service, version="v1") -> None:
        self._found = FoundOrigin(StreamOrigin(service, version), OriginSource.PEER)

    def find(self, stream, then) -> None:
        self.answer = lambda: then(self._found)


def resumed_world(origins, **changes) -> World:
    taken_up = {"first_attempt": "0", "last_event_id": b"1"}
    return World(resumed=taken_up, origins=origins, **(STREAM | changes))


def test_a_stream_goes_on_at_the_service_that_began_it_after_its_split_moved():
    origins = KnownOrigin("other")
    shares = (ServiceShare(SERVICE, 1.0), ServiceShare("other", 0.0))
    world = resumed_world(origins, shares=shares)
    other = Engine("x", "other", "10.0.0.1", 80, "z", version="v1")
    world.pool.replace(
        [state.engine for state in world.pool._states.values()] + [other]
    )
    world.call.tokens_by_service = {SERVICE: 10, "other": 25}
    origins.answer()
    assert [sent.engine.id for sent in world.sent] == ["x"]
    assert world.call.tokens_per_event == 25


def test_a_stream_of_a_service_that_its_route_has_lost_goes_on_nowhere():
    origins = KnownOrigin("other")
    world = resumed_world(origins)
    origins.answer()
    assert world.sent == []
    assert world.reply.refusal == ORIGIN_UNKNOWN


def test_a_caller_that_leaves_during_the_search_costs_no_run():
    origins = KnownOrigin(SERVICE)
    world = resumed_world(origins)
    world.reply.disconnect()
    origins.answer()
    assert world.sent == []


def test_a_call_whose_time_ends_during_the_search_is_refused_as_not_run():
    origins = KnownOrigin(SERVICE)
    world = resumed_world(origins, wait_seconds=0.1)
    world.clock.advance(0.2)
    assert world.reply.refusal.status == 503
    origins.answer()
    assert world.sent == []


def test_a_stream_without_an_event_may_go_to_any_version():
    world = World(("a", "b"), versions={"a": "v1", "b": "v2"}, **STREAM)
    world.sent[0].begin()
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert len(world.sent) == 2


def test_engines_without_a_version_do_not_continue_each_others_streams():
    world = World(("a", "b"), versions={"a": "", "b": ""}, **STREAM)
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert len(world.sent) == 1
    assert world.reply.end == "aborted"


def test_a_stored_turn_is_not_resumed_by_an_attempt_that_lacks_its_first_events():
    """The turn would be stored without the events that the earlier attempt brought."""
    origins = KnownOrigin(SERVICE)
    world = resumed_world(origins, stores_turns=True)
    assert world.sent == []
    assert world.reply.refusal == TURN_NOT_RESUMABLE
