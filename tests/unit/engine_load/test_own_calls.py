"""What a daemon reports of its own calls, and whom it expects to answer."""

from notcharch.engine_load.own_calls import OwnCalls
from notcharch.engine_load.tracker_answers import (
    MAX_UNANSWERED,
    REFUSED_SECONDS,
    SILENT_SECONDS,
    TrackerAnswers,
)
from notcharch.scheduling.load_trackers import TrackerViews


def views() -> TrackerViews:
    known = TrackerViews()
    known.update(("t",), 0.0)
    return known


def test_an_end_without_a_start_is_ignored():
    """A negative number would hide the calls of others."""
    calls = OwnCalls()
    calls.ended("s", "e", 0.01)
    calls.started("s", "e")
    calls.ended("s", "other", 0.01)
    calls.ended("s", "e", None)
    calls.ended("s", "e", None)
    assert calls.in_flight("s") == {}
    assert calls.take_changes("s", views())["t"].calls == {"e": 0}
    assert calls.take_changes("s", views()) == {}


def test_a_refresh_reports_calls_in_flight_only():
    """Ends of calls were reported; half as many notices again would repeat them."""
    calls = OwnCalls()
    calls.started("s", "ended")
    calls.ended("s", "ended", None)
    calls.started("s", "running")
    calls.take_changes("s", views())
    assert calls.take_refresh("s", views())["t"].calls == {"running": 1}


def test_discarded_changes_leave_no_trace():
    """Engines come and go while a service needs no exchange."""
    calls = OwnCalls()
    for number in range(100):
        calls.started("s", f"e{number}")
        calls.ended("s", f"e{number}", 0.01)
        calls.discard_changes("s")
    calls.started("s", "e")
    calls.discard_changes("s")
    assert calls.take_changes("s", views()) == {}
    assert calls.take_refresh("s", views())["t"].calls == {"e": 1}


def test_sequences_increase_over_all_notices():
    """A tracker orders notices by them, also those of two services."""
    calls = OwnCalls()
    sequences = []
    for service in ("s", "r", "s"):
        calls.started(service, "e")
        sequences.append(calls.take_changes(service, views())["t"].sequence)
    assert sequences == sorted(set(sequences))


def test_a_tracker_is_not_asked_after_three_missing_answers():
    """Each request to a dead tracker delays a call by 10 ms."""
    answers = TrackerAnswers()
    became = [answers.unanswered("t", 1.0) for _ in range(MAX_UNANSWERED)]
    assert became == [False, False, True]
    assert not answers.may_ask("t", 1.0 + SILENT_SECONDS - 0.01)
    assert answers.may_notify("t", 1.0)
    assert answers.may_ask("t", 1.0 + SILENT_SECONDS)
    assert not answers.unanswered("t", 2.0)
    assert not answers.may_ask("t", 2.0)
    assert answers.answered("t")
    assert answers.may_ask("t", 2.0)
    assert not answers.unanswered("t", 2.0)


def test_an_answer_between_missing_ones_keeps_a_tracker():
    """A single slow answer tells of a busy moment, not of a dead tracker."""
    answers = TrackerAnswers()
    for _ in range(MAX_UNANSWERED):
        answers.unanswered("t", 1.0)
        answers.answered("t")
        answers.unanswered("t", 1.0)
    assert answers.may_ask("t", 1.0)


def test_a_tracker_that_refuses_gets_no_messages():
    """An older build logs each of them."""
    answers = TrackerAnswers()
    answers.refused("t", 1.0)
    assert not answers.may_notify("t", 1.0)
    assert not answers.may_ask("t", REFUSED_SECONDS)
    assert answers.may_ask("t", 1.0 + REFUSED_SECONDS)


def test_members_that_have_left_are_forgotten():
    """Daemons are replaced all day."""
    answers = TrackerAnswers()
    for _ in range(MAX_UNANSWERED):
        answers.unanswered("t", 1.0)
    answers.refused("t", 1.0)
    answers.keep(["other"])
    assert answers.may_ask("t", 1.0)
