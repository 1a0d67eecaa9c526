"""REFUSED: what is answered 408, 421, 429 or 503 has not run and never will.

Random schedules of faults, the same ones in each run, and deliberate faults in the code
that they must catch.
"""

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.calls import call_lifecycle
from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.engine_run import EngineRun
from notcharch.calls.interface import MAY_HAVE_RUN, TIMED_OUT
from notcharch.platform.headers import PlatformDialect
from tests.stateful.calls.refusals_machine import RefusalsMachine
from tests.stateful.runs import RUN, assert_caught

SCHEDULES = settings(RUN, max_examples=200)
FAULT_RUN = settings(
    SCHEDULES,
    max_examples=600,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
"""Ends with the first schedule that catches the fault, without a search for a shorter one.

With 200 schedules, seven of eight random runs caught the fault that is hardest to meet.
"""


def test_refused_calls_have_not_run():
    run_state_machine_as_test(RefusalsMachine, settings=SCHEDULES)


def random_schedules():
    run_state_machine_as_test(RefusalsMachine, settings=FAULT_RUN)


def a_reset_counts_as_not_sent(monkeypatch):
    monkeypatch.setattr(EngineRun, "failed", lambda run, _failure: run.unreachable())


def every_503_counts_as_a_rejection(monkeypatch):
    monkeypatch.setattr(
        PlatformDialect, "was_not_run", lambda _dialect, head: head.status in (421, 503)
    )


def a_rejection_of_an_earlier_call_is_believed(monkeypatch):
    monkeypatch.setattr(PlatformDialect, "is_response_to", lambda *_: True)


def refusals_of_engines_are_relayed(monkeypatch):
    monkeypatch.setattr(call_lifecycle, "REFUSAL_STATUSES", ())


def a_deadline_at_an_engine_is_a_refusal(monkeypatch):
    refusal = msgspec.structs.replace(TIMED_OUT, status=408)
    monkeypatch.setattr(call_lifecycle, "TIMED_OUT", refusal)


def an_unknown_outcome_is_a_refusal(monkeypatch):
    refusal = msgspec.structs.replace(MAY_HAVE_RUN, status=503)
    monkeypatch.setattr(call_lifecycle, "MAY_HAVE_RUN", refusal)


def calls_that_may_have_run_are_sent_again(monkeypatch):
    monkeypatch.setattr(CallLifecycle, "_allows_runs", lambda *_: True)


FAULTS = [
    a_reset_counts_as_not_sent,
    every_503_counts_as_a_rejection,
    a_rejection_of_an_earlier_call_is_believed,
    refusals_of_engines_are_relayed,
    a_deadline_at_an_engine_is_a_refusal,
    an_unknown_outcome_is_a_refusal,
    calls_that_may_have_run_are_sent_again,
]


@pytest.mark.parametrize("fault", FAULTS)
def test_each_deliberate_fault_is_caught(fault, monkeypatch):
    assert_caught(fault, random_schedules, monkeypatch)
