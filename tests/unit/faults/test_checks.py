"""Each check of the fault experiment reports its own kind of violation only."""

import pytest

from emulator.engine.counters import EngineCounters
from emulator.http.control_server import EmulatorSnapshot, EngineSnapshot
from experiments.faults.caller import read_stream
from experiments.faults.checks import LEAVING_SECONDS, all_checks
from experiments.faults.facts import CallerFacts, CallName, CutCause, SpentCall
from experiments.faults.region import RunningDaemon

BUDGET = 100
NAME = CallName("region1-1-a", 2)


def snapshot(effects=(), blocks=0, leaving_seconds=0.0):
    counters = EngineCounters(last_accepted_leaving_seconds=leaving_seconds)
    engine = EngineSnapshot(
        "application-1",
        "127.0.0.1:1",
        "application_engine",
        "live",
        drained=False,
        role="",
        pools=("application",),
        adapters=(),
        running=0,
        waiting=0,
        free_blocks=10,
        total_blocks=10,
        blocks_by_program={"region1-1-a": blocks},
        counters=counters,
        side_effects=dict.fromkeys(effects, "region1-1-a"),
    )
    return EmulatorSnapshot((engine,), (), 0, {}, 0, {})


def failed_checks(facts, **engine_state):
    checks = all_checks(facts, snapshot(**engine_state), BUDGET)
    return {check.name for check in checks if check.count}


ONCE = ("region1-1-a/2/1",)
TWICE = (*ONCE, "region1-1-a/2/2")
VIOLATIONS = [
    ({"wrong_answers": [NAME]}, {}, "wrong answers"),
    ({"wrong_histories": ["x"]}, {}, "lost or mixed histories"),
    ({"unrepeatable": {NAME}}, {"effects": TWICE}, "unrepeatable calls that ran twice"),
    ({"not_run": [NAME]}, {"effects": ONCE}, 'calls that ran after `ran: "no"`'),
    (
        {"lost_answers": [NAME]},
        {"effects": ("region1-1-a/1/1",)},
        'calls that never ran despite `ran: "yes"`',
    ),
    (
        {"spending": [SpentCall(NAME, 51)]},
        {"effects": TWICE},
        "programs over their budget",
    ),
    ({}, {"blocks": 1}, "engines with memory of ended programs"),
    (
        {},
        {"leaving_seconds": LEAVING_SECONDS + 0.1},
        "engines with new work though long leaving",
    ),
    ({"failures": ["x"]}, {}, "programs that ended by a failure"),
    (
        {"cut_details": ["planned_stop: d"]},
        {},
        "requests cut by planned stops",
    ),
    ({"cut_details": ["none: d"]}, {}, "requests cut without a fault"),
]


@pytest.mark.parametrize(("observed", "engine_state", "name"), VIOLATIONS, ids=str)
def test_a_break_is_found_by_its_check_only(observed, engine_state, name):
    assert failed_checks(CallerFacts(**observed), **engine_state) == {name}


def test_what_faults_may_bring_about_is_no_finding():
    facts = CallerFacts(
        unrepeatable={NAME},
        unknown_outcomes=[NAME],
        lost_answers=[NAME],
        spending=[SpentCall(NAME, BUDGET)],
        cut_details=["kill: d", "pause: d"],
    )
    assert failed_checks(facts, effects=ONCE, leaving_seconds=LEAVING_SECONDS) == set()


STREAMS = [
    (b"", None),
    (b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n', None),
    (b'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n', b"a"),
    (b'data: {"error":{"code":"engine_failed"}}\n\n', "engine_failed"),
]


@pytest.mark.parametrize(("data", "expected"), STREAMS)
def test_a_stream_without_its_end_is_cut(data, expected):
    end = read_stream(data)
    if expected is None:
        assert end is None
    elif isinstance(expected, bytes):
        assert (end.data, end.problem) == (expected, None)
    else:
        assert end.problem.code == expected


CUTS = [
    ({}, CutCause.NONE),
    ({"is_killed": True}, CutCause.KILL),
    ({"killed_at": 9.0}, CutCause.NONE),
    ({"killed_at": 11.0}, CutCause.KILL),
    ({"is_paused": True}, CutCause.PAUSE),
    ({"resumed_at": 11.0}, CutCause.PAUSE),
    ({"is_stopping": True}, CutCause.PLANNED_STOP),
    ({"stopped_at": 9.0}, CutCause.NONE),
    ({"stopped_at": 11.0}, CutCause.PLANNED_STOP),
]


@pytest.mark.parametrize(("state", "cause"), CUTS)
def test_a_cut_is_blamed_on_the_fault_since_the_request_began(state, cause):
    daemon = RunningDaemon("zone1-a", "zone1", child=None, **state)
    assert daemon.cause_of_cut(begun_at=10.0) is cause
