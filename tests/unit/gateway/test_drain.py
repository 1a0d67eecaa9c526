"""A drain refuses new calls and lets the running ones end."""

import pytest

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.wire.messages.programs import AdmitCall, FinishCall
from tests.unit.gateway.harness import GatewayHarness, refused


@pytest.fixture
def harness():
    return GatewayHarness()


def begin_drain(harness):
    drained = []
    harness.gateway.drain().addCallback(lambda _: drained.append(True))
    return drained


def test_new_calls_are_refused_at_once_and_running_ones_end(harness):
    program = harness.program()
    unstreamed = harness.call(program)
    streamed = harness.call(harness.program(), stream=True)
    first, second = harness.engines.streams
    second.token("one")
    drained = begin_drain(harness)
    # Another daemon may have run the call for an earlier request.
    for path, body, ran in (
        ("/v1/programs", {"service": "guide"}, "no"),
        (f"/v1/programs/{program}/calls", {}, "unknown"),
        ("/v1/chat/completions", {}, "unknown"),
    ):
        connection = harness.begin("POST", path, body)
        response = connection.response()
        assert (response.status, response.json["code"]) == (503, "draining")
        assert (response.json["ran"], response.json["retry_after"]) == (ran, 1.0)
        assert response.headers["connection"] == "close"
        assert connection.transport.disconnecting
    assert harness.fetch("GET", f"/v1/programs/{program}").status == 200
    first.answer("one")
    assert unstreamed.response().status == 200
    assert not drained
    second.end()
    assert streamed.response().events[-1] == "[DONE]"
    assert drained == [True]


def test_a_drain_without_calls_is_over_at_once(harness):
    assert begin_drain(harness) == [True]


def test_a_drain_waits_for_outcomes_that_are_not_stored_yet(harness):
    program = harness.program()
    no_reply = Problem.of(ProblemCode.UNAVAILABLE, "no reply", ran=Ran.UNKNOWN)
    harness.router.faults[FinishCall] = [refused(no_reply)] * 4
    harness.placer.problem = Problem.of(ProblemCode.OVERLOADED, "x", retry_after=1.0)
    caller = harness.call(program)
    harness.clock.advance(1)
    assert caller.response().status == 429
    drained = begin_drain(harness)
    assert not drained
    harness.clock.pump([1] * 10)
    assert drained == [True]


def test_those_who_wait_for_a_late_answer_are_told_to_come_back(harness):
    program = harness.program()
    harness.call(program)
    waiting = harness.begin("GET", f"/v1/programs/{program}/calls/1")
    begin_drain(harness)
    harness.clock.advance(5)
    assert waiting.response().status == 202


def test_a_drain_can_be_taken_back(harness):
    begin_drain(harness)
    harness.gateway.resume()
    harness.call(harness.program())
    harness.stream.answer("one")
    assert harness.gateway.running_calls == 0


def test_without_a_leader_nobody_says_that_the_call_did_not_run(harness):
    program = harness.program()
    unreachable = Problem.of(ProblemCode.NOT_LEADER, "nobody leads", ran=Ran.NO)
    harness.router.faults[AdmitCall] = [refused(unreachable)] * 8
    caller = harness.call(program)
    harness.clock.pump([1.0] * 30)
    response = caller.response()
    assert (response.status, response.json["ran"]) == (503, "unknown")
