"""A gateway that cannot reach the leader reports `ran` as unknown.

Another daemon may have run an earlier attempt of the call before it crashed.
"""

import pytest

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.wire.messages.programs import AwaitAnswer, CreateProgram, DescribeProgram
from tests.unit.gateway.harness import GatewayHarness, refused

LEADER_FAILURES = [
    Problem.of(ProblemCode.UNAVAILABLE, "not sent"),
    Problem.of(ProblemCode.NOT_LEADER, "this daemon does not lead the partition"),
    Problem.of(ProblemCode.TIMED_OUT, "no reply", ran=Ran.UNKNOWN),
]
REFUSAL_COUNT = 20


@pytest.fixture
def harness():
    return GatewayHarness()


def create_program_elsewhere(harness):
    """Create a program whose service this gateway does not know."""
    program = "region1-1-00000000000000aa"
    created = CreateProgram(program, "guide", "tenant-1", None)
    harness.leader.network.send(created)
    return program


@pytest.mark.parametrize("problem", LEADER_FAILURES, ids=lambda problem: problem.code)
@pytest.mark.parametrize("method", ["POST", "GET"])
def test_a_call_whose_program_cannot_be_read_may_have_run(harness, problem, method):
    program = create_program_elsewhere(harness)
    harness.router.faults[DescribeProgram] = [refused(problem)] * REFUSAL_COUNT
    if method == "POST":
        caller = harness.call(program, repeatable=False)
    else:
        caller = harness.begin("GET", f"/v1/programs/{program}/calls/1")
    harness.clock.pump([1] * REFUSAL_COUNT)
    response = caller.response()
    assert (response.status, response.json["code"]) == (503, "unavailable")
    assert response.json["ran"] == "unknown"
    assert len(harness.router.faults[DescribeProgram]) < REFUSAL_COUNT


def test_an_answer_that_cannot_be_asked_for_may_exist(harness):
    program = harness.program()
    harness.call(program)
    harness.router.faults[AwaitAnswer] = [refused(LEADER_FAILURES[0])] * REFUSAL_COUNT
    caller = harness.begin("GET", f"/v1/programs/{program}/calls/1")
    harness.clock.pump([1] * REFUSAL_COUNT)
    assert caller.response().json["ran"] == "unknown"


def test_a_program_that_does_not_exist_ran_nothing(harness):
    program = harness.program()
    caller = harness.call(program[:-1] + "x")
    assert (caller.response().status, caller.response().json["ran"]) == (404, "no")
