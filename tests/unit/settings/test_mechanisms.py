"""Mechanisms are switched off by their names, and each name reaches its policy."""

from random import Random

import pytest
from twisted.internet.task import Clock

from notcharch.calls.engines import EnginePool
from notcharch.calls.policies import pool_policy, wait_policy
from notcharch.platform.command import read_arguments
from notcharch.scheduling.first_response_times import RouteResponseTimes
from notcharch.scheduling.nearness import Nearness
from notcharch.settings.mechanisms import (
    ALL_MECHANISMS,
    Mechanism,
    mechanisms_without,
)
from tests.unit.calls.world import SERVICE, engine

DRAIN_SECONDS = 2.0


def pool(without: str, clock: Clock) -> EnginePool:
    policy = pool_policy(mechanisms_without(without), DRAIN_SECONDS)
    made = EnginePool(clock, Nearness("z"), Random(1), policy)
    made.replace([engine("a"), engine("b"), engine("far", zone="y")])
    return made


def test_the_command_line_names_what_is_off():
    assert read_arguments([]).mechanisms == ALL_MECHANISMS
    off = read_arguments(["--without", "zones,pace"]).mechanisms
    assert ALL_MECHANISMS - off == {Mechanism.ZONES, Mechanism.PACE}


def test_an_unknown_name_is_refused():
    with pytest.raises(SystemExit):
        read_arguments(["--without", "no-such-mechanism"])


@pytest.mark.parametrize(("without", "is_kept"), [("", True), ("kept-homes", False)])
def test_kept_homes(without, is_kept):
    made = pool(without, Clock())
    homes = {made.choose(SERVICE, "p", (), name).id for name in ("a", "b", "far")}
    assert (len(homes) == 3) is is_kept


@pytest.mark.parametrize(("without", "homes"), [("", 1), ("hashed-homes", 2)])
def test_hashed_homes(without, homes):
    made = pool(without, Clock())
    assert len({made.choose(SERVICE, "p", ()).id for _ in range(20)}) == homes


@pytest.mark.parametrize(("without", "is_near"), [("", True), ("zones", False)])
def test_zones(without, is_near):
    made = pool(without, Clock())
    chosen = {made.choose(SERVICE, "", ()).id for _ in range(40)}
    assert ("far" not in chosen) is is_near


@pytest.mark.parametrize(("without", "is_left"), [("", True), ("silence", False)])
def test_silence(without, is_left):
    clock = Clock()
    made = pool(without, clock)
    made.call_started("a")
    clock.advance(5.0)
    assert (made.choose(SERVICE, "p", (), "a").id != "a") is is_left


@pytest.mark.parametrize(("without", "is_left"), [("", True), ("pace", False)])
def test_pace(without, is_left):
    clock = Clock()
    made = pool(without, clock)
    for name, gap in (("a", 0.2), ("b", 0.02), ("far", 0.02)):
        made.call_started(name)
        clock.advance(gap)
        made.response_received(name, gap)
        made.call_ended(name)
    assert (made.choose(SERVICE, "p", (), "a").id != "a") is is_left


@pytest.mark.parametrize(("without", "is_alive"), [("", True), ("last-resort", False)])
def test_last_resort(without, is_alive):
    clock = Clock()
    made = pool(without, clock)
    made.replace([])
    clock.advance(0.5)
    assert (made.choose(SERVICE, "p", (), "b") is not None) is is_alive


@pytest.mark.parametrize(("without", "has_limit"), [("", True), ("overdue", False)])
def test_overdue(without, has_limit):
    waits = RouteResponseTimes(wait_policy(mechanisms_without(without)))
    for _ in range(20):
        waits.of("r").record(0.1)
    assert (waits.limit_seconds("r") is not None) is has_limit
