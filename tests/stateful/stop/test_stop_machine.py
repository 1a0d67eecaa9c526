"""STOP: a planned stop serves each call whole or refuses it unrun, and ends in time.

Random lives, the same ones in each run, and deliberate faults in the code that they must
catch.
"""

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.calls import planned_stop as calls_stop
from notcharch.calls.engine_run import EngineRun
from notcharch.calls.planned_stop import PlannedStop
from notcharch.http.drain import DrainTimes
from notcharch.http.server import ServerFactory
from notcharch.http.server_connection import ServerConnection
from notcharch.platform import planned_stop
from notcharch.platform.ingress import Ingress
from notcharch.platform.planned_stop import ProcessStop
from notcharch.scheduling import stop_decision
from tests.stateful.runs import RUN, assert_caught
from tests.stateful.stop.stop_machine import ShortCallsMachine, StopMachine

LIVES = settings(RUN, max_examples=60, stateful_step_count=25)
FAULT_RUN = settings(
    LIVES,
    max_examples=400,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
"""Ends with the first life that catches the fault, without a search for a shorter one."""


def test_a_planned_stop_cuts_nothing():
    run_state_machine_as_test(StopMachine, settings=LIVES)


def test_a_stop_with_short_calls_refuses_nothing():
    run_state_machine_as_test(ShortCallsMachine, settings=LIVES)


def random_lives():
    run_state_machine_as_test(StopMachine, settings=FAULT_RUN)


def lives_with_short_calls():
    run_state_machine_as_test(ShortCallsMachine, settings=FAULT_RUN)


def _decide_without_refusals(inputs):
    decision = stop_decision.decide(inputs)
    return msgspec.structs.replace(decision, is_refused=False)


def nothing_is_refused(monkeypatch):
    monkeypatch.setattr(calls_stop, "decide", _decide_without_refusals)


def unknown_calls_count_as_short(monkeypatch):
    def decide(inputs):
        if inputs.durations is None:
            return _decide_without_refusals(inputs)
        return stop_decision.decide(inputs)

    monkeypatch.setattr(calls_stop, "decide", decide)


def durations_are_not_learned(monkeypatch):
    """With deadlines alone, all calls of routes with long timeouts are refused."""
    monkeypatch.setattr(PlannedStop, "record", lambda *_: None)


def waiting_calls_are_not_looked_at_again(monkeypatch):
    monkeypatch.setattr(PlannedStop, "refuse_late", lambda _: None)


def requests_still_read_are_left_alone(monkeypatch):
    monkeypatch.setattr(ServerFactory, "refuse_unread", lambda *_: None)


def calls_at_engines_are_refused(monkeypatch):
    monkeypatch.setattr(EngineRun, "is_sent", False)


def the_rest_is_not_ended(monkeypatch):
    monkeypatch.setattr(PlannedStop, "cut_all", lambda _: None)


def busy_connections_are_closed(monkeypatch):
    monkeypatch.setattr(ServerConnection, "is_idle", True)


def a_drain_ends_with_the_last_request(monkeypatch):
    """Bytes in send buffers don't count."""
    monkeypatch.setattr(
        ProcessStop, "is_busy", lambda stop: stop._ingress.in_flight > 0
    )


def answers_keep_connections_open(monkeypatch):
    monkeypatch.setattr(Ingress, "is_closing", lambda _: False)


def the_stop_takes_the_whole_grace_period(monkeypatch):
    monkeypatch.setattr(
        planned_stop, "stop_times", lambda grace: DrainTimes(2.6, grace, grace)
    )


FAULTS = [
    nothing_is_refused,
    unknown_calls_count_as_short,
    waiting_calls_are_not_looked_at_again,
    requests_still_read_are_left_alone,
    calls_at_engines_are_refused,
    the_rest_is_not_ended,
    busy_connections_are_closed,
    a_drain_ends_with_the_last_request,
    answers_keep_connections_open,
    the_stop_takes_the_whole_grace_period,
]


@pytest.mark.parametrize("fault", FAULTS)
def test_the_lives_catch(fault, monkeypatch):
    assert_caught(fault, random_lives, monkeypatch)


def test_the_lives_with_short_calls_catch_needless_refusals(monkeypatch):
    assert_caught(durations_are_not_learned, lives_with_short_calls, monkeypatch)
