"""Calls through the leader service, from admission to outcome."""

from notcharch.wire.messages.programs import (
    AdmitCall,
    AwaitAnswer,
    CallAdmitted,
    CallAnswered,
    CallInProgress,
    CreateProgram,
    DescribeProgram,
    DispatchCall,
    DispatchRecorded,
    EndProgram,
    FinishCall,
    FinishRecorded,
    HistoryPage,
    ProgramCreated,
    ProgramEnded,
    ReadHistory,
)
from tests.unit.programs.fakes import GATEWAY, PROGRAM, Leader, answer, user


def admit(sequence=1, digest="a", *, repeatable=True, gateway=GATEWAY, **changes):
    fields = {
        "program": PROGRAM,
        "tenant": "tenant-1",
        "sequence": sequence,
        "body_digest": digest,
        "messages": (user(),),
        "max_tokens": 50,
        "repeatable": repeatable,
        "gateway": gateway,
    }
    return AdmitCall(**{**fields, **changes})


def created(**settings):
    leader = Leader(**settings)
    reply = leader.send(CreateProgram(PROGRAM, "guide", "tenant-1"))
    assert reply == ProgramCreated(PROGRAM)
    return leader


def test_two_calls_and_the_end():
    leader = created()
    first = leader.send(admit())
    assert isinstance(first, CallAdmitted)
    assert (first.attempt, first.history, first.prompt_tokens) == (1, (), 13)
    assert leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1")) == DispatchRecorded(1)
    waiting = leader.begin(AwaitAnswer(PROGRAM, "tenant-1", 1, 10.0))
    assert not waiting
    finish = FinishCall(PROGRAM, 1, 1, answer())
    assert leader.send(finish) == FinishRecorded()
    assert leader.send(finish) == FinishRecorded()
    assert waiting == [CallAnswered(1, answer())]
    second = leader.send(admit(2, "b"))
    assert second.history == (user(), answer().message)
    assert (second.attained_tokens, second.prefix.engine) == (8, "engine-1")
    page = leader.send(ReadHistory(PROGRAM, "tenant-1", 1, 5))
    assert page == HistoryPage((answer().message,), 1, 2)
    description = leader.send(DescribeProgram(PROGRAM, None))
    assert (description.spent_tokens, description.next_sequence) == (8, 2)
    assert leader.send(EndProgram(PROGRAM, "tenant-1")) == ProgramEnded()
    assert leader.send(EndProgram(PROGRAM, "tenant-1")) == ProgramEnded()


def test_a_repeat_joins_and_is_answered():
    leader = created()
    leader.send(admit())
    leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1"))
    assert leader.send(admit()) == CallInProgress(1, 1)
    leader.send(FinishCall(PROGRAM, 1, 1, answer()))
    assert leader.send(admit()) == CallAnswered(1, answer())


def test_an_early_call_waits_for_its_turn():
    leader = created()
    leader.send(admit())
    leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1"))
    early = leader.begin(admit(2, "b"))
    assert not early
    leader.send(FinishCall(PROGRAM, 1, 1, answer()))
    assert early[0].attempt == 1
    assert early[0].history == (user(), answer().message)
