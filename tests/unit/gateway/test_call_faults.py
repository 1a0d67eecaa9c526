"""Responses when a component fails; slots, grants and budgets must be released."""

import msgspec
import pytest

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.call_outcome import with_worst_ran
from notcharch.wire.messages.programs import (
    AdmitCall,
    AwaitAnswer,
    DescribeProgram,
    DispatchCall,
    FinishCall,
)
from tests.unit.gateway.harness import (
    DelayedReply,
    GatewayHarness,
    refused,
    reply_dropped,
)

NO_REPLY = Problem.of(ProblemCode.UNAVAILABLE, "no reply", ran=Ran.UNKNOWN)
UNSENT = Problem.of(ProblemCode.UNAVAILABLE, "not sent")
STALE = Problem.of(ProblemCode.STALE_EPOCH, "superseded", ran=Ran.UNKNOWN)


def overloaded():
    return Problem.of(ProblemCode.OVERLOADED, "busy", retry_after=2.5)


def engine_failed(ran):
    return Problem.of(ProblemCode.ENGINE_FAILED, "failed", ran=ran)


@pytest.fixture
def harness():
    return GatewayHarness()


def check_all_released(harness):
    assert (harness.slots.held, harness.placer.open_grants) == (0, {})
    assert harness.gateway.running_calls == 0
    for state in harness.leader.partitions.states.values():
        for program in state.programs():
            record = state.record(program)
            assert record.running_call is None
            assert state.root_of(record).budget.reserved == 0


REFUSALS = [
    ("slots", overloaded()),
    ("placer", overloaded()),
    (
        "placer",
        Problem.of(ProblemCode.NO_ENGINE, "x", ran=Ran.UNKNOWN, retry_after=2.5),
    ),
]


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize(("where", "problem"), REFUSALS)
def test_a_refusal_comes_at_once_and_is_undone(
    harness, where, problem, repeatable, stream
):
    program = harness.program()
    getattr(harness, where).problem = problem
    options = {"repeatable": repeatable, "stream": stream}
    response = harness.call(program, **options).response()
    assert (response.status, response.json["code"]) == (
        problem.http_status,
        problem.code,
    )
    assert (response.json["ran"], response.json["retry_after"]) == ("no", 2.5)
    assert response.headers["retry-after"] == "3"
    check_all_released(harness)
    getattr(harness, where).problem = None
    again = harness.call(program, **options)
    harness.stream.answer("now")
    assert again.response().status == 200
    check_all_released(harness)


def test_a_lapsed_lease_starts_nothing(harness):
    program = harness.program()
    harness.slots.may_start = False
    response = harness.call(program, repeatable=False).response()
    assert (response.status, response.json["ran"]) == (429, "no")
    assert not harness.engines.streams
    check_all_released(harness)


def test_a_dispatch_that_was_not_learnt_starts_nothing(harness):
    program = harness.program()
    harness.router.faults[DispatchCall] = [reply_dropped(NO_REPLY)] * 3
    caller = harness.call(program, repeatable=False)
    harness.clock.pump([1] * 20)
    response = caller.response()
    assert (response.status, response.json["ran"]) == (503, "no")
    assert not harness.engines.streams
    check_all_released(harness)


TRANSIENT = [
    (AdmitCall, refused(UNSENT)),
    (AdmitCall, reply_dropped(NO_REPLY)),
    (DispatchCall, refused(UNSENT)),
    (DispatchCall, reply_dropped(NO_REPLY)),
    (FinishCall, refused(UNSENT)),
    (FinishCall, reply_dropped(NO_REPLY)),
    (DescribeProgram, refused(UNSENT)),
]


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize(("message_type", "fault"), TRANSIENT)
def test_a_lost_message_is_sent_again(harness, message_type, fault, repeatable):
    program = harness.program()
    harness.router.faults[message_type] = [fault]
    caller = harness.call(program, repeatable=repeatable)
    harness.clock.pump([0.1] * 20)
    harness.stream.answer("one")
    harness.clock.pump([0.1] * 20)
    response = caller.response()
    assert (response.status, response.json["sequence"]) == (200, 1)
    assert len(harness.engines.streams) == 1
    check_all_released(harness)


def test_a_leader_that_cannot_be_reached_ends_the_wait(harness):
    program = harness.program()
    harness.router.faults[AdmitCall] = [refused(UNSENT)] * 3
    caller = harness.call(program)
    harness.clock.pump([1] * 20)
    response = caller.response()
    assert (response.status, response.json["code"]) == (503, "unavailable")
    assert response.json["retry_after"] == 1.0
    check_all_released(harness)


@pytest.mark.parametrize("ran", list(Ran))
def test_a_repeatable_call_is_repeated_elsewhere_before_any_byte(harness, ran):
    program = harness.program()
    caller = harness.call(program, stream=True)
    harness.stream.fail(engine_failed(ran))
    assert not caller.transport.value()
    harness.stream.answer("second")
    response = caller.response()
    assert (response.content, response.events[-1]) == ("second", "[DONE]")
    names = [stream.request.request_id for stream in harness.engines.streams]
    assert names == [f"{program}/1/1", f"{program}/1/2"]
    assert [failed for _, _, failed in harness.placer.returned] == [True, False]
    assert harness.placer.avoided == [frozenset(), {"engine-1"}]
    check_all_released(harness)


def test_two_answers_are_never_spliced(harness):
    program = harness.program()
    caller = harness.call(program, stream=True)
    harness.stream.token("first")
    harness.stream.fail(engine_failed(Ran.YES))
    response = caller.response()
    assert response.is_complete
    assert "[DONE]" not in response.events
    assert '"error"' in response.events[-1]
    waiting = harness.begin("GET", f"/v1/programs/{program}/calls/1")
    harness.stream.answer("second")
    body = waiting.response().json
    assert body["choices"][0]["message"]["content"] == "second"
    assert caller.response().content == "first"
    check_all_released(harness)


def test_attempts_are_bounded(harness):
    caller = harness.call(harness.program())
    for _ in range(3):
        harness.stream.fail(engine_failed(Ran.UNKNOWN))
    response = caller.response()
    assert (response.status, response.json["code"]) == (502, "engine_failed")
    assert (response.json["ran"], response.json["retry_after"]) == ("unknown", 1.0)
    assert len(harness.engines.streams) == 3
    check_all_released(harness)


def test_a_later_refusal_does_not_hide_that_the_call_may_have_run(harness):
    caller = harness.call(harness.program())
    harness.placer.problem = overloaded()
    harness.stream.fail(engine_failed(Ran.UNKNOWN))
    response = caller.response()
    assert (response.json["code"], response.json["ran"]) == ("overloaded", "unknown")
    check_all_released(harness)


@pytest.mark.parametrize("ran", [Ran.YES, Ran.UNKNOWN])
@pytest.mark.parametrize("stream", [False, True])
def test_an_unrepeatable_call_runs_at_most_once(harness, ran, stream):
    program = harness.program()
    caller = harness.call(program, repeatable=False, stream=stream)
    harness.stream.fail(engine_failed(ran))
    for response in (
        caller.response(),
        harness.call(program, repeatable=False).response(),
        harness.fetch("GET", f"/v1/programs/{program}/calls/1"),
    ):
        assert (response.status, response.json["code"]) == (409, "outcome_unknown")
        assert response.json["retry_after"] is None
        assert response.json["ran"] != "no"
    assert len(harness.engines.streams) == 1
    check_all_released(harness)


def test_an_unrepeatable_call_that_certainly_did_not_run_is_tried_again(harness):
    program = harness.program()
    caller = harness.call(program, repeatable=False)
    harness.stream.fail(engine_failed(Ran.NO))
    harness.stream.answer("once")
    assert caller.response().status == 200
    check_all_released(harness)


def test_a_request_that_the_engine_cannot_take_is_not_repeated(harness):
    caller = harness.call(harness.program())
    harness.stream.fail(Problem.of(ProblemCode.BAD_REQUEST, "too long"))
    assert caller.response().status == 400
    assert harness.placer.returned == [("engine-1", None, False)]
    check_all_released(harness)


def test_a_stream_whose_answer_cannot_be_stored_has_no_end(harness):
    program = harness.program()
    caller = harness.call(program, stream=True)
    harness.router.faults[FinishCall] = [refused(NO_REPLY)] * 100
    harness.stream.answer("one", "two")
    harness.clock.pump([1] * 29)
    assert not caller.response().is_complete
    harness.clock.pump([1] * 2)
    response = caller.response()
    assert response.is_complete
    assert "[DONE]" not in response.events
    harness.router.faults.clear()
    harness.clock.pump([1] * 10)
    stored = harness.fetch("GET", f"/v1/programs/{program}/calls/1")
    assert stored.json["choices"][0]["message"]["content"] == "onetwo"
    check_all_released(harness)


def test_a_refusal_is_given_before_it_is_undone_if_that_takes_long(harness):
    program = harness.program()
    harness.placer.problem = overloaded()
    harness.router.faults[FinishCall] = [refused(NO_REPLY)] * 3
    caller = harness.call(program)
    harness.clock.advance(1)
    assert caller.response().json["ran"] == "no"
    harness.clock.pump([1] * 10)
    check_all_released(harness)


def test_a_superseded_attempt_gives_the_answer_that_was_stored(harness):
    program = harness.program()
    caller = harness.call(program)
    harness.router.faults[FinishCall] = [reply_dropped(STALE)]
    harness.stream.answer("one")
    answer = caller.response().json["choices"][0]["message"]["content"]
    assert answer == "one"
    assert harness.router.count(AwaitAnswer) == 1
    check_all_released(harness)


def test_another_body_for_the_same_sequence_is_a_conflict(harness):
    program = harness.program()
    first = harness.call(program)
    while_running = harness.call(program, text="other").response()
    harness.stream.answer("one")
    afterwards = harness.call(program, text="other").response()
    for response in (while_running, afterwards):
        assert (response.status, response.json["code"]) == (409, "sequence_conflict")
    assert first.response().status == 200


def test_a_call_that_comes_early_waits_for_its_turn(harness):
    program = harness.program()
    harness.call(program)
    early = harness.call(program, 2, "next")
    harness.stream.answer("one")
    harness.stream.answer("two")
    assert early.response().status == 200
    contents = [message.content for message in harness.stream.request.messages]
    assert contents == ["hello", "one", "next"]


def test_the_row_bounds_the_answer(harness):
    program = harness.program()
    harness.call(program, max_tokens=10**6)
    row = harness.table.row("guide")
    assert harness.stream.request.max_tokens == row.max_answer_tokens


def test_a_crash_of_the_run_is_told_and_undone(harness):
    program = harness.program()

    def explode(*arguments):
        raise ZeroDivisionError

    harness.engines.open_stream = explode
    response = harness.call(program).response()
    assert (response.status, response.json["ran"]) == (500, "unknown")
    check_all_released(harness)


def test_a_crash_of_a_handler_is_a_problem(harness):
    harness.router.to_partition = None
    response = harness.fetch("POST", "/v1/programs", {"service": "guide"})
    assert (response.status, response.json["code"]) == (500, "internal")


def test_the_expected_engine_is_recorded_while_the_call_is_placed(harness):
    program = harness.program()
    harness.call(program)
    harness.stream.answer("one")
    delayed = DelayedReply()
    harness.router.faults[DispatchCall] = [delayed]
    harness.call(program, 2, "two")
    dispatches = [m for m in harness.router.sent if isinstance(m, DispatchCall)]
    assert [m.engine for m in dispatches] == ["engine-1", "engine-1"]
    assert len(harness.engines.streams) == 1
    delayed.release()
    engines = [m.engine for m in harness.router.sent if isinstance(m, DispatchCall)]
    assert engines == ["engine-1", "engine-1", "engine-2"]
    assert len(harness.engines.streams) == 2


def test_a_repeat_joins_while_the_first_request_is_still_being_dispatched(harness):
    program = harness.program()
    delayed = DelayedReply()
    harness.router.faults[DispatchCall] = [delayed]
    first, second = harness.call(program), harness.call(program)
    assert harness.router.count(AdmitCall) == 1
    delayed.release()
    harness.stream.answer("one")
    assert first.response().json == second.response().json


WORSE = [
    (None, Ran.NO, Ran.NO),
    (Ran.NO, Ran.YES, Ran.YES),
    (Ran.UNKNOWN, Ran.NO, Ran.UNKNOWN),
    (Ran.YES, Ran.UNKNOWN, Ran.YES),
    (Ran.YES, Ran.NO, Ran.YES),
]


@pytest.mark.parametrize(("earlier", "ran", "expected_ran"), WORSE)
def test_ran_covers_every_attempt(earlier, ran, expected_ran):
    before = None if earlier is None else engine_failed(earlier)
    problem = with_worst_ran(before, msgspec.structs.replace(overloaded(), ran=ran))
    assert problem == msgspec.structs.replace(overloaded(), ran=expected_ran)


BUSY_DAEMON = Problem.of(ProblemCode.OVERLOADED, "too many requests", retry_after=1.0)
NO_HISTORY = Problem.of(ProblemCode.HISTORY_UNAVAILABLE, "no log", retry_after=0.5)


@pytest.mark.parametrize("last", [NO_REPLY, UNSENT, NO_HISTORY])
def test_an_admission_is_withdrawn_whose_reply_was_lost(harness, last):
    """Its tokens would stay reserved for as long as an admitted call may wait."""
    program = harness.program()
    faults = [reply_dropped(NO_REPLY), refused(last), refused(last), refused(last)]
    harness.router.faults[AdmitCall] = faults
    caller = harness.call(program)
    harness.clock.pump([0.1] * 50)
    assert caller.response().status == 503
    assert not harness.engines.streams
    check_all_released(harness)


def lose_admission(harness, program):
    """Admit a call without a reply; return the response of its request."""
    harness.router.faults[AdmitCall] = [reply_dropped(NO_REPLY)] * 100
    caller = harness.call(program)
    harness.clock.pump([0.1] * 4)
    harness.router.faults.clear()
    return caller.response()


def test_a_withdrawal_ends_where_the_next_request_takes_the_admission_over(harness):
    """The withdrawal must not end the attempt of the next request."""
    program = harness.program()
    assert lose_admission(harness, program).status == 503
    delayed = DelayedReply()
    harness.router.faults[DispatchCall] = [delayed]
    second = harness.call(program)
    harness.clock.pump([0.1] * 50)
    delayed.release()
    harness.stream.answer("one")
    assert second.response().status == 200
    assert len(harness.engines.streams) == 1
    check_all_released(harness)


def test_a_request_that_reaches_no_leader_goes_on_with_an_earlier_withdrawal(harness):
    """The admission that the first request lost would stay at the leader."""
    program = harness.program()
    lose_admission(harness, program)
    harness.router.faults[AdmitCall] = [refused(UNSENT)] * 3
    second = harness.call(program)
    harness.clock.pump([0.1] * 50)
    assert second.response().status == 503
    assert not harness.engines.streams
    check_all_released(harness)


def test_a_drain_waits_for_withdrawals(harness):
    """A daemon that stops earlier would leave the admission to the leader's limit."""
    program = harness.program()
    lose_admission(harness, program)
    idle = harness.gateway.when_idle()
    assert not idle.called
    harness.clock.pump([0.1] * 50)
    assert idle.called
    check_all_released(harness)


def ran_before(harness):
    """Let a repeatable call run in vain; return its program."""
    program = harness.program()
    harness.call(program)
    harness.placer.problem = overloaded()
    harness.stream.fail(engine_failed(Ran.YES))
    return program


def test_an_unstored_refusal_covers_the_runs_of_earlier_requests(harness):
    """Only the leader knows them, and it tells them with the admission."""
    program = ran_before(harness)
    harness.router.faults[FinishCall] = [refused(UNSENT)] * 20
    caller = harness.call(program)
    harness.clock.advance(1)
    assert caller.response().json["ran"] == "unknown"
    harness.router.faults.clear()
    harness.clock.pump([1] * 10)
    check_all_released(harness)


def test_a_superseded_refusal_does_not_speak_for_the_newer_attempt(harness):
    """Another gateway may be running the call by then."""
    program = harness.program()
    harness.placer.problem = overloaded()
    harness.router.faults[FinishCall] = [reply_dropped(STALE)]
    caller = harness.call(program)
    assert caller.response().json["ran"] == "unknown"
    check_all_released(harness)


def test_a_busy_daemon_does_not_know_whether_a_call_ran(harness):
    """It refuses without a look at the leader's record."""
    program = ran_before(harness)
    harness.router.faults[AdmitCall] = [refused(BUSY_DAEMON)]
    response = harness.call(program).response()
    assert (response.json["code"], response.json["ran"]) == ("overloaded", "unknown")


def test_an_answer_is_stored_after_a_busy_daemon_refused_it(harness):
    """A dropped outcome would lose the answer and leave the call dispatched."""
    caller = harness.call(harness.program())
    harness.router.faults[FinishCall] = [refused(BUSY_DAEMON)] * 2
    harness.stream.answer("one")
    harness.clock.pump([0.1] * 10)
    assert caller.response().status == 200
    check_all_released(harness)


def test_an_answer_that_cannot_be_stored_has_run(harness):
    """A refusal by the leader's daemon must not look like that of a call not sent."""
    caller = harness.call(harness.program())
    refusal = Problem.of(ProblemCode.BODY_TOO_LARGE, "too long for a message")
    harness.router.faults[FinishCall] = [refused(refusal)]
    harness.stream.answer("one")
    assert caller.response().json["ran"] == "yes"
