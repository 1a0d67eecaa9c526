"""Each decision of the exchange leaves its line, but a lasting state only one."""

from notcharch.events import engine_load as events
from notcharch.values.identifiers import DaemonName
from tests.unit.engine_load.world import SERVICE, LoadWorld
from tests.unit.events.capture import captured, of


def test_the_exchange_of_a_service_is_told():
    """An operator has to see whether calls are chosen by shared loads."""
    with captured() as messages:
        world = LoadWorld(daemons=2, engines=1)
        for name in world.names:
            world.request(name)
    lines = of(messages, events.LoadExchangeChanged)
    assert len(lines) == 2
    assert (lines[0]["mode"], lines[0]["slots"], lines[0]["members"]) == (
        "requests",
        1,
        2,
    )


def test_a_mode_that_varies_is_told_rarely():
    """A mean run near the threshold would write a line at each tick."""
    world = LoadWorld(daemons=2, engines=1)
    with captured() as messages:
        for number in range(80):
            world.figures.run_seconds = 0.049 if number % 2 else 0.051
            world.run(0.25)
            world.request(world.names[0])
    assert 1 <= len(of(messages, events.LoadExchangeChanged)) <= 3


def test_a_silent_tracker_is_told_once():
    """Its requests go on once a second for as long as it is a member."""
    world = LoadWorld(daemons=3, engines=2)
    (tracker,) = world.trackers()
    asker = world.others()[0]
    with captured() as messages:
        world.fabric.crash(DaemonName(tracker), silent=True)
        for _ in range(50):
            world.request(asker)
            world.run(0.1)
        world.start(tracker)
        for _ in range(20):
            world.request(asker)
            world.run(0.1)
    (silent,) = of(messages, events.LoadTrackerSilent)
    assert (silent["tracker"], silent["service"]) == (tracker, SERVICE)
    (answers,) = of(messages, events.LoadTrackerAnswers)
    assert answers["tracker"] == tracker


def test_a_restart_of_the_tracking_is_told():
    """For a second the engines of this tracker have no known load."""
    world = LoadWorld(daemons=3, engines=2)
    (tracker,) = world.trackers()
    with captured() as messages:
        world.pause(tracker)
        world.run(2.0)
        world.resume(tracker)
        world.run(0.01)
    (line,) = of(messages, events.LoadTrackingRestarted)
    assert line["engines"] == 2
    assert 2.0 <= line["seconds"] <= 2.3
