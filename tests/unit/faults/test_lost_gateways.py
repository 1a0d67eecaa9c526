"""How soon the calls of a gateway that vanished are given up."""

import pytest

from notcharch.programs.attempt_watch import (
    MAX_REPEATABLE_ABSENCE_SECONDS,
    AttemptWatch,
    WatchLimits,
)
from notcharch.programs.record import CallPhase, OpenCall
from notcharch.values.identifiers import Member

GATEWAY = Member("daemon-1", 1)
OTHER = Member("daemon-2", 1)
DEAD_SECONDS = 15.0
LIMITS = WatchLimits(DEAD_SECONDS, 3600.0)


def call(*, repeatable):
    return OpenCall(
        sequence=1,
        attempt=1,
        digest=b"",
        gateway=GATEWAY,
        repeatable=repeatable,
        reserved_tokens=0,
        messages=b"[]",
        phase=CallPhase.DISPATCHED,
        phase_at=0.0,
    )


def reason(watch, now, *, repeatable=False):
    return watch.reason_to_abandon(
        call(repeatable=repeatable), 60.0, dead=False, now=now
    )


@pytest.mark.parametrize(
    ("repeatable", "seconds"),
    [(True, MAX_REPEATABLE_ABSENCE_SECONDS), (False, DEAD_SECONDS)],
)
def test_a_repeatable_call_is_given_up_sooner(repeatable, seconds):
    watch = AttemptWatch(LIMITS)
    watch.observe({GATEWAY}, {OTHER}, 0.0)
    assert reason(watch, seconds - 0.1, repeatable=repeatable) is None
    assert reason(watch, seconds, repeatable=repeatable) is not None


def test_a_new_leader_counts_from_when_it_missed_the_gateway_itself():
    watch = AttemptWatch(LIMITS)
    watch.observe(set(), {GATEWAY, OTHER}, 0.0)
    watch.observe(set(), {OTHER}, 1.0)
    watch.observe({GATEWAY}, {OTHER}, 10.0)
    assert reason(watch, 1.0 + DEAD_SECONDS - 0.1) is None
    assert reason(watch, 1.0 + DEAD_SECONDS) is not None


def test_a_gateway_that_came_back_is_missed_anew():
    watch = AttemptWatch(LIMITS)
    watch.observe(set(), {GATEWAY}, 0.0)
    watch.observe(set(), {OTHER}, 1.0)
    watch.observe(set(), {GATEWAY, OTHER}, 2.0)
    watch.observe({GATEWAY}, {OTHER}, 12.0)
    assert reason(watch, 12.0 + DEAD_SECONDS - 0.1) is None


def test_members_that_are_long_gone_are_forgotten():
    watch = AttemptWatch(LIMITS)
    for incarnation in range(100):
        member = Member("daemon-1", incarnation)
        watch.observe(set(), {member}, 1000.0 * incarnation)
    assert watch.missing_count <= 2
