"""The exchange of loads under each failure of the table in docs/design/hard-load.md.

Every test also bounds what the failure costs: no dispatch waits longer than 10 ms, and
no engine gets much more load than the others.
"""

import pytest

from notcharch.journal.known_daemons import KnownDaemons
from notcharch.values.identifiers import DaemonName
from tests.unit.accounts.world import World as AccountsWorld
from tests.unit.engine_load.world import (
    MOST_WAIT_SECONDS,
    SERVICE,
    SLOTS,
    LoadWorld,
)

CALLS_PER_SECOND = 120
"""Half of the slots are taken on the mean: 120 calls of 0.2 s at 12 engines of 4."""
MOST_UNEQUAL = 0.10
"""Share of calls that may meet a full engine while another is at most half full."""
MOST_UNEQUAL_IN_FAILURE = 0.20
"""While one of three trackers is missing; it is 0.13 without any exchange."""
MOST_EXTRA_CALLS = SLOTS
"""Calls that an engine may run beyond its slots, when half of all slots are taken."""


def offer(world: LoadWorld, seconds: float, most_unequal: float = MOST_UNEQUAL) -> None:
    """Offer calls, and check the bounds that hold whatever has failed."""
    world.waits.clear()
    world.unequal = world.dispatched = 0
    world.highest = 0
    requests = world.traffic("AskEngineLoads")
    world.offer(seconds, CALLS_PER_SECOND)
    assert world.dispatched > 0.8 * seconds * CALLS_PER_SECOND
    assert max(world.waits) <= MOST_WAIT_SECONDS
    assert world.unequal / world.dispatched <= most_unequal
    assert world.highest <= SLOTS + MOST_EXTRA_CALLS
    assert world.traffic("AskEngineLoads") - requests <= 3 * world.dispatched


def cut(world: LoadWorld, tracker: str) -> None:
    others = [DaemonName(name) for name in world.names if name != tracker]
    world.fabric.cut([DaemonName(tracker)], others)


def view_without(world: LoadWorld, lost: str, names: list[str]) -> None:
    """Let some daemons know the members without one of them."""
    for name in names:
        world.views[name] = tuple(member for member in world.names if member != lost)


@pytest.mark.parametrize("is_silent", [False, True], ids=["closed", "silent"])
def test_tracker_dead(is_silent):
    """A dead tracker must neither delay calls nor hide its engines for long."""
    world = LoadWorld()
    dead = world.trackers()[0]
    asker = world.others()[0]
    lost = world.engines_of(dead)
    world.fabric.crash(DaemonName(dead), silent=is_silent)
    offer(world, 3.0, MOST_UNEQUAL_IN_FAILURE)
    assert not set(world.loads(asker)) & set(lost)
    view_without(world, dead, world.names)
    world.run(1.6)
    for engine in lost:
        elected = world.election(asker).tracker(SERVICE, engine)
        assert elected != dead
        assert engine in world.loads(asker, cached=engine)
    offer(world, 3.0)


def test_tracker_unreachable():
    """A tracker whose messages are lost costs 10 ms, and then one request a second."""
    world = LoadWorld()
    lost, asker = world.trackers()[0], world.others()[0]
    cut(world, lost)
    waits = []
    for _ in range(20):
        dispatch = world.request(asker)
        world.run(0.05)
        waits.append(dispatch.wait_seconds)
    assert max(waits) <= MOST_WAIT_SECONDS
    assert sum(wait > 0.005 for wait in waits) == 3
    offer(world, 2.0, MOST_UNEQUAL_IN_FAILURE)
    world.fabric.heal()
    world.run(3.5)
    found = set(world.loads(asker)) | set(world.loads(asker))
    assert found == set(world.engines)


def test_tracker_paused():
    """After a pause, a tracker has missed notices and must not answer with old counts."""
    world = LoadWorld()
    tracker = world.trackers()[0]
    engine = world.engines_of(tracker)[0]
    sender, asker = world.others()[:2]
    world.pause(tracker)
    world.start_call(sender, engine)
    world.run(0.4)
    offer(world, 1.5, MOST_UNEQUAL_IN_FAILURE)
    world.resume(tracker)
    assert engine not in world.loads(asker, cached=engine)
    world.run(0.85)
    assert engine not in world.loads(asker, cached=engine)
    world.run(0.3)
    assert world.loads(asker, cached=engine)[engine] >= 1
    offer(world, 2.0)


def test_tracker_paused_that_answers_before_its_next_tick():
    """After a pause, requests may be read before the tick that notices it is due."""
    world = LoadWorld(daemons=3, engines=2)
    (tracker,) = world.trackers()
    world.pause(tracker)
    assert set(world.request(tracker).loads) == set(world.engines)
    world.run(2.0)
    assert world.request(tracker).loads == {}


def test_tracker_paused_briefly():
    """A pause shorter than a refresh loses nothing; tracking goes on."""
    world = LoadWorld()
    tracker = world.trackers()[0]
    engine = world.engines_of(tracker)[0]
    world.pause(tracker)
    world.run(0.2)
    world.resume(tracker)
    world.run(0.01)
    assert engine in world.loads(world.others()[0], cached=engine)


def test_tracker_just_started():
    """Counts that are too low would attract all calls."""
    world = LoadWorld()
    tracker = world.trackers()[0]
    engine = world.engines_of(tracker)[0]
    sender, asker = world.others()[:2]
    world.start_call(sender, engine)
    world.run(0.5)
    world.start(tracker)
    offer(world, 0.9, MOST_UNEQUAL_IN_FAILURE)
    assert engine not in world.loads(asker, cached=engine)
    world.run(0.3)
    assert world.loads(asker, cached=engine)[engine] >= 1
    offer(world, 2.0)


def test_tracker_just_elected():
    """A daemon that becomes tracker does not know the calls that already run."""
    world = LoadWorld()
    old = world.trackers()[0]
    engine = world.engines_of(old)[0]
    sender, asker = world.others()[:2]
    world.start_call(sender, engine)
    world.run(0.01)
    view_without(world, old, world.names)
    for _ in range(6):
        assert world.loads(asker, cached=engine)[engine] >= 1
        assert set(world.all_loads()) == set(world.engines)
        offer(world, 0.3)
    newer = world.election(asker).tracker(SERVICE, engine)
    assert newer != old
    world.fabric.crash(DaemonName(old), silent=True)
    assert world.loads(asker, cached=engine)[engine] >= 1


def test_members_change_again_and_again():
    """While machines are replaced, some engines would always have unknown loads."""
    world = LoadWorld()
    asker = world.others()[0]
    left = world.trackers()
    for tracker in left:
        for name in world.names:
            view = world.views[name]
            world.views[name] = tuple(member for member in view if member != tracker)
        offer(world, 0.8)
    world.run(0.3)
    assert set(world.all_loads()) == set(world.engines)
    assert not set(left) & set(world.election(asker).trackers(SERVICE))
    offer(world, 2.0)


def test_two_trackers_for_one_engine():
    """With two views of the members, each tracker knows only a part of the calls."""
    world = LoadWorld()
    doubled = world.trackers()[0]
    engine = world.engines_of(doubled)[0]
    half = [name for name in world.others() if name != doubled][::2]
    view_without(world, doubled, half)
    world.run(1.3)
    first = half[0]
    second = next(name for name in world.others() if name not in half)
    for _ in range(3):
        world.start_call(first, engine)
    world.start_call(second, engine)
    world.run(0.01)
    assert world.loads(first, cached=engine)[engine] >= 3
    assert world.loads(second, cached=engine)[engine] >= 1
    offer(world, 3.0, MOST_UNEQUAL_IN_FAILURE)
    view_without(world, doubled, world.names)
    world.run(2.0)
    assert world.loads(first, cached=engine)[engine] == world.busy[engine] == 4
    assert world.loads(second, cached=engine)[engine] == 4
    offer(world, 2.0)


def test_a_member_that_is_no_tracker_answers_what_it_was_told():
    """A daemon with another view of the members still gets whole counts."""
    world = LoadWorld()
    old = world.trackers()[0]
    engine = world.engines_of(old)[0]
    sender, asker = world.others()[:2]
    view_without(world, old, [old])
    world.start_call(sender, engine)
    world.run(2.0)
    assert world.loads(asker, cached=engine)[engine] == 1


@pytest.mark.parametrize("is_silent", [False, True], ids=["closed", "silent"])
def test_daemon_dead_with_calls_in_flight(is_silent):
    """Calls of a dead daemon would keep an engine loaded for ever."""
    world = LoadWorld()
    dying, asker = world.others()[:2]
    for _ in range(3):
        world.start_call(dying, "e001")
    world.run(0.8)
    world.fabric.crash(DaemonName(dying), silent=is_silent)
    world.run(0.5)
    assert world.loads(asker, cached="e001")["e001"] == 3
    world.run(1.0)
    assert world.loads(asker, cached="e001")["e001"] == 0
    world.busy["e001"] = 0
    offer(world, 2.0)


def test_daemon_restarted():
    """The calls of the process before must not count beside those of the new one."""
    world = LoadWorld()
    restarted, asker = world.others()[:2]
    for _ in range(3):
        world.start_call(restarted, "e001")
    world.start_call(restarted, "e002")
    world.run(0.8)
    world.start(restarted)
    world.start_call(restarted, "e001")
    world.run(0.01)
    assert world.loads(asker, cached="e001")["e001"] == 1
    world.run(1.5)
    assert world.loads(asker, cached="e001")["e001"] == 1
    assert world.loads(asker, cached="e002")["e002"] == 0


def test_daemon_drained():
    """A daemon that stops is told off its engines as its calls end, not later."""
    world = LoadWorld()
    draining, asker = world.others()[:2]
    view_without(world, draining, world.names)
    world.start_call(draining, "e001")
    world.run(0.5)
    world.end_call(draining, "e001")
    world.run(0.01)
    world.fabric.crash(DaemonName(draining))
    world.run(1.0)
    assert world.loads(asker, cached="e001")["e001"] == 0


def test_store_down():
    """Members stay as known in an outage of the store, so the trackers do too."""
    accounts = AccountsWorld(daemons=3)
    views = {
        name: KnownDaemons(str(name), service.directory)
        for name, service in accounts.services.items()
    }
    before = {name: tuple(view.members()) for name, view in views.items()}
    for name in accounts.names:
        accounts.refuse(name)
    accounts.run(20.0)
    assert {name: tuple(view.members()) for name, view in views.items()} == before
    assert all(len(members) > 1 for members in before.values())


def test_all_daemons_dead_at_once():
    """All counts are lost; for a second each daemon knows only its own calls."""
    world = LoadWorld()
    world.offer(1.0, CALLS_PER_SECOND)
    for name in world.names:
        world.fabric.crash(DaemonName(name), silent=True)
    world.busy = dict.fromkeys(world.engines, 0)
    for name in world.names:
        world.start(name)
    asker = world.others()[0]
    assert world.loads(asker) == {}
    offer(world, 0.9, most_unequal=0.5)
    world.run(0.3)
    assert set(world.all_loads()) == set(world.engines)
    offer(world, 2.0)
