"""A daemon that is ready late, or says that it is ready when it is not, is seen."""

import pytest

from deploy.soak.recovery import (
    MEASURING_SECONDS,
    RECOVERY_SECONDS,
    ReadyAnswer,
    Recovery,
    judge_ready_answer,
)

LIMIT = RECOVERY_SECONDS + MEASURING_SECONDS


def rules(recovery: Recovery) -> list[str]:
    return [violation.rule for violation in recovery.violations]


@pytest.mark.parametrize(
    ("seconds", "found"), [(LIMIT - 0.1, []), (LIMIT + 0.1, ["RECOVER"])]
)
def test_a_daemon_that_is_never_ready_after_its_last_cause_is_seen(seconds, found):
    recovery = Recovery("d0", 0.0)
    recovery.observe(100.0, ["a port is held"])
    recovery.observe(100.0 + seconds, [])
    assert rules(recovery) == found


def test_a_late_daemon_is_told_once():
    recovery = Recovery("d0", 0.0)
    recovery.observe(1.1 + LIMIT, [])
    recovery.observe(9.0 + LIMIT, [])
    assert rules(recovery) == ["RECOVER"]


def test_the_time_counts_from_the_last_cause():
    recovery = Recovery("d0", 0.0)
    recovery.observe(0.0, ["paused"])
    recovery.observe(10.0, ["stopping"])
    recovery.observe(9.9 + LIMIT, [])
    assert rules(recovery) == []


def test_a_daemon_that_is_ready_in_time_and_stays_so_passes():
    recovery = Recovery("d0", 0.0)
    recovery.observe(10.0, ["paused"])
    for second in range(13, 60):
        recovery.heard_ready(float(second))
        recovery.observe(float(second), [])
    assert rules(recovery) == []
    assert recovery.slowest == 3.0


def test_a_daemon_that_stops_being_ready_without_a_cause_is_seen():
    recovery = Recovery("d0", 0.0)
    recovery.heard_ready(5.0)
    recovery.observe(5.1 + LIMIT, [])
    assert rules(recovery) == ["RECOVER"]


def test_the_soak_waits_for_a_daemon_until_it_is_ready_or_late():
    recovery = Recovery("d0", 0.0)
    assert not recovery.is_settled
    recovery.heard_ready(1.0)
    assert recovery.is_settled
    recovery.observe(2.0, ["no process"])
    assert not recovery.is_settled
    recovery.observe(2.1 + LIMIT, [])
    assert recovery.is_settled


@pytest.mark.parametrize(
    ("interrupted", "held", "accepted", "found"),
    [
        (False, False, True, []),
        (False, False, False, ["READY"]),
        (False, True, True, ["READY"]),
        (True, False, False, []),
    ],
)
def test_a_daemon_that_says_it_is_ready_takes_callers(
    interrupted, held, accepted, found
):
    answer = ReadyAnswer(
        "d0", was_interrupted=interrupted, front_is_held=held, is_accepted=accepted
    )
    assert [violation.rule for violation in judge_ready_answer(answer)] == found
