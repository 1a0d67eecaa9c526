"""A gateway that could not ask the leader says nothing certain about a call.

The caller may have asked another daemon before, which ran the call and died.
"""

import pytest

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.wire.messages.programs import AwaitAnswer, CreateProgram, DescribeProgram
from tests.unit.gateway.harness import GatewayHarness, refused

UNREACHED = [
    Problem.of(ProblemCode.UNAVAILABLE, "not sent"),
    Problem.of(ProblemCode.NOT_LEADER, "this daemon does not lead the partition"),
    Problem.of(ProblemCode.TIMED_OUT, "no reply", ran=Ran.UNKNOWN),
]
MANY = 20


@pytest.fixture
def harness():
    return GatewayHarness()


def of_another_gateway(harness):
    """Create a program of which this gateway does not know the service."""
    program = "region1-1-00000000000000aa"
    created = CreateProgram(program, "guide", "tenant-1", None)
    harness.leader.network.send(created)
    return program


@pytest.mark.parametrize("problem", UNREACHED, ids=lambda problem: problem.code)
@pytest.mark.parametrize("method", ["POST", "GET"])
def test_a_call_whose_program_cannot_be_read_may_have_run(harness, problem, method):
    program = of_another_gateway(harness)
    harness.router.faults[DescribeProgram] = [refused(problem)] * MANY
    if method == "POST":
        caller = harness.call(program, repeatable=False)
    else:
        caller = harness.begin("GET", f"/v1/programs/{program}/calls/1")
    harness.clock.pump([1] * MANY)
    response = caller.response()
    assert (response.status, response.json["code"]) == (503, "unavailable")
    assert response.json["ran"] == "unknown"
    assert len(harness.router.faults[DescribeProgram]) < MANY


def test_an_answer_that_cannot_be_asked_for_may_exist(harness):
    program = harness.program()
    harness.call(program)
    harness.router.faults[AwaitAnswer] = [refused(UNREACHED[0])] * MANY
    caller = harness.begin("GET", f"/v1/programs/{program}/calls/1")
    harness.clock.pump([1] * MANY)
    assert caller.response().json["ran"] == "unknown"


def test_a_program_that_does_not_exist_ran_nothing(harness):
    program = harness.program()
    caller = harness.call(program[:-1] + "x")
    assert (caller.response().status, caller.response().json["ran"]) == (404, "no")
