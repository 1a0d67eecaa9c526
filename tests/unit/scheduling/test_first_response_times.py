"""When first answers are overdue, and how many calls may be given up for it."""

import pytest

from notcharch.scheduling.first_response_times import (
    MAX_RETRY_BUDGET,
    MIN_LIMIT_SECONDS,
    MIN_RESPONSES,
    FirstResponseTimes,
    OverduePolicy,
    RouteResponseTimes,
)


def waits(*seconds: float) -> FirstResponseTimes:
    made = FirstResponseTimes()
    for waited in seconds:
        made.record(waited)
    return made


@pytest.mark.parametrize(
    ("seconds", "minimum", "maximum"),
    [
        ([0.02] * 50, MIN_LIMIT_SECONDS, MIN_LIMIT_SECONDS),
        ([0.5] * 50, 0.7, 0.8),
        ([0.1, 0.5] * 50, 1.2, 2.0),
        ([0.1] * 50 + [1.0] * 20, 1.3, 5.0),
    ],
)
def test_the_limit_follows_the_answers(seconds, minimum, maximum):
    assert minimum <= waits(*seconds).limit_seconds <= maximum


def test_without_answers_there_is_no_limit():
    assert waits(*[0.1] * (MIN_RESPONSES - 1)).limit_seconds is None


def test_retries_are_a_part_of_the_answers():
    made = waits(*[0.1] * 1000)
    taken = 0
    while made.take_retry():
        taken += 1
    assert taken == MAX_RETRY_BUDGET
    for _ in range(5):
        made.record(0.1)
    assert made.take_retry()
    assert not made.take_retry()


def test_it_can_be_switched_off():
    routes = RouteResponseTimes(OverduePolicy(detects_overdue=False))
    for _ in range(20):
        routes.of("r").record(0.1)
    assert routes.limit_seconds("r") is None
