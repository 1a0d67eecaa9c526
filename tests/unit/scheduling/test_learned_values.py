"""Tests of what a daemon learns from its own calls."""

import pytest

from notcharch.scheduling.learned_values import (
    ASSUMED_SECONDS_PER_TOKEN,
    MAX_SECONDS_PER_TOKEN,
    MIN_SAMPLE_TOKENS,
    MIN_SECONDS_PER_TOKEN,
    PromptReadingTime,
    ServiceLearning,
)


def test_the_time_to_read_a_token_is_learned_from_first_events():
    reading = PromptReadingTime()
    assert reading.seconds_per_token == ASSUMED_SECONDS_PER_TOKEN
    for _ in range(60):
        reading.record_cached(0.02)
        reading.record_uncached(0.02 + 2000 * 2e-5, 2000)
    assert reading.seconds_per_token == pytest.approx(2e-5, rel=0.01)


def test_callers_that_state_wrong_prompts_change_the_learned_time_within_bounds():
    reading = PromptReadingTime()
    for _ in range(100):
        reading.record_uncached(3.0, MIN_SAMPLE_TOKENS)
    assert reading.seconds_per_token <= MAX_SECONDS_PER_TOKEN
    for _ in range(200):
        reading.record_uncached(0.01, 10**9)
    assert reading.seconds_per_token >= MIN_SECONDS_PER_TOKEN


def test_short_prompts_teach_nothing():
    reading = PromptReadingTime()
    reading.record_uncached(1.0, MIN_SAMPLE_TOKENS - 1)
    assert reading.seconds_per_token == ASSUMED_SECONDS_PER_TOKEN


def test_the_duration_of_a_run_is_unknown_until_one_was_seen():
    learned = ServiceLearning()
    assert learned.mean_run_seconds is None
    learned.record_run(0.3)
    assert learned.mean_run_seconds == learned.usual_run_seconds == 0.3
    learned.record_run(1.3)
    assert learned.mean_run_seconds == pytest.approx(0.4)
