"""ORDER: a stream holds events of one software version, over all attempts of its caller.

Random schedules of faults, the same ones in each run, and deliberate faults in the code
that they must catch.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.calls.engines import EnginePool
from notcharch.calls.stream_version import StreamVersion
from notcharch.calls.version_filter import VersionFilter
from notcharch.scheduling.software_versions import SETTLING_SECONDS, SoftwareVersions
from notcharch.scheduling.stream_origin import (
    FoundOrigin,
    OriginSource,
    StreamOrigin,
)
from notcharch.stream_origins import exchange
from tests.stateful.runs import RUN, assert_caught
from tests.stateful.stream_origins.stream_machine import RestartMachine, StreamMachine

SCHEDULES = settings(RUN, max_examples=150, stateful_step_count=40)
FAULT_RUN = settings(
    SCHEDULES,
    max_examples=1500,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
"""Ends with the first schedule that catches the fault, without a search for a shorter one."""


@pytest.mark.parametrize("machine", [StreamMachine, RestartMachine])
def test_no_stream_has_events_of_two_versions(machine):
    run_state_machine_as_test(machine, settings=SCHEDULES)


def random_schedules():
    run_state_machine_as_test(StreamMachine, settings=FAULT_RUN)


def schedules_with_restarts():
    run_state_machine_as_test(RestartMachine, settings=FAULT_RUN)


def streams_go_on_at_any_version(monkeypatch):
    monkeypatch.setattr(
        VersionFilter, "allowed", lambda _filter, _service, states, _rule, _now: states
    )


def resumed_streams_are_not_searched_for(monkeypatch):
    monkeypatch.setattr(StreamVersion, "find", lambda _stream, then: then(None))


def an_unknown_origin_is_guessed(monkeypatch):
    guess = FoundOrigin(StreamOrigin("s", "v1"), OriginSource.ONLY_VERSION)
    monkeypatch.setattr(exchange, "NOT_FOUND", guess)


def a_listed_version_is_certain_although_there_were_others(monkeypatch):
    def only(versions, service, now):
        known = versions._services.get(service, {})
        listed = [name for name, times in known.items() if times.is_listed]
        return listed[0] if len(listed) == 1 else ""

    monkeypatch.setattr(SoftwareVersions, "_only_version", only)


def a_claim_rests_on_a_list_that_was_read_before_the_question(monkeypatch):
    def only(versions, service, since, now):
        is_recent = versions.age_seconds(now) < SETTLING_SECONDS
        return versions._only_version(service, now) if is_recent else ""

    monkeypatch.setattr(SoftwareVersions, "only_version", only)


def engines_are_not_asked_for_their_starts(monkeypatch):
    monkeypatch.setattr(EnginePool, "must_confirm", lambda *_: False)


FAULTS = [
    streams_go_on_at_any_version,
    resumed_streams_are_not_searched_for,
    an_unknown_origin_is_guessed,
    a_listed_version_is_certain_although_there_were_others,
    a_claim_rests_on_a_list_that_was_read_before_the_question,
]


def test_engines_that_are_not_asked_for_their_starts_are_caught(monkeypatch):
    fault = engines_are_not_asked_for_their_starts
    assert_caught(fault, schedules_with_restarts, monkeypatch)


@pytest.mark.parametrize("fault", FAULTS)
def test_each_deliberate_fault_is_caught(fault, monkeypatch):
    assert_caught(fault, random_schedules, monkeypatch)
