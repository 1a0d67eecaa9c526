"""Random histories of streams within grants, and deliberate faults of gateways."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from notcharch.accounts import call_grant
from notcharch.accounts.call_grant import CallGrant
from notcharch.accounts.limited_tenants import NOT_OWNER
from notcharch.calls.grant_gate import GrantGate
from tests.stateful.accounts.streams_machine import StreamsMachine
from tests.stateful.runs import RUN, assert_caught
from tests.unit.accounts import test_call_grant, test_streamed_calls


def test_streams_keep_within_budgets_and_end_whole():
    """Guards against events beyond the grant, and against streams that stand still."""
    run_state_machine_as_test(StreamsMachine, settings=RUN)


def all_events_pass(monkeypatch):
    monkeypatch.setattr(GrantGate, "add", lambda _, data, events: data)


def all_that_waits_is_wanted(monkeypatch):
    monkeypatch.setattr(
        call_grant, "wanted_tokens", lambda events, call: call.max_tokens
    )


def nothing_is_asked_again(monkeypatch):
    monkeypatch.setattr(CallGrant, "_request_later", lambda _: None)


def ended_calls_ask_on(monkeypatch):
    monkeypatch.setattr(CallGrant, "stop_requests", lambda _: None)


BREAKS = [
    (
        all_events_pass,
        test_streamed_calls.test_a_stream_waits_while_the_log_refuses_and_then_goes_on,
    ),
    (
        all_that_waits_is_wanted,
        test_call_grant.test_the_next_event_is_wanted_however_many_wait,
    ),
    (
        nothing_is_asked_again,
        lambda: (
            test_call_grant.test_a_request_without_a_decision_is_repeated_while_the_call_lives(
                NOT_OWNER
            )
        ),
    ),
    (
        ended_calls_ask_on,
        lambda: test_call_grant.test_the_end_of_a_call_ends_its_requests(
            is_answered=True, end="interrupted"
        ),
    ),
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)
