"""Schedules that could lease a slot twice, and breaks that they must detect."""

import msgspec
import pytest

from notcharch.services.allotments import AllotmentsState
from notcharch.services.holder import AllotmentHolder
from tests.stateful.services import lease_world
from tests.stateful.services.lease_world import DRIFT, LEASE_SECONDS, SLOTS, LeaseWorld


def request_of(world, process):
    """Remove and return the process's request in flight."""
    (packet,) = [p for p in world.packets if p.process is process and p.request]
    world.packets.remove(packet)
    return packet


def reply_to(world, process):
    (packet,) = [p for p in world.packets if p.process is process and not p.request]
    world.packets.remove(packet)
    return packet


def release_all(world, process):
    while process.runs:
        world.release(process)


def a_paused_holder_wakes_after_its_lease_went_to_another(world):
    first, second, _ = world.processes
    world.acquire_and_exchange(first, SLOTS)
    release_all(world, first)
    first.paused = True
    world.pass_time(40.0)
    world.acquire_and_exchange(second, SLOTS)
    assert len(second.runs) == SLOTS
    world.resume(first)
    world.acquire(first)


def a_holder_starts_more_before_it_receives_the_reply_to_shrink(world):
    first, second, _ = world.processes
    world.acquire_and_exchange(first, SLOTS)
    world.release(first)
    world.release(first)
    world.acquire_and_exchange(second, 1)
    world.yield_slots(first)
    world.deliver(request_of(world, first))
    shrinking = reply_to(world, first)
    world.pass_time(0.6)
    world.exchange(second)
    world.acquire(first)
    world.acquire(first)
    world.deliver(shrinking)


def an_early_request_arrives_again_much_later(world):
    first, second, _ = world.processes
    world.acquire(first)
    early = request_of(world, first)
    world.deliver(early)
    world.deliver(reply_to(world, first))
    world.pass_time(0.6)
    world.acquire_and_exchange(first, SLOTS - 1)
    assert len(first.runs) == SLOTS
    world.deliver(early)
    world.acquire_and_exchange(second, SLOTS)


def runs_outlast_the_lease_of_a_paused_holder(world):
    first, second, _ = world.processes
    world.acquire_and_exchange(first, SLOTS)
    first.paused = True
    world.pass_time(12.0)
    world.acquire_and_exchange(second, SLOTS)


def a_slow_clock_starts_runs_at_the_end_of_its_lease(world):
    _, second, slow = world.processes
    world.leader_rate = DRIFT
    world.acquire_and_exchange(slow, SLOTS)
    release_all(world, slow)
    world.pass_time(10.4)
    world.acquire(slow)
    assert len(slow.runs) == 1
    slow.paused = True
    world.pass_time(18.0)
    world.acquire_and_exchange(second, SLOTS)


def runs_outlast_the_death_of_their_holder(world):
    first, second, _ = world.processes
    world.acquire_and_exchange(first, SLOTS)
    world.crash(first)
    world.pass_time(1.0)
    world.drop_dead()
    world.acquire_and_exchange(second, SLOTS)


def a_reply_comes_when_its_lease_has_long_lapsed(world):
    first, second, _ = world.processes
    world.acquire(first)
    world.deliver(request_of(world, first))
    late = reply_to(world, first)
    world.pass_time(40.0)
    world.acquire_and_exchange(second, SLOTS)
    world.deliver(late)


def a_reply_comes_after_the_slots_were_returned(world):
    first, second, _ = world.processes
    for _ in range(SLOTS):
        world.acquire(first)
    world.deliver(request_of(world, first))
    late = reply_to(world, first)
    world.time_out(first)
    world.pass_time(61.0)
    world.tick(first)
    world.pass_time(1.0)
    world.tick(first)
    world.pass_time(3.0)
    world.acquire(first)
    world.acquire_and_exchange(second, SLOTS)
    world.deliver(late)


def the_new_leaders_clock_is_far_ahead(world):
    first, second, _ = world.processes
    world.acquire_and_exchange(first, SLOTS)
    world.change_leader(500.0, 0.0)
    world.acquire_and_exchange(second, SLOTS)


SCHEDULES = [
    a_paused_holder_wakes_after_its_lease_went_to_another,
    a_holder_starts_more_before_it_receives_the_reply_to_shrink,
    an_early_request_arrives_again_much_later,
    runs_outlast_the_lease_of_a_paused_holder,
    a_slow_clock_starts_runs_at_the_end_of_its_lease,
    runs_outlast_the_death_of_their_holder,
    a_reply_comes_when_its_lease_has_long_lapsed,
    a_reply_comes_after_the_slots_were_returned,
    the_new_leaders_clock_is_far_ahead,
]


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_no_slot_is_given_out_twice(schedule):
    schedule(LeaseWorld())


def count_the_lease_from_the_reply(monkeypatch):
    original = AllotmentHolder.on_reply

    def on_reply(self, number, slots, lease_seconds, now):
        sent = self._in_flight
        if sent is not None:
            self._in_flight = msgspec.structs.replace(sent, sent_at=now)
        return original(self, number, slots, lease_seconds, now)

    monkeypatch.setattr(AllotmentHolder, "on_reply", on_reply)


def start_after_the_lapse(monkeypatch):
    monkeypatch.setattr(AllotmentHolder, "is_lease_valid", lambda self, now: True)


def promise_only_what_runs(monkeypatch):
    original = AllotmentHolder._request

    def request(self, now):
        (effect,) = original(self, now)
        return (msgspec.structs.replace(effect, held=self._running),)

    monkeypatch.setattr(AllotmentHolder, "_request", request)


def take_any_reply(monkeypatch):
    original = AllotmentHolder.on_reply

    def on_reply(self, number, slots, lease_seconds, now):
        if self._in_flight is not None:
            number = self._in_flight.number
        return original(self, number, slots, lease_seconds, now)

    monkeypatch.setattr(AllotmentHolder, "on_reply", on_reply)


def free_requested_slots_at_once(monkeypatch):
    original = AllotmentsState._new_lease

    def new_lease(self, command, known, leases):
        lease = original(self, command, known, leases)
        return msgspec.structs.replace(lease, counted=lease.slots)

    monkeypatch.setattr(AllotmentsState, "_new_lease", new_lease)


def obey_late_requests(monkeypatch):
    original = AllotmentsState._request

    def request(self, command):
        leases = self._services.get(command.service)
        known = leases.get(command.holder) if leases else None
        if known is not None:
            leases.put(msgspec.structs.replace(known, number=-1))
        return original(self, command)

    monkeypatch.setattr(AllotmentsState, "_request", request)


def trust_a_new_leaders_clock(monkeypatch):
    def advance(self, at, epoch):
        self._epoch, self._now = epoch, at

    monkeypatch.setattr(AllotmentsState, "_advance", advance)


def forget_running_calls_of_a_lapsed_lease(monkeypatch):
    monkeypatch.setattr(lease_world, "keep_seconds", lambda: LEASE_SECONDS * 1.11)


def forget_the_drift_of_clocks(monkeypatch):
    sum_seconds = LEASE_SECONDS + lease_world.LONGEST_CALL_SECONDS
    monkeypatch.setattr(lease_world, "keep_seconds", lambda: sum_seconds * (1 - DRIFT))


def free_dead_processes_at_once(monkeypatch):
    monkeypatch.setattr(lease_world, "RESUME_SECONDS", 0.0)


BREAKS = [
    count_the_lease_from_the_reply,
    start_after_the_lapse,
    promise_only_what_runs,
    take_any_reply,
    free_requested_slots_at_once,
    obey_late_requests,
    trust_a_new_leaders_clock,
    forget_running_calls_of_a_lapsed_lease,
    forget_the_drift_of_clocks,
    free_dead_processes_at_once,
]


@pytest.mark.parametrize("break_it", BREAKS)
def test_a_deliberate_break_is_caught(break_it, monkeypatch):
    break_it(monkeypatch)
    with pytest.raises(AssertionError, match="more runs than slots"):
        for schedule in SCHEDULES:
            schedule(LeaseWorld())
