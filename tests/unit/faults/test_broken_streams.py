"""The last event of a stream that was interrupted.

It must contain a retry time if the call can be retried, and the final outcome
otherwise.
"""

import json

import pytest

from notcharch.errors import Problem, ProblemCode, Ran
from tests.unit.gateway.harness import GatewayHarness


def forgotten(ran):
    """Build the problem of a restarted engine, which contains no retry time."""
    return Problem.of(ProblemCode.ENGINE_FAILED, "it has forgotten", ran=ran)


@pytest.fixture
def harness():
    return GatewayHarness()


def broken_stream(harness, program, ran, *, repeatable):
    """Interrupt a stream after its first token; return the caller's last event."""
    caller = harness.call(program, stream=True, repeatable=repeatable)
    harness.stream.token("one")
    harness.stream.fail(forgotten(ran))
    return json.loads(caller.response().events[-1])["error"]


@pytest.mark.parametrize("ran", [Ran.YES, Ran.UNKNOWN])
def test_the_caller_of_a_repeatable_call_is_told_to_come_back(harness, ran):
    program = harness.program()
    error = broken_stream(harness, program, ran, repeatable=True)
    assert (error["code"], error["ran"]) == ("engine_failed", ran.value)
    assert error["retry_after"] == 1.0
    again = harness.call(program, stream=True)
    harness.stream.answer("second")
    assert again.response().content == "second"


@pytest.mark.parametrize("ran", [Ran.YES, Ran.UNKNOWN])
def test_the_caller_of_an_unrepeatable_call_reads_its_final_outcome(harness, ran):
    program = harness.program()
    error = broken_stream(harness, program, ran, repeatable=False)
    assert (error["code"], error["ran"]) == ("outcome_unknown", "unknown")
    assert error["retry_after"] is None
    later = harness.call(program, repeatable=False).response()
    assert (later.json["code"], later.json["ran"]) == ("outcome_unknown", "unknown")
    assert len(harness.engines.streams) == 1
