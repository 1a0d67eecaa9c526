"""When first responses are overdue, and how many overdue calls may be abandoned."""

import pytest

from notcharch.scheduling.first_response_times import (
    MAX_RETRY_BUDGET,
    MIN_LIMIT_SECONDS,
    MIN_RESPONSES,
    FirstResponseTimes,
    OverduePolicy,
    RouteResponseTimes,
)


def response_times(*seconds: float) -> FirstResponseTimes:
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
def test_the_limit_follows_the_response_times(seconds, minimum, maximum):
    assert minimum <= response_times(*seconds).limit_seconds <= maximum


def test_without_responses_there_is_no_limit():
    assert response_times(*[0.1] * (MIN_RESPONSES - 1)).limit_seconds is None


def test_retries_are_a_fraction_of_the_responses():
    made = response_times(*[0.1] * 1000)
    retries = 0
    while made.take_retry():
        retries += 1
    assert retries == MAX_RETRY_BUDGET
    for _ in range(5):
        made.record(0.1)
    assert made.take_retry()
    assert not made.take_retry()


def test_detection_can_be_disabled():
    routes = RouteResponseTimes(OverduePolicy(detects_overdue=False))
    for _ in range(20):
        routes.of("r").record(0.1)
    assert routes.limit_seconds("r") is None
