"""Zone drains in a simulated region on virtual time."""

from twisted.internet.defer import Deferred

from notcharch.clients.ports import MachineState
from notcharch.table.draft import ChangesDraft, ChangeZoneDrain
from notcharch.table.publisher import PublishRequest
from tests.stateful.region.world import RecordedRegion

PUBLISH_SECONDS = 10.0
IN_FORCE_SECONDS = 8.0


def publish(region, zone, *, is_drained):
    core = region.running_cores()[0]
    request = PublishRequest(
        ChangesDraft((ChangeZoneDrain(zone, is_drained),)), core.table.version, "o"
    )
    publishing = core.publisher.publish(request, PUBLISH_SECONDS)
    region.wait_for(Deferred.fromCoroutine(publishing), PUBLISH_SECONDS).unwrap()


def zones_in_use(region):
    """Return, for each daemon, the zones of the engines that receive new work."""
    return [
        {
            machine.zone
            for machine in core.directory.all_engines()
            if machine.state is MachineState.LIVE
        }
        for core in region.running_cores()
    ]


def test_a_drain_is_in_force_at_all_daemons_and_is_taken_back():
    region = RecordedRegion(seed=3)
    zones = zones_in_use(region)[0]
    drained = sorted(zones)[0]
    publish(region, drained, is_drained=True)
    assert region.run_until(
        lambda: all(drained not in active for active in zones_in_use(region)),
        IN_FORCE_SECONDS,
    )
    publish(region, drained, is_drained=False)
    assert region.run_until(
        lambda: zones_in_use(region) == [zones] * len(region.running_cores()),
        IN_FORCE_SECONDS,
    )


def test_a_daemon_that_starts_during_a_drain_gives_the_zone_nothing():
    region = RecordedRegion(seed=3)
    drained = sorted(zones_in_use(region)[0])[0]
    publish(region, drained, is_drained=True)
    region.advance(IN_FORCE_SECONDS)
    name = region.names[-1]
    region.crash(name)
    region.advance(1.0)
    core = region.start(name)
    assert region.run_until(lambda: core.table.version > 0, IN_FORCE_SECONDS)
    for _ in range(40):
        region.advance(0.1)
        assert all(drained not in active for active in zones_in_use(region))
