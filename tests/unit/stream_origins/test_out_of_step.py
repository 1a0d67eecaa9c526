"""A daemon that is out of step while a new version joins takes up no stream of it elsewhere."""

import pytest

from notcharch.values.identifiers import DaemonName
from tests.unit.stream_origins.test_resumed_streams import (
    ASKING_SECONDS,
    STEADY_SECONDS,
)
from tests.unit.stream_origins.world import OriginWorld

OUT_OF_STEP = 0


def put_out_of_step(world: OriginWorld, faults: str) -> None:
    """Keep a daemon from its peers, from the store, or from running."""
    daemon = world.daemon(OUT_OF_STEP)
    name = DaemonName(daemon.name)
    if "cut" in faults:
        others = [DaemonName(other) for other in world.members if other != daemon.name]
        world.fabric.cut([name], others)
    if "without the store" in faults:
        daemon.follows_store = False
    if "frozen" in faults:
        world.freeze(daemon)


def put_back(world: OriginWorld) -> None:
    name = DaemonName(world.daemon(OUT_OF_STEP).name)
    world.fabric.heal()
    world.fabric.resume(name)


@pytest.mark.parametrize(
    ("leaves", "seconds"),
    [
        (True, 0.1),
        (True, 0.5),
        (True, 1.0),
        (True, 1.9),
        (True, 2.5),
        (False, 2.5),
        (False, 3.0),
        (False, 4.0),
    ],
)
@pytest.mark.parametrize(
    "faults", ["cut", "without the store", "frozen", "cut, without the store"]
)
def test_a_stream_of_a_new_version_is_not_taken_up_at_the_old_one(
    faults, leaves, seconds
):
    """`leaves`: the engines of the old version go at once; streams begin at the new one."""
    world = OriginWorld(e1="v1", e2="v1")
    world.run(STEADY_SECONDS + 0.3)
    world.daemon(OUT_OF_STEP).call("earlier", 2, "unknown")
    world.run(ASKING_SECONDS)
    put_out_of_step(world, faults)
    if leaves:
        del world.engines["e1"], world.engines["e2"]
    world.add_engine("f1", "v2")
    world.add_engine("f2", "v2")
    began = None
    for step in range(round(seconds / 0.1)):
        world.run(0.1)
        stream = world.daemon(3).call(f"a{step}")
        if stream.version == "v2":
            stream.send_events(2)
            began = began or f"a{step}"
    put_back(world)
    assert began is not None
    taken_up = world.daemon(OUT_OF_STEP).call("b", 2, began)
    world.run(ASKING_SECONDS + 0.2)
    assert taken_up.version in ("", "v2")
