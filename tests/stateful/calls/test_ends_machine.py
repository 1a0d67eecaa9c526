"""ORDER and MIXED: an answer that was broken off never looks whole, and whole ones come.

Random schedules of faults, the same ones in each run, and deliberate faults in the code
that they must catch.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.calls import event_stream
from notcharch.calls.end_check import (
    EndCheck,
    EndVerdict,
    ProcessQuestion,
    ResumptionQuestion,
)
from notcharch.calls.engine_run import EngineRun
from notcharch.http import client
from tests.stateful.calls.ends_machine import EndsMachine
from tests.stateful.runs import RUN, assert_caught

SCHEDULES = settings(RUN, max_examples=200, stateful_step_count=40)
FAULT_RUN = settings(
    SCHEDULES,
    max_examples=600,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
"""Ends with the first schedule that catches the fault, without a search for a shorter one."""


def test_answers_that_look_whole_are_whole():
    run_state_machine_as_test(EndsMachine, settings=SCHEDULES)


def random_schedules():
    run_state_machine_as_test(EndsMachine, settings=FAULT_RUN)


def an_end_inside_an_event_is_believed(monkeypatch):
    monkeypatch.setattr(EngineRun, "_is_inside_event", lambda *_: False)


def an_end_that_the_connection_tells_is_believed(monkeypatch):
    monkeypatch.setattr(EngineRun, "_check_end", EngineRun._complete)


def a_refused_connection_is_no_sign(monkeypatch):
    monkeypatch.setattr(
        EndCheck, "unreachable", lambda check: check._end(EndVerdict.UNKNOWN)
    )


def another_process_counts_as_the_one_that_answered(monkeypatch):
    monkeypatch.setattr(ProcessQuestion, "verdict", lambda *_: EndVerdict.LIVES)


def events_that_follow_are_ignored(monkeypatch):
    monkeypatch.setattr(ResumptionQuestion, "verdict_of_data", lambda *_: None)


def silence_breaks_an_answer(monkeypatch):
    monkeypatch.setattr(EndCheck, "_expire", lambda check: check._end(EndVerdict.GONE))


def a_closed_idle_connection_breaks_an_answer(monkeypatch):
    monkeypatch.setattr(
        EndCheck, "failed", lambda check, _failure: check._end(EndVerdict.GONE)
    )


def a_reset_counts_as_a_close(monkeypatch):
    original = client.ClientConnection._disconnected_in_flight
    monkeypatch.setattr(
        client.ClientConnection,
        "_disconnected_in_flight",
        lambda connection, _is_clean: original(connection, True),
    )


def only_line_feeds_end_lines(monkeypatch):
    monkeypatch.setattr(event_stream, "_last_event_end", event_stream._last_lf_end)


FAULTS = [
    an_end_inside_an_event_is_believed,
    an_end_that_the_connection_tells_is_believed,
    a_refused_connection_is_no_sign,
    another_process_counts_as_the_one_that_answered,
    events_that_follow_are_ignored,
    silence_breaks_an_answer,
    a_closed_idle_connection_breaks_an_answer,
    a_reset_counts_as_a_close,
    only_line_feeds_end_lines,
]


@pytest.mark.parametrize("fault", FAULTS)
def test_each_deliberate_fault_is_caught(fault, monkeypatch):
    assert_caught(fault, random_schedules, monkeypatch)
