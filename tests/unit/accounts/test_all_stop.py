"""Daemons that stop together store the turns of the calls that they still serve."""

import pytest

from notcharch.events.journal import GroupRejoined
from tests.unit.accounts.stop_scene import StopScene
from tests.unit.accounts.world import STEP_SECONDS
from tests.unit.events.capture import captured, of

DAEMONS = 12
STORE_SECONDS = 1.0
"""Within which a turn is stored, also while partitions move."""
MANY = 8
ASKED_SECONDS = 0.1
"""A few exchanges between daemons and with the log service."""
SEVERAL_QUESTIONS_SECONDS = 1.5
"""Each question reaches three members, of which most stop as well."""
STREAM_SECONDS = (0.5, 1.5, 2.9, 4.5, 5.8)


def scene_with_streams(daemons: int = DAEMONS, seed: int = 1) -> StopScene:
    """Return a scene in which each daemon has streams of several lengths."""
    scene = StopScene(daemons, seed)
    began = scene.now
    for gateway in range(daemons):
        for number, seconds in enumerate(STREAM_SECONDS):
            program = f"p-{gateway}-{number}"
            stream = scene.stream(gateway, program, 0.0)
            stream.ends_at = seconds
    started = scene.now
    for stream in scene.streams:
        stream.ends_at += started
    assert started - began < 5.0
    return scene


@pytest.mark.parametrize("gap_seconds", [0.0, 0.02, 0.3])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_turns_are_stored_when_all_daemons_stop(gap_seconds, seed):
    """Guards against calls that find no owner, as all have left the group at once."""
    scene = scene_with_streams(seed=seed)
    for gateway in range(DAEMONS):
        scene.at(gateway * gap_seconds, lambda gateway=gateway: scene.stop(gateway))
    scene.run(DAEMONS * gap_seconds + 9.0)
    assert scene.late_streams(STORE_SECONDS) == []


@pytest.mark.parametrize("gap_seconds", [0.0, 0.3])
@pytest.mark.parametrize("stopped", [1, 2, 8])
def test_turns_are_stored_when_some_daemons_stop(stopped, gap_seconds):
    """Guards against calls that lose their owner when a part of the daemons stops."""
    scene = scene_with_streams()
    for gateway in range(stopped):
        scene.at(gateway * gap_seconds, lambda gateway=gateway: scene.stop(gateway))
    scene.run(stopped * gap_seconds + 9.0)
    assert scene.late_streams(STORE_SECONDS) == []


@pytest.mark.parametrize("gap_seconds", [0.0, 0.3, 1.0])
def test_turns_are_stored_when_all_daemons_are_restarted(gap_seconds):
    """Guards against calls without an owner while new processes take partitions over."""
    scene = scene_with_streams()
    scene.restarts = True
    for gateway in range(DAEMONS):
        scene.at(gateway * gap_seconds, lambda gateway=gateway: scene.stop(gateway))
    scene.run(DAEMONS * gap_seconds + 9.0)
    assert scene.late_streams(STORE_SECONDS) == []


def test_a_single_daemon_stores_the_turns_of_its_last_calls():
    """Guards against a last owner that leaves while its own calls run."""
    scene = scene_with_streams(daemons=1)
    scene.stop(0)
    scene.run(9.0)
    assert scene.late_streams(STORE_SECONDS) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_that_come_while_all_daemons_stop_are_admitted(seed):
    """Guards against refusals of calls that a stopping daemon's port still takes."""
    scene = scene_with_streams(seed=seed)
    for gateway in range(DAEMONS):
        scene.stop(gateway)
    for gateway in range(DAEMONS):
        scene.at(0.2 * gateway, lambda gateway=gateway: scene.offer(gateway))
    scene.run(9.0)
    assert len(scene.streams) == DAEMONS * (len(STREAM_SECONDS) + 1)
    assert scene.late_streams(STORE_SECONDS) == []


@pytest.mark.parametrize("stopped", [1, 2, 8])
def test_partitions_move_at_once_while_other_daemons_stay(stopped):
    """Guards against a slower handover: one question before it takes milliseconds."""
    scene = scene_with_streams()
    names = scene.world.names[:stopped]
    for gateway in range(stopped):
        scene.stop(gateway)
    scene.run(ASKED_SECONDS if stopped < MANY else SEVERAL_QUESTIONS_SECONDS)
    owners = {scene.world.owner(f"q{number}") for number in range(100)}
    assert not owners & set(names)
    assert owners


@pytest.mark.parametrize("gap_seconds", [0.0, 0.3])
def test_budgets_stay_exact_when_all_daemons_are_restarted(gap_seconds):
    """Guards against usage that is lost or doubted as owners release in turn."""
    scene = scene_with_streams()
    scene.restarts = True
    for gateway in range(DAEMONS):
        scene.at(gateway * gap_seconds, lambda gateway=gateway: scene.stop(gateway))
    scene.run(DAEMONS * gap_seconds + 12.0)
    world = scene.world
    for gateway in range(DAEMONS):
        # 10 of 1000 tokens are used by the stream; nine calls of 110 fit exactly.
        for _ in range(9):
            program = f"p-{gateway}-4"
            call = world.call(program, token_limit=110)
            listener = world.wait_for_decision(call, (gateway + 1) % DAEMONS)
            assert listener.ticket is not None, listener.refusal
            world.run(STEP_SECONDS)
        refused = world.wait_for_decision(world.call(program, token_limit=110), 0)
        assert refused.refusal is not None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_first_daemon_that_left_owns_partitions_again_for_its_last_calls(seed):
    """Guards against calls without an owner: the last daemon to stop has none itself."""
    scene = StopScene(DAEMONS, seed)
    for number, seconds in enumerate(STREAM_SECONDS):
        scene.stream(0, f"p-{number}", seconds)
    with captured() as messages:
        for gateway in range(DAEMONS):
            scene.at(gateway * 0.05, lambda gateway=gateway: scene.stop(gateway))
        scene.run(9.0)
    assert scene.late_streams(STORE_SECONDS) == []
    assert of(messages, GroupRejoined)
