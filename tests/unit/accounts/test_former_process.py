"""A process that starts while the former one of its machine still drains.

The former keeps its connections to peers for up to 8 s: its calls in flight need the owners
of their accounts. The new one joins the group meanwhile, at another port.
"""

import pytest
from result import Ok

from notcharch.accounts.service import GROUP, LIMITS
from notcharch.journal.owner_names import parse_owner_name
from notcharch.platform.listeners import daemon_name
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.values.identifiers import DaemonName, EngineName
from notcharch.wire.messages.engines import Acknowledged, DrainEngine
from tests.unit.accounts.refusable_log import RefusableLog
from tests.unit.accounts.world import World
from tests.unit.wire.worlds import TcpWorld, value_of

FIRST_PORT = 7380
MACHINE = "d0"
FORMER = daemon_name(MACHINE, FIRST_PORT, FIRST_PORT)
NEW = daemon_name(MACHINE, FIRST_PORT + 1, FIRST_PORT)
PEER = DaemonName("d1")
DRAIN = DrainEngine(EngineName("engine-1"), True)
BUDGET = 10_000
STORED_TEXT = b"data: out\n\n"


async def acknowledge(_sender, _message):
    return Acknowledged()


def overlapping(new_name):
    """Return a world in which a peer first knows the former process, then the new one."""
    world = TcpWorld(LIMITS)
    networks = [world.start(FORMER, 1), world.start(PEER, 1)]
    world.run(0.5)
    networks[0].request(PEER, DRAIN, 0.5)
    world.run(0.5)
    networks.append(world.start(new_name, 2))
    for network in networks:
        network.on_request(DrainEngine, acknowledge)
    return world, networks


def reached(world, network, name) -> bool:
    asked = network.request(name, DRAIN, 0.5)
    world.run(0.6)
    return value_of(asked) == Ok(Acknowledged())


def test_all_three_reach_one_another():
    world, (former, peer, new) = overlapping(NEW)
    for _ in range(3):
        assert reached(world, former, PEER)
        assert reached(world, new, PEER)
        assert reached(world, former, NEW)
        assert reached(world, new, FORMER)
        assert reached(world, peer, FORMER)
        assert reached(world, peer, NEW)


def test_under_one_name_the_former_process_would_reach_nobody():
    """The fault that the name of a later port prevents."""
    world, (former, _peer, new) = overlapping(FORMER)
    assert reached(world, new, PEER)
    assert not reached(world, former, PEER)


def start_new_process(world: World) -> None:
    world.names.append(NEW)
    world.suspicions[NEW] = SharedSuspicions()
    world.logs[NEW] = RefusableLog(world.log, world.clock)
    world.incarnations[NEW] = world.incarnations[FORMER]
    world.start(NEW)


def owners(world: World) -> set[str]:
    rows = world.log.groups.owners(GROUP)
    return {parse_owner_name(row.member).daemon for row in rows}


def test_the_former_process_leaves_and_the_new_one_stays_an_owner():
    world = World(daemons=2)
    world.services[FORMER].leave()
    start_new_process(world)
    world.run(2.0)
    assert owners(world) == {PEER, NEW}
    world.crash(FORMER)
    for _ in range(100):
        world.run(0.1)
        assert owners(world) == {PEER, NEW}


def test_a_late_leave_of_the_former_process_does_not_remove_the_new_one():
    """Guards against one member of the group for two processes."""
    world = World(daemons=2)
    start_new_process(world)
    world.run(2.0)
    world.services[FORMER].leave()
    for _ in range(100):
        world.run(0.1)
        assert NEW in owners(world)
    assert owners(world) == {PEER, NEW}


@pytest.mark.parametrize("number", range(8))
def test_calls_of_the_former_process_end_whole_beside_the_new_one(number):
    """Guards against turns that can't be stored as their owner is the new process."""
    world = World(daemons=2)
    call = world.call(f"p{number}", budget=BUDGET)
    listener = world.wait_for_decision(call, 0, stores_turns=True)
    assert listener.ticket is not None
    world.services[FORMER].leave()
    start_new_process(world)
    world.run(3.0)
    listener.ticket.completed(STORED_TEXT, 1, listener)
    world.run(2.0)
    assert listener.is_durable
    world.crash(FORMER)
    continued = world.call(f"p{number}", budget=BUDGET, previous=call.id)
    for at in (1, 2):
        found = world.wait_for_decision(continued, at, stores_turns=True)
        assert found.ticket is not None, found.refusal
        found.ticket.never_ran()


def test_programs_of_both_owners_are_among_the_calls():
    """Guards against a test above that never meets the new process as the owner."""
    world = World(daemons=2)
    world.services[FORMER].leave()
    start_new_process(world)
    world.run(3.0)
    assert {world.owner(f"p{number}") for number in range(8)} == {PEER, NEW}
