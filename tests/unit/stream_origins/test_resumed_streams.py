"""Streams that are resumed go on only at the version that began them, whatever fails."""

import pytest

from notcharch.calls.interface import NO_ENGINE_OF_VERSION, ORIGIN_UNKNOWN
from notcharch.scheduling.software_versions import SETTLING_SECONDS
from notcharch.stream_origins.exchange import (
    ASK_SECONDS,
    ASKED,
    CONFIRM_SECONDS,
    HOLDERS,
)
from notcharch.values.identifiers import DaemonName
from tests.unit.calls.world import SERVICE
from tests.unit.stream_origins.world import STORE_SECONDS, Daemon, OriginWorld

STEADY_SECONDS = 12.0
"""Until daemons that started together are certain of an only version."""
MIXED = {"e1": "v1", "e2": "v1", "f1": "v2", "f2": "v2"}
ASKING_SECONDS = CONFIRM_SECONDS + ASK_SECONDS + 0.01


def mixed_world() -> OriginWorld:
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    world.add_engine("f1", "v2")
    world.add_engine("f2", "v2")
    world.run(SETTLING_SECONDS + 0.5)
    return world


def begin_at(daemon: Daemon, version: str, name: str = "a") -> str:
    """Begin a stream at a version; return its first attempt's id."""
    for attempt in range(200):
        stream = daemon.call(f"{name}{attempt}")
        if stream.version == version:
            stream.send_events(2)
            return f"{name}{attempt}"
        stream.break_engine()
    raise AssertionError(version)


def lose(world: OriginWorld, fault: str, daemon: Daemon) -> None:
    """Make a daemon unable to answer, or to know what it began."""
    others = [DaemonName(name) for name in world.members if name != daemon.name]
    if fault == "killed":
        world.kill(daemon)
    elif fault == "frozen":
        world.freeze(daemon)
    elif fault == "cut":
        world.fabric.cut([DaemonName(daemon.name)], others)
    elif fault == "replaced":
        world.replace(daemon)


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_stream_whose_engine_breaks_goes_on_at_its_version(version):
    world = mixed_world()
    stream = world.daemon(0).call("a")
    while stream.version != version:
        stream = world.daemon(0).call("a")
    stream.send_events(2)
    stream.break_engine()
    assert [sent.engine.version for sent in stream.sent] == [version, version]
    assert stream.sent[0].engine.id != stream.sent[1].engine.id


@pytest.mark.parametrize("is_store_up", [True, False])
@pytest.mark.parametrize("version", ["v1", "v2"])
@pytest.mark.parametrize("fault", ["none", "killed", "frozen", "cut", "replaced"])
def test_a_stream_is_taken_up_at_its_version_by_another_daemon(
    fault, version, is_store_up
):
    world = mixed_world()
    began = world.daemon(3)
    first = begin_at(began, version)
    world.run(0.1)
    world.is_store_up = is_store_up
    world.run(0.0 if is_store_up else 4.0)
    lose(world, fault, began)
    for number in (0, 5, 11):
        stream = world.daemon(number).call(f"b{number}", 2, first)
        world.run(ASKING_SECONDS)
        assert stream.version == version, stream.reply.refusal


def test_a_stream_survives_the_loss_of_its_daemon_and_of_two_holders():
    world = mixed_world()
    first = begin_at(world.daemon(3), "v2")
    world.run(0.1)
    holders = [
        daemon
        for daemon in world.daemons.values()
        if daemon.origins._held.find(first, world.clock.seconds())
    ]
    assert len(holders) == HOLDERS
    for daemon in (world.daemon(3), *holders[:2]):
        world.kill(daemon)
    askers = [
        daemon
        for daemon in world.daemons.values()
        if daemon.is_running and daemon not in holders
    ]
    stream = askers[0].call("b", 2, first)
    world.run(ASKING_SECONDS)
    assert stream.version == "v2"


def test_a_stream_whose_record_is_lost_is_refused_at_once_and_runs_nowhere():
    world = mixed_world()
    first = begin_at(world.daemon(3), "v1")
    world.run(0.1)
    asker = next(
        daemon
        for daemon in world.daemons.values()
        if daemon is not world.daemon(3)
        and daemon.origins._held.find(first, world.clock.seconds()) is None
    )
    for daemon in world.daemons.values():
        if daemon is not asker:
            world.kill(daemon)
    stream = asker.call("b", 2, first)
    world.run(ASKING_SECONDS)
    assert stream.reply.refusal == ORIGIN_UNKNOWN
    assert stream.reply.refusal.retry_after_seconds is not None
    assert not stream.sent


def test_a_stream_that_no_attempt_is_named_for_is_refused_while_two_versions_serve():
    world = mixed_world()
    stream = world.daemon(0).call("b", 2, "")
    world.run(ASKING_SECONDS)
    assert stream.reply.refusal == ORIGIN_UNKNOWN


def test_a_stream_whose_version_is_gone_is_refused_at_once():
    world = mixed_world()
    first = begin_at(world.daemon(3), "v1")
    del world.engines["e1"], world.engines["e2"]
    world.run(2.0)
    stream = world.daemon(0).call("b", 2, first)
    world.run(ASKING_SECONDS)
    assert stream.reply.refusal == NO_ENGINE_OF_VERSION


def test_a_stream_that_began_before_the_second_version_came_is_taken_up():
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    stream = world.daemon(3).call("a")
    stream.send_events(2)
    assert world.messages() == 0
    world.add_engine("f1", "v2")
    world.run(0.4 + 0.25 + 0.1)
    world.kill(world.daemon(3))
    world.run(SETTLING_SECONDS)
    resumed = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert resumed.version == "v1"


@pytest.mark.parametrize("fault", ["killed", "frozen", "cut", "replaced"])
def test_nothing_is_sent_or_held_while_one_version_serves(fault):
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    for number in range(20):
        world.daemon(number % 12).call(f"a{number}").send_events(2)
    lose(world, fault, world.daemon(3))
    stream = world.daemon(0).call("b", 2, "a3")
    world.run(STORE_SECONDS + 0.001)
    assert stream.version == "v1"
    assert world.store_reads == 1
    assert world.messages() == 0
    assert all(len(daemon.origins._held) == 0 for daemon in world.daemons.values())


def test_a_daemon_that_has_just_started_asks_peers_which_version_served():
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    world.daemon(3).call("a").send_events(2)
    world.replace(world.daemon(5))
    world.kill(world.daemon(3))
    world.run(0.5)
    stream = world.daemon(5).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert stream.version == "v1"


def test_a_daemon_that_is_cut_from_the_store_does_not_guess_the_version():
    """It still knows one version, and another daemon has begun the stream at a new one."""
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    cut_off = world.daemon(0)
    cut_off.follows_store = False
    world.add_engine("f1", "v2")
    world.run(SETTLING_SECONDS + 0.5)
    first = begin_at(world.daemon(3), "v2")
    world.run(0.1)
    stream = cut_off.call("b", 2, first)
    world.run(ASKING_SECONDS)
    assert not stream.sent
    assert stream.reply.refusal is not None


def test_streams_are_recorded_once_the_store_is_away_for_all():
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    world.is_store_up = False
    world.run(5.0)
    world.daemon(3).call("a").send_events(2)
    world.run(0.1)
    world.kill(world.daemon(3))
    stream = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert stream.version == "v1"


def test_two_streams_of_the_same_id_are_not_taken_for_each_other():
    """Callers choose the ids of their attempts."""
    world = mixed_world()
    for version in ("v1", "v2"):
        daemon = world.daemon(3 if version == "v1" else 4)
        stream = daemon.call("a")
        while stream.version != version:
            stream = daemon.call("a")
        stream.send_events(2)
    world.run(0.1)
    resumed = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert resumed.reply.refusal == ORIGIN_UNKNOWN


def test_a_stream_that_began_before_its_route_changed_is_taken_up():
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    world.daemon(3).call("a").send_events(2)
    for daemon in world.daemons.values():
        daemon.route_since = world.clock.seconds()
    world.run(0.5)
    world.kill(world.daemon(3))
    stream = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert stream.version == "v1"


def test_a_stream_that_began_at_an_engine_that_is_not_listed_any_more_is_not_joined():
    """Its daemon was cut from the store, and the release ended meanwhile."""
    world = mixed_world()
    cut_off = world.daemon(3)
    cut_off.follows_store = False
    del world.engines["e1"], world.engines["e2"]
    world.run(STEADY_SECONDS)
    assert world.daemon(0).versions.may_be_certain(SERVICE, world.clock.seconds())
    first = begin_at(cut_off, "v1")
    world.run(0.1)
    world.kill(cut_off)
    stream = world.daemon(0).call("b", 2, first)
    world.run(ASKING_SECONDS)
    assert stream.reply.refusal == NO_ENGINE_OF_VERSION


def test_a_route_that_got_another_service_proves_no_version():
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    world.daemon(3).call("a").send_events(2)
    for daemon in world.daemons.values():
        daemon.route_since = world.clock.seconds()
    world.kill(world.daemon(3))
    stream = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert stream.reply.refusal == ORIGIN_UNKNOWN


@pytest.mark.parametrize("daemons", [12, 100])
def test_the_messages_of_a_stream_do_not_grow_with_the_daemons(daemons):
    world = OriginWorld(daemons, **MIXED)
    world.run(1.0)
    before = world.messages()
    first = begin_at(world.daemon(3), "v1", "only")
    streams = 1
    world.run(0.1)
    assert world.messages() - before == HOLDERS * streams
    before = world.messages()
    world.daemon(0).call("b", 2, first)
    world.run(ASKING_SECONDS)
    assert world.messages() - before <= 2 * ASKED + HOLDERS


def test_a_stream_that_is_resumed_again_names_its_first_attempt():
    world = mixed_world()
    first = begin_at(world.daemon(3), "v2")
    world.run(0.1)
    world.kill(world.daemon(3))
    second = world.daemon(4).call("b", 2, first)
    world.run(ASKING_SECONDS)
    second.send_events(2)
    world.run(0.1)
    world.kill(world.daemon(4))
    third = world.daemon(5).call("c", 4, first)
    world.run(ASKING_SECONDS)
    assert third.version == "v2"


def test_records_end_with_the_time_in_which_streams_are_resumed():
    world = mixed_world()
    begin_at(world.daemon(3), "v1")
    world.run(0.1)
    assert any(len(daemon.origins._held) for daemon in world.daemons.values())
    world.run(3.0 + world.daemon(0).versions.resumable_seconds + 0.5)
    assert not any(len(daemon.origins._held) for daemon in world.daemons.values())


def test_two_streams_of_one_id_at_one_daemon_are_not_taken_for_each_other():
    world = mixed_world()
    daemon = world.daemon(3)
    for version in ("v1", "v2"):
        stream = daemon.call("a")
        while stream.version != version:
            stream = daemon.call("a")
        stream.send_events(2)
        world.run(0.1)
    world.kill(daemon)
    resumed = world.daemon(0).call("b", 2, "a")
    world.run(ASKING_SECONDS)
    assert resumed.reply.refusal == ORIGIN_UNKNOWN


def test_an_idle_list_is_confirmed_before_peers_are_asked():
    """A long poll that finds no change confirms only the time at which it was sent."""
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS + 1.9)
    world.daemon(3).call("a").send_events(2)
    world.kill(world.daemon(3))
    streams = [world.daemon(0).call(f"b{number}", 2, "a") for number in range(10)]
    world.run(STORE_SECONDS + 0.001)
    assert [stream.version for stream in streams] == ["v1"] * 10
    assert world.store_reads <= 1
    assert world.messages() == 0


def test_no_daemon_is_uncertain_of_an_idle_list():
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS)
    for step in range(80):
        world.run(0.1)
        stream = world.daemon(step % 12).call(f"b{step}", 2, "a")
        world.run(STORE_SECONDS + 0.001)
        assert stream.version == "v1"
    assert world.messages() == 0


def test_a_store_that_does_not_answer_delays_a_stream_by_a_moment_only():
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS + 1.0)
    world.is_store_up = False
    world.run(SETTLING_SECONDS)
    stream = world.daemon(0).call("b", 2, "a")
    world.run(CONFIRM_SECONDS + ASK_SECONDS + CONFIRM_SECONDS + 0.01)
    assert stream.reply.end == "refused"
