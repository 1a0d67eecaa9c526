"""Engines that must not get a call: drained zones, other regions, cold engines."""

from random import Random

import msgspec
import pytest
from twisted.internet.task import Clock

from notcharch.calls.eligibility import (
    MIN_WARM_SHARE,
    Cause,
    EngineEligibility,
    NoEngine,
)
from notcharch.calls.engines import EnginePool, PoolPolicy
from notcharch.scheduling.cold_engines import (
    RATE_WINDOW_SECONDS,
    ColdLimit,
    ColdPolicy,
    ColdTolerance,
)
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.residence import joined
from notcharch.scheduling.zone_drains import DrainedZones
from tests.unit.calls.world import SERVICE, engine
from tests.unit.scheduling.test_cold_engines import View, names

REGIONS = {"x": "north", "y": "north", "z": "south"}
LIMIT = ColdLimit(3.0, 25.0)


class World:
    """Engines of three zones, and a daemon with a share of the calls to cold ones."""

    def __init__(self, zones: str = "xyz", daemons: int = 21) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        view = View("d000", names(daemons))
        eligibility = EngineEligibility(
            REGIONS, ColdPolicy(ColdTolerance(1.5, 5.0)), view
        )
        eligibility.set_cold_limits({SERVICE: LIMIT})
        self.pool = EnginePool(
            self.clock,
            Nearness("x"),
            Random(1),
            PoolPolicy(last_resort_seconds=0.0),
            eligibility=eligibility,
        )
        self.engines = [engine(f"e-{zone}", zone) for zone in zones]
        self.pool.replace(self.engines)
        self.position = 0

    def drain(self, *zones: str):
        self.position += 1
        return self.pool.drain_zones(DrainedZones(frozenset(zones), self.position))

    def turn_cold(self, *ids: str, seconds: float = 3.0) -> None:
        self.engines = [
            msgspec.structs.replace(one, cold_seconds=seconds) if one.id in ids else one
            for one in self.engines
        ]
        self.pool.replace(self.engines)

    def chosen(self, cached_engine: str = "", regions=None, tried=()) -> set[str]:
        found = {
            self.pool.choose(
                SERVICE,
                f"p{number}" if cached_engine else "",
                tried,
                cached_engine,
                regions,
            )
            for number in range(40)
        }
        return {one.id for one in found if one is not None}


def test_a_drained_zone_gets_nothing_and_a_program_moves_once():
    world = World()
    assert world.chosen(cached_engine="e-x") == {"e-x"}
    world.drain("x")
    assert "e-x" not in world.chosen(cached_engine="e-x")
    assert "e-x" not in world.chosen()
    assert world.chosen(cached_engine="e-y") == {"e-y"}
    world.drain()
    assert world.chosen(cached_engine="e-y") == {"e-y"}


def test_the_last_resort_is_not_a_drained_zone():
    world = World()
    world.drain("x", "y", "z")
    assert world.chosen() == set()
    world.clock.advance(2.0)
    assert world.pool.why_none(SERVICE) == NoEngine(Cause.DRAINED, 2.0)


def test_an_engine_that_was_chosen_gets_its_call_only_if_its_zone_is_not_drained():
    world = World()
    assert world.pool.takes_calls("e-x")
    world.drain("x")
    assert not world.pool.takes_calls("e-x")
    assert world.pool.takes_calls("e-y")


def test_engines_of_a_zone_that_is_given_back_count_as_cold():
    world = World()
    world.drain("x")
    world.drain()
    assert world.chosen() == {"e-y", "e-z"}
    world.clock.advance(LIMIT.seconds)
    assert "e-x" in world.chosen()


def test_engines_that_are_never_cold_come_back_at_once():
    world = World()
    world.pool.eligibility.set_cold_limits({})
    world.drain("x")
    world.drain()
    assert "e-x" in world.chosen()


def test_warm_engines_come_first_while_they_are_enough():
    world = World("xyz")
    world.turn_cold("e-x")
    assert MIN_WARM_SHARE <= 2 / 3
    assert world.chosen(cached_engine="e-x") == {"e-y", "e-z"}
    world.turn_cold("e-x", "e-y")
    for name in ("e-x", "e-y", "e-z"):
        assert world.chosen(cached_engine=name) == {name}


def test_a_cold_engine_gets_our_part_and_no_more():
    world = World("x")
    world.turn_cold("e-x")
    assert world.chosen() == {"e-x"}
    world.pool.call_started("e-x")
    assert world.chosen() == set()
    none = world.pool.why_none(SERVICE)
    assert none.cause is Cause.COLD
    assert none.seconds == pytest.approx(RATE_WINDOW_SECONDS)
    world.clock.advance(RATE_WINDOW_SECONDS)
    assert world.chosen() == {"e-x"}


def test_a_daemon_that_feeds_nothing_waits_until_the_engine_is_warm():
    world = World("x", daemons=0)
    world.turn_cold("e-x")
    assert world.chosen() == set()
    assert world.pool.why_none(SERVICE) == NoEngine(Cause.COLD, LIMIT.seconds)
    world.clock.advance(LIMIT.seconds)
    assert world.chosen() == {"e-x"}


def test_an_entry_that_is_read_again_makes_no_engine_colder():
    world = World("x")
    world.turn_cold("e-x")
    world.clock.advance(2.9)
    world.pool.replace(world.engines)
    assert world.pool.why_none(SERVICE).cause is Cause.COLD
    world.clock.advance(0.2)
    world.pool.replace(world.engines)
    assert world.chosen() == {"e-x"}


@pytest.mark.parametrize(
    ("regions", "chosen"),
    [
        (None, {"e-x", "e-y", "e-z"}),
        ({"north"}, {"e-x", "e-y"}),
        ({"south"}, {"e-z"}),
        ({"north", "south"}, {"e-x", "e-y", "e-z"}),
        ({"east"}, set()),
        (set(), set()),
    ],
)
def test_a_call_is_served_in_its_regions_only(regions, chosen):
    world = World()
    allowed = None if regions is None else frozenset(regions)
    for _ in range(12):
        selected = world.pool.choose(SERVICE, "", (), "", allowed)
        if selected is not None:
            world.pool.call_started(selected.id)
    serving = {state.id for state in world.pool._states.values() if state.in_flight}
    assert serving == chosen
    affine = world.pool.choose(SERVICE, "p", (), "e-z", allowed)
    assert affine is None or affine.id in chosen


def test_no_engine_in_the_regions_is_told_apart_from_a_drain():
    world = World()
    world.drain("z")
    south, east = frozenset({"south"}), frozenset({"east"})
    assert world.pool.why_none(SERVICE, south).cause is Cause.DRAINED
    assert world.pool.why_none(SERVICE, east).cause is Cause.NO_REGION
    assert world.pool.why_none("other").cause is Cause.NONE_LISTED


def test_an_engine_of_a_zone_that_no_region_has_serves_no_resident_call():
    world = World("w")
    assert world.chosen() == {"e-w"}
    assert world.chosen(regions=frozenset({"north"})) == set()


@pytest.mark.parametrize(
    ("route", "tenant", "both"),
    [
        (None, None, None),
        ("a", None, "a"),
        (None, "a", "a"),
        ("ab", "bc", "b"),
        ("a", "b", ""),
    ],
)
def test_where_a_route_and_a_tenant_have_regions_both_bind(route, tenant, both):
    def regions(names):
        return None if names is None else frozenset(names)

    assert joined(regions(route), regions(tenant)) == regions(both)
