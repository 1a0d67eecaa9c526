"""When the store counts as down, by failed and answered heartbeats."""

from notcharch.journal.store_outage import (
    CONFIRMED_AFTER_SECONDS,
    KNOWN_AFTER_SECONDS,
    StoreOutage,
)


def test_a_lost_heartbeat_is_no_outage():
    outage = StoreOutage()
    outage.failed(due_at=10.0, now=10.45)
    assert outage.known_seconds(10.5) == 0.0
    outage.answered(10.56)
    assert outage.known_seconds(20.0) == 0.0
    assert not outage.holds_calls


def test_an_outage_is_known_by_the_time_since_an_answer_was_due():
    outage = StoreOutage()
    outage.failed(due_at=10.0, now=10.1)
    assert outage.known_seconds(10.0 + KNOWN_AFTER_SECONDS - 0.01) == 0.0
    assert outage.known_seconds(12.0) == 2.0
    outage.failed(due_at=10.0, now=11.0)
    assert outage.known_seconds(12.0) == 2.0
    assert outage.answered(13.0) == 3.0


def test_a_daemon_that_stood_still_does_not_take_that_for_an_outage():
    # After a pause, time-outs are handled before the answers that have arrived.
    outage = StoreOutage()
    outage.failed(due_at=10.0, now=15.0)
    assert outage.known_seconds(15.0 + CONFIRMED_AFTER_SECONDS - 0.01) == 0.0
    outage.answered(15.11)
    assert outage.known_seconds(15.2) == 0.0


def test_other_calls_are_held_from_the_second_failure_to_the_first_answer():
    outage = StoreOutage()
    outage.failed(due_at=10.0, now=10.0)
    assert not outage.holds_calls
    outage.failed(due_at=10.0, now=10.35)
    assert outage.holds_calls
    outage.answered(11.0)
    assert not outage.holds_calls
