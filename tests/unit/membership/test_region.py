"""Tests of the membership of complete regions on the memory fabric, under faults."""

import pytest

from emulator.peers.faults import LinkFaults
from notcharch.clients.ports import MachineState
from notcharch.values.identifiers import ZoneName
from tests.virtual_region.membership import ZONES, MembershipRegion, daemon_name


@pytest.mark.parametrize("count", [1, 2, 3, 20])
def test_all_find_one_another(count: int):
    region = MembershipRegion(count, encode=True)
    region.run(10)
    assert region.differing() == []


def test_crashed_member_is_detected_and_its_restart_is_a_new_member():
    region = MembershipRegion(9)
    region.run(10)
    victim = daemon_name(4)
    old = region.fabric.daemon(victim).member
    region.crash(victim)
    region.run(15)
    assert region.differing() == []
    watcher = region.services[daemon_name(0)]
    assert not watcher.is_certainly_dead(old)
    region.restart(victim)
    region.run(10)
    assert region.differing() == []
    assert watcher.is_certainly_dead(old)
    assert not watcher.is_certainly_dead(region.fabric.daemon(victim).member)


def test_cut_zone_is_dropped_and_returns_without_a_restart():
    region = MembershipRegion(9)
    region.run(10)
    cut = region.fabric.names_in(ZoneName("zone-a"))
    rest = [name for name in region.services if name not in cut]
    region.fabric.cut(cut, rest)
    region.run(30)
    assert region.view(rest[0]) == set(rest)
    assert region.view(cut[0]) == set(cut)
    region.fabric.heal()
    region.run(30)
    assert region.differing() == []


@pytest.mark.parametrize(("count", "loss"), [(12, 0.1), (40, 0.2)])
def test_packet_loss_causes_no_false_deaths(count, loss):
    region = MembershipRegion(count)
    region.run(15)
    assert region.differing() == []
    faults = LinkFaults(loss=loss, duplication=0.1, reorder=0.2, delay_max=0.05)
    region.fabric.plan.set_default(faults)
    for _ in range(60):
        region.run(1)
        assert region.differing() == []


@pytest.mark.parametrize("cut_seconds", [7, 9, 12, 60])
def test_healing_a_partition_causes_no_false_deaths_within_a_side(cut_seconds):
    region = MembershipRegion(30)
    region.run(15)
    inside = set(region.fabric.names_in(ZONES[0]))
    outside = set(region.services) - inside
    region.fabric.cut(inside, outside)
    region.run(cut_seconds)
    region.fabric.heal()
    for _ in range(300):
        region.run(0.1)
        assert all(inside <= region.view(name) for name in inside)
        assert all(outside <= region.view(name) for name in outside)
    assert region.differing() == []


def test_gone_machine_is_certainly_dead_once_it_stops_responding():
    region = MembershipRegion(6)
    region.run(10)
    victim = daemon_name(2)
    member = region.fabric.daemon(victim).member
    watcher = region.services[daemon_name(0)]
    region.list_machine(victim, MachineState.GONE)
    region.run(10)
    assert not watcher.is_certainly_dead(member)
    assert region.differing() == []
    region.crash(victim)
    region.run(15)
    assert watcher.is_certainly_dead(member)
    assert region.differing() == []


def test_a_planned_stop_is_known_at_once_and_certain():
    region = MembershipRegion(9)
    region.run(10)
    leaving_daemon = daemon_name(3)
    member = region.fabric.daemon(leaving_daemon).member
    watcher = region.services[daemon_name(0)]
    region.services[leaving_daemon].announce_leaving()
    region.run(5)
    leaving = {e.member.daemon for e in watcher.live_members() if e.leaving}
    assert leaving == {leaving_daemon}
    region.services[leaving_daemon].stop()
    region.crash(leaving_daemon)
    region.run(3)
    assert region.differing() == []
    assert watcher.is_certainly_dead(member)


def test_the_list_marks_and_unmarks_leaving_members():
    region = MembershipRegion(3)
    region.run(5)
    watcher = region.services[daemon_name(0)]
    notified = []
    watcher.on_change(lambda: notified.append(watcher.live_members()))
    region.list_machine(daemon_name(1), MachineState.LEAVING)
    assert [entry.leaving for entry in notified[-1]] == [False, True, False]
    region.list_machine(daemon_name(1), MachineState.LIVE)
    assert [entry.leaving for entry in notified[-1]] == [False, False, False]
    assert len(notified) == 2


def test_digests_reach_every_member():
    region = MembershipRegion(20)
    region.run(10)
    received = {name: {} for name in region.services}
    for name, service in region.services.items():
        service.on_digest(
            lambda member, key, value, name=name: received[name].update(
                {(member.daemon, key): value}
            )
        )
    region.services[daemon_name(7)].set_digest("table", 42)
    region.run(45)
    for name in set(region.services) - {daemon_name(7)}:
        assert received[name] == {(daemon_name(7), "table"): 42}


def test_malformed_datagrams_are_ignored():
    region = MembershipRegion(3)
    region.run(5)
    stranger = region.fabric.daemon(daemon_name(2))
    for payload in (b"", b"garbage", b'["probe",[],1]', b"\x00" * 2000):
        stranger.datagrams.send(region.fabric.daemon(daemon_name(0)).address, payload)
    region.run(5)
    assert region.differing() == []


def test_a_process_whose_clock_went_back_learns_that_it_is_outdated():
    region = MembershipRegion(3)
    region.run(5)
    region.crash(daemon_name(1))
    region._incarnations -= 1000
    outdated = region.restart(daemon_name(1))
    notified = []
    outdated.on_superseded(lambda: notified.append(True))
    region.run(10)
    assert notified == [True]


def test_a_daemon_that_no_running_process_ever_knew_is_dead_if_it_is_not_listed():
    """Covers a machine that was removed before any running process started."""
    region = MembershipRegion(6)
    region.run(10)
    removed = daemon_name(5)
    member = region.fabric.daemon(removed).member
    region.list_machine(removed, MachineState.GONE)
    for number in range(6):
        region.crash(daemon_name(number))
    for number in range(5):
        region.restart(daemon_name(number))
    watcher = region.services[daemon_name(0)]
    assert not watcher.is_certainly_dead(member)
    region.run(10)
    assert watcher.knows_region()
    assert watcher.is_certainly_dead(member)


def test_a_daemon_that_is_only_unknown_is_not_certainly_dead():
    region = MembershipRegion(6)
    region.run(10)
    absent = daemon_name(5)
    member = region.fabric.daemon(absent).member
    for number in range(6):
        region.crash(daemon_name(number))
    for number in range(5):
        region.restart(daemon_name(number))
    region.run(10)
    watcher = region.services[daemon_name(0)]
    assert watcher.knows_region()
    assert not watcher.is_certainly_dead(member)
