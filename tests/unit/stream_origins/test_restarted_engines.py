"""Engines that start again under their id, at another version."""

import pytest

from notcharch.calls.interface import ORIGIN_UNKNOWN
from notcharch.calls.version_filter import RESTART_DOUBT_SECONDS
from notcharch.scheduling.software_versions import SETTLING_SECONDS
from tests.unit.stream_origins.test_resumed_streams import (
    ASKING_SECONDS,
    STEADY_SECONDS,
)
from tests.unit.stream_origins.world import POLL_SECONDS, OriginWorld


def steady_world() -> OriginWorld:
    world = OriginWorld()
    for id in ("e1", "e2", "e3"):
        world.add_engine(id, "v1", started_ms=1000)
    world.run(STEADY_SECONDS)
    return world


def test_no_engine_is_asked_while_one_version_serves_and_none_failed():
    world = steady_world()
    assert not world.daemon(0).call("a").sent[0].is_start_confirmed


def test_engines_are_asked_while_two_versions_serve():
    world = steady_world()
    world.add_engine("f", "v2", started_ms=1000)
    world.run(SETTLING_SECONDS + 0.5)
    assert world.daemon(0).call("a").sent[0].is_start_confirmed


def test_an_engine_that_failed_is_asked_for_a_while():
    world = steady_world()
    daemon = world.daemon(0)
    daemon.pool.engine_failed("e1")
    assert daemon.pool.must_confirm("e1")
    assert not daemon.pool.must_confirm("e2")
    world.run(RESTART_DOUBT_SECONDS + 0.1)
    assert not daemon.pool.must_confirm("e1")


def test_engines_whose_starts_have_ids_of_their_own_are_never_asked():
    world = OriginWorld(e1="v1", f1="v2")
    world.run(STEADY_SECONDS)
    assert not world.daemon(0).call("a").sent[0].is_start_confirmed


def test_a_stream_does_not_begin_at_an_engine_whose_entry_is_stale():
    world = steady_world()
    daemon = world.daemon(0)
    stream = daemon.call("a")
    stale = stream.sent[0].engine.id
    stream.sent[0].listener.restarted()
    assert stream.sent[1].engine.id != stale
    for number in range(20):
        assert daemon.call(f"b{number}").sent[0].engine.id != stale
    world.add_engine(stale, "v2", started_ms=2000)
    world.run(SETTLING_SECONDS + 0.5)
    engines = {daemon.call(f"c{number}").sent[0].engine.id for number in range(40)}
    assert stale in engines


@pytest.mark.parametrize("restarts_after", [0.0, 1.0])
def test_a_stream_that_may_have_begun_after_the_restart_goes_on_nowhere(restarts_after):
    """Its engine's entry was read as of before, although it may have started again."""
    world = steady_world()
    stream = world.daemon(3).call("a")
    engine = stream.sent[0].engine.id
    stream.send_events(2)
    world.run(restarts_after)
    world.add_engine(engine, "v2", started_ms=2000)
    world.run(0.5)
    stream.break_engine()
    assert len(stream.sent) == 1
    assert stream.reply.end == "aborted"
    resumed = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert resumed.reply.refusal == ORIGIN_UNKNOWN


def test_a_stream_that_began_long_before_the_restart_goes_on_at_its_version():
    world = steady_world()
    stream = world.daemon(3).call("a")
    engine = stream.sent[0].engine.id
    stream.send_events(2)
    world.run(RESTART_DOUBT_SECONDS + 2 * POLL_SECONDS + 1.0)
    world.add_engine(engine, "v2", started_ms=2000)
    world.run(0.5)
    resumed = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert resumed.version == "v1"


def test_a_stream_of_an_engine_that_confirmed_its_start_is_not_doubted():
    world = steady_world()
    world.add_engine("f", "v2", started_ms=1000)
    world.run(SETTLING_SECONDS + 0.5)
    stream = world.daemon(3).call("a")
    while stream.version != "v1":
        stream = world.daemon(3).call("a")
    stream.send_events(2)
    world.add_engine(stream.sent[0].engine.id, "v3", started_ms=2000)
    world.run(0.5)
    resumed = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert resumed.version == "v1"


def test_a_stream_of_an_engine_that_tells_no_start_goes_on_nowhere():
    world = steady_world()
    stream = world.daemon(3).call("a")
    stream.sent[0].listener.incarnation_unknown()
    stream.send_events(2)
    world.run(0.3)
    resumed = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert resumed.reply.refusal == ORIGIN_UNKNOWN
    stream.break_engine()
    assert len(stream.sent) == 1
    assert stream.reply.end == "aborted"
