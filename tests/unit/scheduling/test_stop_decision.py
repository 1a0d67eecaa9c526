"""Which calls a planned stop refuses, by what is known of them."""

import pytest

from notcharch.scheduling.call_durations import (
    MAX_CALLS,
    MAX_ROUTES,
    MIN_CALLS,
    WINDOW_SECONDS,
    CallDurations,
    Durations,
    EndedCall,
)
from notcharch.scheduling.stop_decision import Basis, StopInputs, decide

NOW = 1000.0


def learned(*seconds: float, at: float = NOW) -> CallDurations:
    durations = CallDurations()
    for one in seconds:
        durations.record("r", EndedCall(at, one))
    return durations


def decision(left, durations=None, deadline=30.0, is_repeatable=False):
    return decide(StopInputs(left, durations, deadline, is_repeatable))


@pytest.mark.parametrize("is_repeatable", [False, True])
def test_calls_of_a_known_duration_are_refused_when_it_is_not_left(is_repeatable):
    known = learned(*[6.0] * 20).of("r", NOW)
    assert decision(5.46, known, is_repeatable=is_repeatable).is_refused
    assert decision(6.5, known, is_repeatable=is_repeatable).is_refused
    assert not decision(7.5, known, is_repeatable=is_repeatable).is_refused


def test_short_calls_run_until_shortly_before_the_cut():
    known = learned(*[0.1] * 20).of("r", NOW)
    assert not decision(0.3, known).is_refused
    assert decision(0.1, known).is_refused


def test_few_long_calls_of_many_count_only_for_calls_that_must_run_once():
    """One that is cut is lost; one that may be repeated loses its time alone."""
    known = learned(*[0.1] * 97, 6.0, 6.0, 6.0).of("r", NOW)
    assert decision(5.0, known, is_repeatable=False).is_refused
    assert not decision(5.0, known, is_repeatable=True).is_refused


@pytest.mark.parametrize("is_repeatable", [False, True])
def test_one_call_that_hung_does_not_refuse_the_others(is_repeatable):
    known = learned(*[0.1] * 60, 30.0).of("r", NOW)
    assert not decision(5.0, known, is_repeatable=is_repeatable).is_refused


def test_callers_that_read_slowly_count_if_they_are_many():
    """Some slow readers must not have short calls of all others refused."""
    durations = learned(*[0.1] * 9)
    durations.record("r", EndedCall(NOW, 0.1, reading_seconds=60.0))
    assert not decision(2.0, durations.of("r", NOW)).is_refused
    for _ in range(10):
        durations.record("r", EndedCall(NOW, 0.1, reading_seconds=3.0))
    assert decision(3.0, durations.of("r", NOW)).is_refused
    assert not decision(4.0, durations.of("r", NOW)).is_refused


def test_without_known_durations_the_deadline_decides():
    refused = decision(5.0, None, deadline=5.0)
    assert (refused.is_refused, refused.basis) == (True, Basis.DEADLINE)
    assert not decision(5.0, None, deadline=4.5).is_refused


def test_no_call_is_expected_to_last_beyond_its_deadline():
    known = Durations(6.0, 6.0)
    assert not decision(3.0, known, deadline=2.0).is_refused


def test_few_or_old_calls_tell_nothing():
    assert learned(*[1.0] * (MIN_CALLS - 1)).of("r", NOW) is None
    assert learned(*[1.0] * MIN_CALLS).of("r", NOW) is not None
    assert learned(*[1.0] * MIN_CALLS).of("r", NOW + WINDOW_SECONDS + 1) is None
    assert learned(*[1.0] * MIN_CALLS).of("other", NOW) is None


def test_calls_that_run_for_longer_than_usual_count_with_their_age():
    """Engines that became slow are known before the first slow call has ended."""
    durations = learned(*[0.1] * 20)
    slow = durations.of("r", NOW, [2.0] * 10)
    assert slow == Durations(2.0, 2.0)
    assert durations.of("r", NOW, [0.01] * 100) == Durations(0.1, 0.1)


def test_the_record_is_bounded():
    durations = CallDurations()
    for number in range(MAX_ROUTES + 10):
        for _ in range(MAX_CALLS + 10):
            durations.record(f"r{number}", EndedCall(NOW, 1.0))
    assert len(durations._routes) == MAX_ROUTES
    assert durations.of("r0", NOW) is None
    assert {len(one._calls) for one in durations._routes.values()} == {MAX_CALLS}
