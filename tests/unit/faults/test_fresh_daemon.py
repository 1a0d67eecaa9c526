"""A daemon that has just started takes no engines before it knows its region.

Knowing only itself it would name itself for every engine, claim them all and give
them up a moment later; each steward that it superseded would pause for seconds.
"""

import pytest

from notcharch.membership.swim import BOOTSTRAP_TIMEOUT_SECONDS
from tests.unit.engines.region import Region
from tests.virtual_region.membership import MembershipRegion, daemon_name

ENGINE = "e1"


def test_a_restarted_daemon_knows_its_region_after_an_exchange():
    region = MembershipRegion(6)
    region.run(10)
    victim = daemon_name(2)
    region.crash(victim)
    region.run(3)
    region.restart(victim)
    fresh = region.services[victim]
    assert not fresh.knows_region()
    region.run(BOOTSTRAP_TIMEOUT_SECONDS / 2)
    assert fresh.knows_region()
    assert len(fresh.live_members()) == 6


def test_a_daemon_that_is_not_listed_beside_others_yet_does_not_feel_alone():
    region = MembershipRegion(1)
    region.run(1)
    assert not region.services[daemon_name(0)].knows_region()


@pytest.mark.parametrize("count", [1, 2])
def test_a_daemon_that_is_alone_knows_it_in_the_end(count):
    region = MembershipRegion(count)
    for number in range(1, count):
        region.crash(daemon_name(number))
    region.run(BOOTSTRAP_TIMEOUT_SECONDS + 2)
    assert region.services[daemon_name(0)].knows_region()


def test_no_engine_is_claimed_before_the_region_is_known():
    region = Region(daemons=2, engines=1)
    steward, fresh = region.nodes["d1"], region.nodes["d2"]
    before = region.partitions.states[0].snapshot()
    fresh.knows_region = False
    region.believed_stewards["d2"] = {ENGINE: "d2"}
    fresh.stewards.refresh()
    region.run(3.0)
    assert region.partitions.states[0].snapshot() == before
    assert steward.stewards.is_steward_of(ENGINE)
    assert not fresh.stewards.is_steward_of(ENGINE)
    fresh.knows_region = True
    region.run(3.0)
    assert fresh.stewards.is_steward_of(ENGINE)


def test_an_engine_that_is_held_stays_when_doubt_begins():
    region = Region(daemons=1, engines=1)
    region.nodes["d1"].knows_region = False
    region.run(3.0)
    assert region.nodes["d1"].stewards.is_steward_of(ENGINE)


@pytest.mark.parametrize("count", [2, 3, 5])
def test_daemons_that_start_together_know_their_region_soon(count):
    region = MembershipRegion(count)
    region.run(BOOTSTRAP_TIMEOUT_SECONDS / 2)
    assert all(service.knows_region() for service in region.services.values())
