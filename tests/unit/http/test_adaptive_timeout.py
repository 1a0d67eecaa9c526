"""The adaptive response timeout: its bounds, and its backoff after a timeout."""

import pytest

from notcharch.http.adaptive_timeout import AdaptiveTimeout


@pytest.mark.parametrize(
    ("times", "expected"), [([], 0.4), ([0.004], 0.4), ([0.2], 0.8), ([1.0], 1.5)]
)
def test_the_wait_follows_the_last_answer_within_bounds(times, expected):
    adaptive_timeout = AdaptiveTimeout(0.4, 1.5)
    for seconds in times:
        adaptive_timeout.response_received(seconds)
    assert adaptive_timeout.seconds == pytest.approx(expected)


def test_a_server_that_turned_slow_is_waited_for_after_two_losses():
    adaptive_timeout = AdaptiveTimeout(0.4, 1.5)
    adaptive_timeout.timed_out()
    assert adaptive_timeout.seconds == pytest.approx(0.8)
    adaptive_timeout.timed_out()
    assert adaptive_timeout.seconds == pytest.approx(1.5)
    adaptive_timeout.response_received(0.004)
    assert adaptive_timeout.seconds == pytest.approx(0.4)
