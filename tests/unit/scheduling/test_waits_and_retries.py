"""Expected waits, early refusal, delays, budgets and the circuit breaker."""

import random

import pytest

from notcharch.scheduling.breaker import BreakerPolicy, CircuitBreaker
from notcharch.scheduling.retry import RetryBudget, RetryPolicy
from notcharch.scheduling.waits import (
    MeanOccupancy,
    SlotLoad,
    expected_wait_seconds,
    retry_after_seconds,
)

# Slots, busy slots, calls ahead, expected wait; a call occupies its slot for 2 s.
WAITS = {
    "a free slot": (4, 3, 0, 0.0),
    "all busy, nobody waits": (4, 4, 0, 0.5),
    "all busy, three wait": (4, 4, 3, 2.0),
    "more running than slots": (4, 6, 0, 1.5),
    "free slots and calls ahead": (4, 0, 3, 0.0),
    "one slot": (1, 1, 1, 4.0),
}


@pytest.mark.parametrize(
    ("slots", "busy", "ahead", "expected"), WAITS.values(), ids=WAITS.keys()
)
def test_expected_waits(slots, busy, ahead, expected):
    assert expected_wait_seconds(SlotLoad(slots, busy, 2.0), ahead) == expected


@pytest.mark.parametrize(
    ("wait", "give_up", "retry_after"),
    [(10.0, 10.0, None), (10.5, 10.0, 1.0), (70.0, 10.0, 60.0)],
)
def test_a_wait_that_is_too_long_is_refused_with_when_to_come_back(
    wait, give_up, retry_after
):
    assert retry_after_seconds(wait, give_up) == retry_after


def test_the_mean_occupancy_follows_the_samples():
    mean = MeanOccupancy()
    assert mean.value(7.0) == 7.0
    mean.learn(1.0)
    assert mean.value(7.0) == 1.0
    for _ in range(100):
        mean.learn(3.0)
    assert mean.value(7.0) == pytest.approx(3.0, rel=0.01)


def test_delays_grow_are_jittered_and_bounded():
    policy, chance = RetryPolicy(0.1, 2.0), random.Random(1)
    bounds = [0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]
    for failures, bound in enumerate(bounds, start=1):
        drawn = [policy.delay_seconds(failures, chance) for _ in range(50)]
        assert bound / 2 <= min(drawn) < max(drawn) <= bound
    assert policy.delay_seconds(10_000, chance) <= 2.0


def test_the_budget_bounds_retries_to_a_part_of_first_tries():
    budget = RetryBudget(fraction=0.2, greatest=5.0)
    assert sum(budget.take_retry() for _ in range(100)) == 5
    for _ in range(100):
        budget.tried()
    assert sum(budget.take_retry() for _ in range(100)) == 5
    retries = 0
    for _ in range(1000):
        budget.tried()
        retries += budget.take_retry()
    assert retries == pytest.approx(200, abs=1)


POLICY = BreakerPolicy(
    failures_to_open=2, first_pause_seconds=1.0, longest_pause_seconds=3.0
)

# Steps as (operation, time), then a time and whether an attempt is allowed then.
BREAKER = {
    "one failure": ([("fail", 0)], 0.0, True),
    "a success in between": ([("fail", 0), ("succeed", 0), ("fail", 0)], 0.0, True),
    "two in a row": ([("fail", 0), ("fail", 0)], 0.9, False),
    "after the pause": ([("fail", 0), ("fail", 0)], 1.0, True),
    "one probe only": ([("fail", 0), ("fail", 0), ("try", 1.0)], 1.5, False),
    "a good probe closes": (
        [("fail", 0), ("fail", 0), ("try", 1.0), ("succeed", 1.5)],
        1.5,
        True,
    ),
    "a bad probe opens for longer": (
        [("fail", 0), ("fail", 0), ("try", 1.0), ("fail", 1.5)],
        3.4,
        False,
    ),
    "and is tried again after it": (
        [("fail", 0), ("fail", 0), ("try", 1.0), ("fail", 1.5)],
        3.5,
        True,
    ),
    "a probe that tells nothing": (
        [("fail", 0), ("fail", 0), ("try", 1.0), ("abandon", 1.5)],
        1.5,
        True,
    ),
    "a late failure while open": ([("fail", 0)] * 3, 1.0, True),
}


@pytest.mark.parametrize(
    ("steps", "at", "permitted"), BREAKER.values(), ids=BREAKER.keys()
)
def test_the_breaker(steps, at, permitted):
    breaker = CircuitBreaker(POLICY)
    for operation, now in steps:
        match operation:
            case "fail":
                breaker.failed(now)
            case "succeed":
                breaker.succeeded()
            case "abandon":
                breaker.abandoned()
            case "try":
                assert breaker.permits(now)
                breaker.started()
    assert breaker.permits(at) == permitted


def test_pauses_of_the_breaker_are_bounded_and_start_again():
    breaker = CircuitBreaker(POLICY)
    breaker.failed(0.0)
    breaker.failed(0.0)
    now = 0.0
    for pause in (2.0, 3.0, 3.0):
        now = breaker.permits_again_at()
        assert breaker.permits(now)
        breaker.started()
        breaker.failed(now)
        assert breaker.permits_again_at() == now + pause
    now = breaker.permits_again_at()
    assert breaker.permits(now)
    breaker.started()
    breaker.succeeded()
    breaker.failed(now)
    breaker.failed(now)
    assert breaker.permits_again_at() == now + 1.0
