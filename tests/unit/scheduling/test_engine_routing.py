"""New programs start on fast engines, near ones first."""

from collections import Counter
from random import Random

import msgspec
import pytest

from notcharch.scheduling.engine_routing import (
    AFFINITY_SLACK_CALLS,
    CallRouting,
    EngineRouting,
    RoutingPolicy,
    fast_engines,
)
from notcharch.scheduling.nearness import Distance, Nearness

PLACE = Nearness("z", {"z": "north", "y": "north", "x": "south"})


class Option(msgspec.Struct, frozen=True):
    """A fake engine."""

    id: str
    run_seconds: float | None = None
    zone: str = "z"
    slots: int = 4
    in_flight: int = 0


def options(*seconds: float | None) -> list[Option]:
    return [Option(f"e{place}", one) for place, one in enumerate(seconds)]


@pytest.mark.parametrize(
    ("seconds", "fast"),
    [
        ((0.2, 0.2, 0.2, 0.27, 0.27), "012"),
        ((0.2, 0.21, 0.22, 0.22, 0.23), "01234"),
        ((0.2, 0.26, 0.27, 0.28, 0.29, 0.35), "01234"),
        ((0.27, 0.27, 0.27), "012"),
        ((0.2, 0.27), "01"),
        ((None, None, 0.2, 0.9), "0123"),
        ((None, 0.2, 0.2, 0.2, 0.9, 0.9), "0123"),
    ],
)
def test_engines_that_are_slower_than_others_begin_no_programs(seconds, fast):
    found = {option.id for option in fast_engines(options(*seconds))}
    assert found == {f"e{place}" for place in fast}


def first_engines(policy: RoutingPolicy, among: list[Option]) -> Counter:
    routing = EngineRouting(policy, PLACE, Random(1))
    return Counter(
        routing.choose(among, CallRouting(f"p{number}")).id for number in range(300)
    )


def test_new_programs_are_spread_over_the_fast_engines():
    counts = first_engines(RoutingPolicy(), options(0.2, 0.2, 0.21, 0.2, 0.27, 0.28))
    assert set(counts) == {"e0", "e1", "e2", "e3"}
    assert min(counts.values()) > 50


def test_without_the_preference_all_engines_begin_programs():
    policy = RoutingPolicy(prefers_fast=False)
    assert len(first_engines(policy, options(0.2, 0.2, 0.21, 0.2, 0.27, 0.28))) == 6


def test_a_fast_engine_elsewhere_is_better_than_a_slow_one_near():
    among = [
        Option("near", 0.3),
        *(Option(f"far{place}", 0.2, zone="y") for place in range(4)),
    ]
    assert "near" not in first_engines(RoutingPolicy(), among)


def test_the_engine_with_the_cached_prefix_is_chosen_though_it_is_slow():
    routing = EngineRouting(RoutingPolicy(), PLACE, Random(1))
    among = options(0.2, 0.2, 0.2, 0.3)
    assert routing.choose(among, CallRouting("p", "e3")).id == "e3"


@pytest.mark.parametrize(
    ("zone", "distance"),
    [
        ("z", Distance.SAME_ZONE),
        ("y", Distance.SAME_REGION),
        ("x", Distance.OTHER_REGION),
        ("w", Distance.OTHER_REGION),
    ],
)
def test_distances(zone, distance):
    assert PLACE.distance(zone) is distance


def test_without_regions_all_zones_are_in_one():
    assert Nearness("z").distance("w") is Distance.SAME_REGION


def test_a_program_begins_in_the_zone_then_in_the_region_then_elsewhere():
    zone, region, far = (Option(name, zone=name) for name in "zyx")
    busy = msgspec.structs.replace
    assert set(first_engines(RoutingPolicy(), [zone, region, far])) == {"z"}
    over = AFFINITY_SLACK_CALLS + 1
    zone = busy(zone, in_flight=over)
    assert set(first_engines(RoutingPolicy(), [zone, region, far])) == {"y"}
    region = busy(region, in_flight=over)
    assert set(first_engines(RoutingPolicy(), [zone, region, far])) == {"x"}


@pytest.mark.parametrize(
    ("near", "region", "far", "chosen"),
    [(0, 0, 0, "z"), (1, 0, 0, "y"), (1, 1, 0, "z"), (4, 4, 0, "z"), (5, 5, 0, "x")],
)
def test_a_call_without_affinity_crosses_regions_only_when_its_region_is_full(
    near, region, far, chosen
):
    routing = EngineRouting(RoutingPolicy(), PLACE, Random(1))
    among = [
        Option("z", zone="z", in_flight=near),
        Option("y", zone="y", in_flight=region),
        Option("x", zone="x", in_flight=far),
    ]
    assert routing.choose(among, CallRouting()).id == chosen
