"""Tests of the choice of an engine by its expected seconds."""

from collections import Counter
from random import Random

import pytest

from notcharch.scheduling.expected_seconds import (
    MAX_PROMPT_TOKENS,
    OTHER_REGION_SECONDS,
    CallNeeds,
    ChoiceReason,
    LoadedEngine,
    choose_by_cost,
    engine_costs,
    keeps_cached,
)
from notcharch.scheduling.nearness import Distance
from tests.unit.scheduling.load_play import Play, by_own_counts, by_shared_load

SLOTS = 6
DAEMONS = 59
UNEVEN = (0.7, 0.7, 1.7)
PLAYED_SECONDS = 4.0
MAX_COST_RATIO = 1.4
"""The target of docs/design/hard-load.md."""
CALL = CallNeeds(mean_events=10.0)


def loaded(name: str, in_flight: int = 0, interval: float | None = 0.01, **changes):
    return LoadedEngine(name, SLOTS, in_flight, interval, **changes)


def costs(*engines: LoadedEngine, call: CallNeeds = CALL):
    return {cost.engine.id: cost for cost in engine_costs(engines, call)}


def chosen(*engines: LoadedEngine, call: CallNeeds = CALL) -> set[str]:
    random = Random(1)
    return {choose_by_cost(engines, call, random).chosen.engine.id for _ in range(100)}


@pytest.mark.parametrize(
    ("in_flight", "waits"), [(0, 0.0), (5, 0.0), (6, 1 / 6), (11, 1.0), (17, 2.0)]
)
def test_only_a_full_engine_lets_a_call_wait(in_flight, waits):
    cost = costs(loaded("a", in_flight))["a"]
    assert cost.run_seconds == pytest.approx(0.1)
    assert cost.wait_seconds == pytest.approx(0.1 * waits)


def test_an_engine_of_unknown_speed_counts_as_the_median_so_that_it_gets_calls():
    engines = [loaded("a", interval=0.01), loaded("b", interval=0.03)]
    found = costs(*engines, loaded("c", interval=0.02), loaded("new", interval=None))
    assert found["new"].run_seconds == pytest.approx(0.2)


def test_without_any_known_speed_the_usual_duration_counts():
    call = CallNeeds(usual_run_seconds=0.4)
    full = loaded("a", SLOTS, interval=None)
    found = costs(full, loaded("b", interval=None), call=call)
    assert (found["a"].run_seconds, found["b"].run_seconds) == (0.4, 0.4)
    assert chosen(full, loaded("b", interval=None), call=call) == {"b"}


def test_a_call_stays_at_its_cached_engine_until_the_wait_exceeds_what_reading_costs():
    """Guards against engines that spend their time on prompts of calls that move."""
    call = CallNeeds("a", 2000, 1e-5, mean_events=10.0)
    assert chosen(loaded("a", 2), loaded("b"), call=call) == {"a"}
    assert chosen(loaded("a", SLOTS), loaded("b"), call=call) == {"a"}
    assert chosen(loaded("a", 2 * SLOTS + 1), loaded("b"), call=call) == {"b"}
    long = CallNeeds("a", 50_000, 1e-5, mean_events=10.0)
    assert chosen(loaded("a", 2 * SLOTS + 1), loaded("b"), call=long) == {"a"}


def test_the_other_calls_of_an_engine_count_in_the_cost_of_reading_there():
    """Guards against one call that gains a little and delays those of a whole engine."""
    call = CallNeeds("a", 2000, 1e-5, mean_events=10.0)
    found = costs(loaded("a", 2 * SLOTS), loaded("b"), call=call)
    reading = found["b"].reading_seconds
    saved = found["a"].seconds - found["b"].seconds
    assert reading < saved < (SLOTS - 1) * reading
    assert keeps_cached(found["a"], found["b"])


def test_a_stated_prompt_beyond_what_is_plausible_counts_as_the_longest():
    call = CallNeeds("b", 10**9, 1e-5, mean_events=10.0)
    longest = MAX_PROMPT_TOKENS * 1e-5
    assert costs(loaded("a"), call=call)["a"].reading_seconds == longest
    negative = CallNeeds("b", -5, 1e-5, mean_events=10.0)
    assert costs(loaded("a"), call=negative)["a"].reading_seconds == 0.0


def test_calls_go_to_another_zone_or_region_only_where_that_is_cheaper():
    near = loaded("near", SLOTS - 1)
    full = loaded("near", SLOTS)
    zone = loaded("zone", SLOTS - 1, distance=Distance.SAME_REGION)
    region = loaded("region", distance=Distance.OTHER_REGION)
    assert "near" in chosen(near, zone)
    assert chosen(full, zone) == {"zone"}
    assert chosen(near, region) == {"near"}
    assert costs(region)["region"].distance_seconds == OTHER_REGION_SECONDS
    assert chosen(full, region) == {"near"}
    assert chosen(loaded("near", 2 * SLOTS), region) == {"region"}


def test_a_slow_engine_gets_calls_only_when_faster_ones_are_full():
    slow = loaded("slow", interval=0.024)
    assert chosen(loaded("fast", 3), slow) == {"fast"}
    assert chosen(loaded("fast", SLOTS + 1), slow) == {"slow"}


@pytest.mark.parametrize(
    ("engines", "cached", "reason"),
    [
        ((loaded("a", 1), loaded("b")), "a", ChoiceReason.CACHED),
        ((loaded("a", SLOTS), loaded("b")), "a", ChoiceReason.CACHED),
        ((loaded("a", 3 * SLOTS), loaded("b")), "a", ChoiceReason.OVERFLOW),
        (
            (loaded("a", 5, interval=0.03), loaded("b", interval=0.002)),
            "a",
            ChoiceReason.CHEAPER,
        ),
        ((loaded("a", 3), loaded("b")), "", ChoiceReason.CHEAPER),
        (
            (loaded("a", SLOTS), loaded("b", distance=Distance.SAME_REGION)),
            "",
            ChoiceReason.OVERFLOW,
        ),
    ],
)
def test_the_reason_of_a_choice_is_told(engines, cached, reason):
    call = CallNeeds(cached, 2000, 1e-5, mean_events=10.0)
    choice = choose_by_cost(engines, call, Random(1))
    assert choice.reason is reason
    assert choice.lowest_seconds <= choice.chosen.seconds


def test_daemons_that_choose_at_one_moment_do_not_all_choose_the_same_of_equal_engines():
    engines = [loaded("a"), loaded("b"), loaded("c")]
    random = Random(7)
    counts = Counter(
        choose_by_cost(engines, CALL, random).chosen.engine.id for _ in range(DAEMONS)
    )
    assert len(counts) == 3
    assert max(counts.values()) < DAEMONS / 2


def test_loads_that_differ_by_one_call_in_a_slot_of_many_count_as_equal():
    engines = [LoadedEngine("a", 40, 3, 0.01), LoadedEngine("b", 40, 4, 0.01)]
    assert chosen(*engines) == {"a", "b"}


def play(speeds, load: float, seed: int, choose):
    return Play(speeds, DAEMONS, load, seed).run(PLAYED_SECONDS, choose)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("engines", [UNEVEN, UNEVEN * 4])
@pytest.mark.parametrize("max_age_seconds", [0.002, 0.01])
def test_played_callers_get_faster_engines_and_fewer_full_ones_than_by_own_counts(
    seed, engines, max_age_seconds
):
    """Guards against loads of different ages that send many daemons to one engine."""
    today = play(engines, 0.6, seed, by_own_counts)
    shared = play(engines, 0.6, seed, by_shared_load(max_age_seconds))
    assert shared.calls == today.calls
    assert shared.share_beside_free < today.share_beside_free
    assert shared.cost_ratio < MAX_COST_RATIO
    assert shared.cost_ratio < today.cost_ratio
    assert shared.real_seconds < 0.7 * today.real_seconds
    assert max(shared.by_engine.values()) < shared.calls


def test_the_play_gives_equal_shares_to_equal_engines():
    results = play((1.0,) * 6, 0.6, 3, by_shared_load(0.005))
    assert min(results.by_engine.values()) > 0.7 * max(results.by_engine.values())
