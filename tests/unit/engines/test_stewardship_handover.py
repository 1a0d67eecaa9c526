"""Planned handovers of an engine, during which some steward always grants."""

import pytest

from notcharch.placement.partitions import partition_of_engine
from notcharch.values.identifiers import DaemonName, EngineName
from notcharch.wire.messages.stewardship import StewardshipOffered, StewardshipTaken
from tests.unit.engines.calls import admitted, place
from tests.unit.engines.region import PARTITIONS, Region

E1 = EngineName("e1")
MAX_GRANT_SECONDS = 0.1


def lag(region, node, steward):
    """Keep one daemon's view of the steward of e1 outdated."""
    region.believed_stewards[DaemonName(node)] = {E1: DaemonName(steward)}


def notify_views(region):
    """Notify every daemon's listeners of a change of its view."""
    for node in region.nodes.values():
        node.view.changed()


def granting(region):
    """Return the daemon with the recorded claim on e1, which must know of it."""
    partition = partition_of_engine(E1, PARTITIONS)
    claim = region.partitions.states[partition].claim(E1)
    engine_steward = region.nodes[claim.member.daemon].stewards._engine_stewards[E1]
    assert engine_steward.state.epoch == claim.epoch
    return claim.member.daemon


def place_often(region, seconds):
    """Place a call every 0.1 s; return the time that each waited."""
    waits = []
    node = region.nodes["d3"]
    for number in range(int(seconds * 10)):
        began = region.clock.seconds()
        placed = place(node, admitted(f"r1-0-{number:x}"))

        def granted(result, began=began):
            waits.append(region.clock.seconds() - began)
            node.dispatcher.return_grant(result.unwrap(), None, engine_failed=False)

        placed.addCallback(granted)
        region.run(0.1)
    return waits


@pytest.mark.parametrize("lagging", [None, "d1", "d2", "d3"])
def test_an_engine_moves_without_a_pause_whoever_learns_it_last(lagging):
    region = Region(daemons=3, engines=1)
    region.stewards[E1] = DaemonName("d2")
    if lagging is not None:
        lag(region, lagging, "d1")
    notify_views(region)
    waits = place_often(region, 3.0)
    region.believed_stewards.clear()
    notify_views(region)
    waits += place_often(region, 3.0)
    assert len(waits) == 60
    assert max(waits) <= MAX_GRANT_SECONDS
    assert region.nodes["d2"].stewards.is_steward_of(E1)
    assert not region.nodes["d1"].stewards.is_steward_of(E1)


def test_a_steward_that_was_superseded_by_mistake_resumes_when_it_is_offered():
    region = Region(daemons=3, engines=1)
    lag(region, "d2", "d2")
    region.run(2.0)  # d2 claims; d1 is superseded
    region.believed_stewards.clear()
    region.nodes["d2"].stewards.refresh()
    region.run(0.1)
    assert granting(region) == "d1"
    assert not region.nodes["d2"].stewards.is_steward_of(E1)


def test_a_claim_that_is_recorded_after_the_engine_was_given_up_is_offered_back():
    region = Region(daemons=3, engines=1)
    lag(region, "d2", "d2")
    region.nodes["d2"].stewards.refresh()  # the claim is in flight
    region.believed_stewards.clear()
    region.nodes["d2"].stewards.refresh()
    assert not region.nodes["d2"].stewards.is_steward_of(E1)
    region.run(0.1)
    assert granting(region) == "d1"


@pytest.mark.parametrize("dropped", [StewardshipOffered, StewardshipTaken])
def test_lost_notices_only_delay_the_move(dropped):
    region = Region(daemons=3, engines=1)
    for node in region.nodes.values():
        node.network.on_notice(dropped, lambda sender, message: None)
    region.stewards[E1] = DaemonName("d2")
    region.run(4.0)
    assert region.nodes["d2"].stewards.is_steward_of(E1)
    assert not region.nodes["d1"].stewards.is_steward_of(E1)


def test_a_call_makes_a_daemon_take_its_engine_once_it_knows_the_region():
    region = Region(daemons=3, engines=1)
    fresh = region.nodes["d2"]
    fresh.knows_region = False
    region.stewards[E1] = DaemonName("d2")
    notify_views(region)
    region.run(0.1)
    fresh.knows_region = True  # the next refresh is not due yet
    placed = place(fresh)
    region.run(MAX_GRANT_SECONDS)
    assert placed.result.is_ok()
    assert fresh.stewards.is_steward_of(E1)
