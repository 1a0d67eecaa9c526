"""A group that was rebuilt may have lost commands; programs must not trust its gaps."""

import msgspec
import pytest

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.programs.commands import ReadBarrier
from notcharch.programs.state import ProgramsState
from notcharch.replication.epochs import first_epoch_of
from notcharch.wire.messages.programs import (
    AwaitAnswer,
    CallAdmitted,
    CallAnswered,
    CallFailed,
    CreateProgram,
    DescribeProgram,
    DispatchCall,
    EndProgram,
    FinishCall,
    FinishRecorded,
)
from tests.unit.programs.fakes import (
    OTHER_GATEWAY,
    OTHER_PROGRAM,
    PARTITION,
    PROGRAM,
    START,
    Leader,
    answer,
)
from tests.unit.programs.test_call_path import admit, created
from tests.unit.programs.test_faults import code_of


def run_call(leader, sequence, **changes):
    admitted = leader.send(admit(sequence, f"{sequence}", **changes))
    assert isinstance(admitted, CallAdmitted)
    leader.send(DispatchCall(PROGRAM, sequence, admitted.attempt, "engine-1"))
    finish = FinishCall(PROGRAM, sequence, admitted.attempt, answer())
    assert leader.send(finish) == FinishRecorded()
    return admitted


def with_one_call():
    leader = created()
    leader.replicas.lead(first_epoch_of(1))
    run_call(leader, 1)
    return leader


def rebuild(leader, survived):
    """Go on in a new generation from what survived."""
    state = ProgramsState()
    state.restore(survived)
    leader.replicas.states[PARTITION] = state
    leader.replicas.lead(first_epoch_of(2))


def lose(leader, *messages):
    """Carry out messages whose commands are lost when the group is rebuilt."""
    survived = leader.state.snapshot()
    for message in messages:
        leader.send(message)
    rebuild(leader, survived)


def is_outcome_unknown(reply):
    return isinstance(reply, CallFailed) and reply.problem.code == "outcome_unknown"


UNREPEATABLE = admit(2, "2", repeatable=False)
DISPATCH = DispatchCall(PROGRAM, 2, 1, "engine-1")
FINISH = FinishCall(PROGRAM, 2, 1, answer())
STEPS = (UNREPEATABLE, DISPATCH, FINISH)
CASES = [(kept, end) for end in range(4) for kept in range(max(1, end))]


@pytest.mark.parametrize(("kept", "end"), CASES)
def test_an_unrepeatable_call_is_never_run_again(kept, end):
    """Of the steps of a call up to `end`, those after the first `kept` are lost."""
    leader = with_one_call()
    for message in STEPS[:kept]:
        leader.send(message)
    lose(leader, *STEPS[kept:end])
    again = msgspec.structs.replace(UNREPEATABLE, gateway=OTHER_GATEWAY)
    reply = leader.send(again)
    assert is_outcome_unknown(reply)
    assert reply.problem.ran is Ran.UNKNOWN
    assert leader.send(again) == reply
    assert code_of(leader.send(admit(2, "other"))) == "sequence_conflict"
    assert code_of(leader.send(FINISH)) == "stale_epoch"
    assert leader.send(admit(1, "1")) == CallAnswered(1, answer())


def test_the_doubt_is_over_after_one_call():
    leader = with_one_call()
    lose(leader)
    assert is_outcome_unknown(leader.send(UNREPEATABLE))
    history = run_call(leader, 3, repeatable=False).history
    assert len(history) == 2


def test_a_repeatable_call_runs_and_ends_the_doubt():
    leader = with_one_call()
    lose(leader)
    run_call(leader, 2)
    run_call(leader, 3, repeatable=False)


def test_a_caller_that_goes_back_runs_nothing_unrepeatable_again():
    """Calls 2, 3 and 4 are lost; the caller repeats its last, then goes back."""
    leader = with_one_call()
    survived = leader.state.snapshot()
    run_call(leader, 2, repeatable=False)
    run_call(leader, 3)
    fourth = admit(4, "4", repeatable=False)
    leader.send(fourth)
    leader.send(DispatchCall(PROGRAM, 4, 1, "engine-1"))
    rebuild(leader, survived)
    early = leader.send(fourth)
    assert (code_of(early), early.retry_after) == ("sequence_conflict", 0.5)
    assert is_outcome_unknown(leader.send(UNREPEATABLE))
    run_call(leader, 3)
    assert is_outcome_unknown(leader.send(fourth))
    run_call(leader, 5, repeatable=False)


def test_a_waiting_call_and_its_reservation():
    """Who waits is told at once, what was reserved stays charged."""
    leader = with_one_call()
    leader.send(UNREPEATABLE)
    reserved = leader.send(DescribeProgram(PROGRAM, None)).reserved_tokens
    lose(leader, DISPATCH)
    assert is_outcome_unknown(leader.send(AwaitAnswer(PROGRAM, "tenant-1", 2, 0.0)))
    assert leader.send(DescribeProgram(PROGRAM, None)).reserved_tokens == reserved


def test_an_old_gateway_cannot_act_for_a_new_attempt():
    leader = with_one_call()
    lose(leader, admit(2, "2"))
    assert isinstance(leader.send(admit(2, "2", gateway=OTHER_GATEWAY)), CallAdmitted)
    assert code_of(leader.send(DISPATCH)) == "stale_epoch"
    assert code_of(leader.send(FINISH)) == "stale_epoch"


def test_nothing_is_said_before_the_mark():
    leader = with_one_call()
    leader.send(admit(2, "2"))
    refused = Problem.of(ProblemCode.OVERLOADED, "queue is full", ran=Ran.NO)
    leader.send(FinishCall(PROGRAM, 2, 1, problem=refused))
    leader.replicas.unknown = lambda command: "lost"
    rebuild(leader, leader.state.snapshot())
    waiting = AwaitAnswer(PROGRAM, "tenant-1", 2, 0.0)
    assert code_of(leader.send(waiting)) == "unavailable"
    leader.replicas.unknown = lambda command: ""
    assert leader.send(waiting).problem.ran is Ran.UNKNOWN


@pytest.mark.parametrize("kept", [0, 1])
def test_refusals_do_not_say_no_of_a_lost_dispatch(kept):
    leader = with_one_call()
    first = admit(2, "2")
    for message in (first, DISPATCH)[:kept]:
        leader.send(message)
    lose(leader, *(first, DISPATCH)[kept:])
    leader.send(EndProgram(PROGRAM, "tenant-1"))
    assert leader.send(first).ran is Ran.UNKNOWN


def test_a_later_leader_of_the_generation_doubts_nothing_again():
    leader = with_one_call()
    lose(leader)
    assert is_outcome_unknown(leader.send(UNREPEATABLE))
    leader.replicas.lead(first_epoch_of(2) + 1)
    run_call(leader, 3, repeatable=False)


def test_replicas_mark_alike_whatever_their_order():
    """A child, whose name sorts first, shares its parent's budget."""
    leader = Leader()
    leader.send(CreateProgram(OTHER_PROGRAM, "guide", "tenant-1"))
    leader.send(CreateProgram(PROGRAM, "guide", "tenant-1", OTHER_PROGRAM))
    for program in (OTHER_PROGRAM, PROGRAM):
        leader.send(admit(program=program))
        leader.send(DispatchCall(program, 1, 1, "engine-1"))
    restored = ProgramsState()
    restored.restore(leader.state.snapshot())
    for state in (leader.state, restored):
        state.apply(ReadBarrier(START), first_epoch_of(2))
    assert restored.snapshot() == leader.state.snapshot()
