"""Membership of whole regions on the memory fabric, under faults."""

import pytest

from notcharch.platform.ports import MachineState
from notcharch.values.identifiers import ZoneName
from notcharch.wire.memory_faults import LinkFaults
from tests.unit.membership.region import Region, daemon_name


@pytest.mark.parametrize("count", [1, 2, 3, 20])
def test_all_find_one_another(count: int):
    region = Region(count, encode=True)
    region.run(10)
    assert region.converged()


def test_crashed_member_is_detected_and_its_restart_is_a_new_member():
    region = Region(9)
    region.run(10)
    victim = daemon_name(4)
    old = region.fabric.daemon(victim).member
    region.crash(victim)
    region.run(15)
    assert region.converged()
    watcher = region.services[daemon_name(0)]
    assert not watcher.is_certainly_dead(old)
    region.restart(victim)
    region.publish()
    region.run(10)
    assert region.converged()
    assert watcher.is_certainly_dead(old)
    assert not watcher.is_certainly_dead(region.fabric.daemon(victim).member)


def test_cut_zone_is_dropped_and_returns_without_a_restart():
    region = Region(9)
    region.run(10)
    cut = region.fabric.names_in(ZoneName("zone-a"))
    rest = [name for name in region.services if name not in cut]
    region.fabric.cut(cut, rest)
    region.run(30)
    assert region.view(rest[0]) == set(rest)
    assert region.view(cut[0]) == set(cut)
    region.fabric.heal()
    region.run(30)
    assert region.converged()


def test_loss_kills_nobody():
    region = Region(12)
    region.run(10)
    faults = LinkFaults(loss=0.1, duplication=0.1, reorder=0.2, delay_max=0.05)
    region.fabric.plan.set_default(faults)
    for _ in range(60):
        region.run(1)
        assert region.converged()


def test_gone_machine_is_certainly_dead_once_it_answers_no_more():
    region = Region(6)
    region.run(10)
    victim = daemon_name(2)
    member = region.fabric.daemon(victim).member
    watcher = region.services[daemon_name(0)]
    gone = region.machine(victim, MachineState.GONE)
    region.publish(gone)
    region.run(10)
    assert not watcher.is_certainly_dead(member)
    assert region.converged()
    region.crash(victim)
    region.run(15)
    assert watcher.is_certainly_dead(member)
    assert region.converged()
