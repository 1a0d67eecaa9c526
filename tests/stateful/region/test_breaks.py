"""Deliberate breaks of the whole system, each with the schedule that shows it."""

import pytest

from notcharch.engines.cache_tracker import CacheTracker
from notcharch.gateway import call_requests, call_run
from notcharch.programs.release_service import ReleaseService
from tests.stateful.region.machine import CUT, RegionMachine
from tests.stateful.region.oracle import ViolationError


def two_gateways_one_without_a_leader(machine):
    """Send a call to two gateways, one of them cut off from the others."""
    known = machine.programs[0]
    machine.disturb_other(fault=CUT, number=1)
    inside = machine.region.names.index(machine.region.fabric.names_in("zone2")[0])
    machine._call(known, 0)
    machine._send(known.pending, inside)
    machine.pass_time(seconds=35.0)


def several_calls(machine):
    """Give every program two calls."""
    for _ in range(2):
        machine.call_some(numbers=[0, 0, 0, 0])
        machine.pass_time(seconds=10.0)


def nothing(*arguments, **keywords):
    """Do nothing, in place of something needed."""


async def nothing_later(*arguments):
    """Do nothing, in place of something needed."""


def trusts_its_own_request(monkeypatch):
    for module in (call_run, call_requests):
        monkeypatch.setattr(module, "scope_ran_to_call", lambda problem: problem)


def releases_nothing(monkeypatch):
    monkeypatch.setattr(ReleaseService, "step", nothing)
    monkeypatch.setattr(CacheTracker, "_sweep", nothing_later)


BREAKS = (
    ("said not to have run", trusts_its_own_request, two_gateways_one_without_a_leader),
    ("memory is held", releases_nothing, several_calls),
)


@pytest.mark.parametrize("finding, break_it, schedule", BREAKS)
def test_a_deliberate_break_is_caught(monkeypatch, finding, break_it, schedule):
    break_it(monkeypatch)
    with pytest.raises(ViolationError, match=finding):
        run(schedule)


@pytest.mark.parametrize("schedule", [schedule for _, _, schedule in BREAKS])
def test_the_schedule_passes_without_a_break(schedule):
    run(schedule)


def run(schedule):
    machine = RegionMachine()
    machine.build(seed=2)
    schedule(machine)
    machine.teardown()
