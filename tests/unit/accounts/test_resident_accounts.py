"""Tests of accounts and turns of programs that are restricted to some regions."""

import pytest

from notcharch.accounts.group_network import GroupNetwork
from notcharch.accounts.messages import KeepTurn
from notcharch.accounts.resident_accounts import account_region
from notcharch.calls.eligibility import Cause
from notcharch.calls.interface import UNKNOWN_TURN
from notcharch.journal.owner_names import parse_owner_name
from notcharch.values.identifiers import DaemonName
from tests.unit.accounts.steps import EVENT, assert_unsure, spend
from tests.unit.accounts.world import World

REGIONS = ("north", "south")
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
BOTH = NORTH | SOUTH


def world_of_two() -> World:
    """Return six daemons in alternating regions; the table has residence."""
    world = World(daemons=6, regions=REGIONS)
    for service in world.services.values():
        service.use_regions(REGIONS)
    world.run(3.0)
    return world


def owners_of(world: World, region: str) -> set[str]:
    """Return the regions of the daemons that own a region's accounts."""
    rows = world.log.groups.owners(f"account-owners-{region}")
    daemons = {parse_owner_name(row.member).daemon for row in rows}
    return {world.region_of(name) for name in daemons}


def test_the_accounts_of_a_region_are_owned_there():
    world = world_of_two()
    assert owners_of(world, "north") == {"north"}
    assert owners_of(world, "south") == {"south"}


def test_without_residence_no_region_has_a_group():
    world = World(daemons=2, regions=REGIONS)
    assert world.services[world.names[0]].regional_groups == {}
    assert world.wait_for_decision(world.call("p")).ticket is not None


@pytest.mark.parametrize("regions", [NORTH, SOUTH, BOTH])
@pytest.mark.parametrize("at", [0, 1])
def test_a_kept_turn_is_sent_to_machines_of_its_regions_only(regions, at, monkeypatch):
    """The daemon that received the call has the turn regardless of its region."""
    world = world_of_two()
    received: list[DaemonName] = []
    request = GroupNetwork.request

    def record_request(self, destination, message, timeout_seconds):
        if isinstance(message, KeepTurn):
            received.append(destination)
        return request(self, destination, message, timeout_seconds)

    monkeypatch.setattr(GroupNetwork, "request", record_request)
    first = world.call("p", regions=regions)
    assert world.store_turn(first, EVENT, at).is_durable
    second = world.call("p", previous=first.id, regions=regions, body=b"more")
    again = (at + 2) % 6
    assert (
        world.wait_for_decision(second, again, stores_turns=True).body
        == b"inhello\nmore"
    )
    assert received
    assert {world.region_of(name) for name in received} <= regions


def test_a_program_is_found_whichever_region_it_enters_by():
    world = world_of_two()
    first = world.call("p", regions=BOTH)
    world.store_turn(first, EVENT, at=0)
    second = world.call("p", previous=first.id, regions=BOTH, body=b"more")
    assert (
        world.wait_for_decision(second, 1, stores_turns=True).body == b"inhello\nmore"
    )


def test_a_program_has_one_budget_in_all_regions():
    world = world_of_two()
    call = world.call
    world.call = lambda *names, **fields: call(*names, regions=BOTH, **fields)
    spent, refusal = spend(world, "p", 1000, 100, at=lambda turn: turn % 6)
    assert refusal.status == 402
    assert spent <= 1000


def test_turns_outlive_all_daemons_of_a_region():
    world = world_of_two()
    first = world.call("p", regions=NORTH)
    world.store_turn(first, EVENT)
    for name in world.names[::2]:
        world.crash(name, silent=True)
    world.run(2.0)
    second = world.call("p", previous=first.id, regions=NORTH)
    assert_unsure(world.wait_for_decision(second, 1, stores_turns=True).refusal)
    for name in world.names[::2]:
        world.start(name)
        world.services[name].use_regions(REGIONS)
    world.run(4.0)
    third = world.call("p", previous=first.id, regions=NORTH, body=b"more")
    assert world.wait_for_decision(third, 1, stores_turns=True).body == b"inhello\nmore"


def test_a_call_without_a_region_that_exists_is_refused_at_once():
    world = world_of_two()
    listener = world.request_admission(world.call("p", regions=frozenset({"east"})))
    assert listener.refusal.status == 503
    assert listener.refusal.reason == Cause.NO_REGION.value
    listener = world.request_admission(world.call("p", regions=frozenset()))
    assert listener.refusal.reason == Cause.NO_REGION.value


@pytest.mark.parametrize(
    ("before", "after"), [(None, NORTH), (NORTH, SOUTH), (NORTH, None), (BOTH, NORTH)]
)
def test_a_turn_is_found_after_the_table_changed_its_regions(before, after):
    world = world_of_two()
    first = world.call("p", regions=before)
    world.store_turn(first, EVENT)
    second = world.call("p", previous=first.id, regions=after, body=b"more")
    assert (
        world.wait_for_decision(second, 1, stores_turns=True).body == b"inhello\nmore"
    )


def test_a_turn_is_unknown_only_when_every_region_is_certain():
    world = world_of_two()
    call = world.call("p", previous="never", regions=NORTH)
    assert world.wait_for_decision(call, stores_turns=True).refusal == UNKNOWN_TURN
    for name in world.names[1::2]:
        world.crash(name, silent=True)
    call = world.call("p", previous="never", regions=NORTH)
    assert_unsure(world.wait_for_decision(call, stores_turns=True).refusal)


def test_programs_are_spread_over_their_regions():
    regions = [account_region(f"p{n}", BOTH) for n in range(200)]
    assert 60 < regions.count("north") < 140
    assert account_region("p", NORTH) == "north"


def test_a_daemon_that_stops_takes_no_resident_call_to_other_regions():
    world = World(daemons=2, regions=REGIONS)
    world.services[world.names[0]].leave()
    listener = world.wait_for_decision(world.call("p", regions=NORTH))
    assert_unsure(listener.refusal)
