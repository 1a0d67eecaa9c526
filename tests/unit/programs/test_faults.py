"""Faults at the leader service: gateways, leader changes, proposals and releases."""

import msgspec
import pytest

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.programs.commands import ConfirmReleases, ReadBarrier
from notcharch.wire.messages.programs import (
    AwaitAnswer,
    CallAdmitted,
    CallFailed,
    CallInProgress,
    CheckProgramsLive,
    CreateProgram,
    DispatchCall,
    DispatchRecorded,
    EndProgram,
    FinishCall,
    FinishRecorded,
    ProgramsNotLive,
)
from tests.unit.programs.fakes import GATEWAY, OTHER_GATEWAY, PROGRAM, answer
from tests.unit.programs.test_call_path import admit, created


def started(leader):
    leader.service.start()
    return leader


def running(*, dispatched=True, repeatable=True, **settings):
    leader = started(created(**settings))
    assert isinstance(leader.send(admit(repeatable=repeatable)), CallAdmitted)
    if dispatched:
        leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1"))
    return leader


def code_of(problem):
    assert isinstance(problem, Problem), problem
    return problem.code


def gateway_is_certainly_dead(leader):
    leader.membership.dead.add(GATEWAY)
    leader.pass_seconds(1)


def gateway_is_long_missing(leader):
    leader.membership.live.discard(GATEWAY)
    leader.pass_seconds(17)


def gateway_dies_at_a_leader_change(leader):
    leader.membership.dead.add(GATEWAY)
    leader.partitions.lead(None)
    leader.pass_seconds(2)
    leader.partitions.lead(2)
    leader.pass_seconds(1)


GATEWAY_FAILURES = (
    gateway_is_certainly_dead,
    gateway_is_long_missing,
    gateway_dies_at_a_leader_change,
)


@pytest.mark.parametrize("fail_gateway", GATEWAY_FAILURES)
def test_lost_before_dispatch_certainly_did_not_run(fail_gateway):
    leader = running(dispatched=False)
    fail_gateway(leader)
    failed = leader.send(AwaitAnswer(PROGRAM, "tenant-1", 1, 0.0))
    assert failed.problem.ran is Ran.NO
    assert failed.problem.retry_after is not None
    assert (
        code_of(leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1"))) == "stale_epoch"
    )
    assert leader.send(admit(gateway=OTHER_GATEWAY)).attempt == 2


@pytest.mark.parametrize("fail_gateway", GATEWAY_FAILURES)
def test_lost_after_dispatch_repeatable_runs_again(fail_gateway):
    leader = running()
    fail_gateway(leader)
    assert (
        leader.send(AwaitAnswer(PROGRAM, "tenant-1", 1, 0.0)).problem.ran is Ran.UNKNOWN
    )
    assert leader.send(admit(gateway=OTHER_GATEWAY)).attempt == 2
    late = leader.send(FinishCall(PROGRAM, 1, 1, answer()))
    assert code_of(late) == "stale_epoch"
    leader.send(DispatchCall(PROGRAM, 1, 2, "engine-2"))
    refused = Problem.of(ProblemCode.OVERLOADED, "queue is full", ran=Ran.NO)
    stored = leader.send(FinishCall(PROGRAM, 1, 2, problem=refused)).problem
    assert stored.ran is Ran.UNKNOWN


@pytest.mark.parametrize("fail_gateway", GATEWAY_FAILURES)
def test_lost_after_dispatch_unrepeatable_never_runs_again(fail_gateway):
    leader = running(repeatable=False)
    fail_gateway(leader)
    for gateway in (GATEWAY, OTHER_GATEWAY):
        failed = leader.send(admit(repeatable=False, gateway=gateway))
        assert isinstance(failed, CallFailed)
        assert code_of(failed.problem) == "outcome_unknown"
        assert failed.problem.ran is Ran.UNKNOWN
    assert (
        code_of(leader.send(DispatchCall(PROGRAM, 1, 1, "engine-2"))) == "stale_epoch"
    )
    assert code_of(leader.send(FinishCall(PROGRAM, 1, 1, answer()))) == "stale_epoch"
    assert leader.send(admit(2, "b")).history == ()


def test_a_missing_gateway_that_returns_keeps_its_call():
    leader = running()
    for _ in range(5):
        leader.membership.live.discard(GATEWAY)
        leader.pass_seconds(10)
        leader.membership.live.add(GATEWAY)
        leader.pass_seconds(2)
    assert leader.send(FinishCall(PROGRAM, 1, 1, answer())) == FinishRecorded()


def test_waiters_hear_of_a_lost_call_at_once():
    leader = running(repeatable=False)
    waiting = leader.begin(AwaitAnswer(PROGRAM, "tenant-1", 1, 60.0))
    early = leader.begin(admit(2, "b"))
    gateway_is_certainly_dead(leader)
    assert code_of(waiting[0].problem) == "outcome_unknown"
    assert isinstance(early[0], CallAdmitted)


@pytest.mark.parametrize(
    ("dispatched", "seconds"), [(False, 151), (True, 3601)], ids=["admitted", "running"]
)
def test_an_attempt_that_nobody_drives_is_given_up(dispatched, seconds):
    leader = running(dispatched=dispatched)
    leader.pass_seconds(seconds - 2)
    assert leader.send(admit(gateway=OTHER_GATEWAY)) == CallInProgress(1, 1)
    leader.pass_seconds(3)
    assert leader.send(admit(gateway=OTHER_GATEWAY)).attempt == 2


def test_a_gateway_that_lost_its_admission_gets_a_new_attempt():
    leader = running(dispatched=False)
    assert leader.send(admit()).attempt == 2
    assert (
        code_of(leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1"))) == "stale_epoch"
    )
    assert leader.send(DispatchCall(PROGRAM, 1, 2, "engine-1")) == DispatchRecorded(1)
    assert leader.send(admit()) == CallInProgress(1, 2)


def test_a_delayed_dispatch_of_an_earlier_engine_changes_nothing():
    leader = running()
    leader.send(DispatchCall(PROGRAM, 1, 1, "engine-2"))
    assert leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1")) == DispatchRecorded(1)
    leader.send(FinishCall(PROGRAM, 1, 1, answer()))
    assert leader.send(admit(2, "b")).prefix.engine == "engine-2"
    assert leader.state.record(PROGRAM).engines == ("engine-1", "engine-2")


REQUESTS = {
    "create": CreateProgram(PROGRAM, "guide", "tenant-1"),
    "admit": admit(),
    "dispatch": DispatchCall(PROGRAM, 1, 1, "engine-1"),
    "finish": FinishCall(PROGRAM, 1, 1, answer()),
    "end": EndProgram(PROGRAM, "tenant-1"),
}


@pytest.mark.parametrize("fault", ["lost", "applied"])
@pytest.mark.parametrize("faulty", REQUESTS)
def test_a_request_of_unknown_outcome_may_be_repeated(faulty, fault):
    leader = created()
    attempt = 1
    for name, request in REQUESTS.items():
        if name == faulty:
            leader.partitions.fault_of = lambda command: fault
            assert leader.send(request).ran is Ran.UNKNOWN
            leader.partitions.fault_of = lambda command: ""
        if name in {"dispatch", "finish"}:
            reply = leader.send(msgspec.structs.replace(request, attempt=attempt))
        else:
            reply = leader.send(request)
        assert not isinstance(reply, Problem), reply
        if name == "admit":
            attempt = reply.attempt
    record = leader.state.record(PROGRAM)
    assert (record.finished, record.ended) == (1, True)
    assert leader.state.budget_of(record).committed == 8


def ended(leader):
    leader.send(FinishCall(PROGRAM, 1, 1, answer()))
    leader.send(EndProgram(PROGRAM, "tenant-1"))
    return leader


def test_a_release_is_asked_until_it_is_confirmed():
    leader = ended(running())
    leader.router.refusal = Problem.of(ProblemCode.UNAVAILABLE, "steward is away")
    leader.pass_seconds(20)
    request_count = len(leader.router.releases)
    assert 3 <= request_count <= 6
    assert list(leader.state.duties())
    leader.partitions.lead(2)
    leader.router.refusal = None
    leader.pass_seconds(31)
    assert not list(leader.state.duties())
    assert leader.router.releases[-1].epoch == 2
    count = len(leader.router.releases)
    leader.pass_seconds(60)
    assert len(leader.router.releases) == count


@pytest.mark.parametrize("fault", ["lost", "applied"])
def test_a_confirmation_of_unknown_outcome_is_made_again(fault):
    leader = ended(running())
    leader.partitions.fault_of = lambda command: (
        fault if isinstance(command, ConfirmReleases) else ""
    )
    leader.pass_seconds(3)
    leader.partitions.fault_of = lambda command: ""
    leader.pass_seconds(3)
    assert not list(leader.state.duties())


def test_an_engine_counts_as_gone_only_after_long_absence():
    leader = ended(running())
    leader.router.refusal = Problem.of(ProblemCode.NO_ENGINE, "no such engine")
    leader.directory.names = set()
    leader.pass_seconds(60)
    assert list(leader.state.duties()), "an empty directory counts as not read yet"
    leader.directory.names = {"engine-2"}
    leader.pass_seconds(25)
    assert list(leader.state.duties())
    leader.pass_seconds(8)
    assert not list(leader.state.duties())


def test_an_end_during_a_run_releases_after_the_run():
    leader = running()
    leader.send(EndProgram(PROGRAM, "tenant-1"))
    leader.pass_seconds(5)
    assert not leader.router.releases
    assert leader.send(CheckProgramsLive((PROGRAM,))) == ProgramsNotLive(())
    assert leader.send(FinishCall(PROGRAM, 1, 1, answer())) == FinishRecorded()
    assert leader.send(CheckProgramsLive((PROGRAM,))) == ProgramsNotLive((PROGRAM,), 1)
    leader.pass_seconds(1)
    assert [release.engine for release in leader.router.releases] == ["engine-1"]


def test_a_deposed_leader_sends_its_waiters_away():
    leader = running()
    waiting = leader.begin(AwaitAnswer(PROGRAM, "tenant-1", 1, 60.0))
    early = leader.begin(admit(2, "b"))
    leader.partitions.lead(None)
    assert code_of(waiting[0]) == code_of(early[0]) == "not_leader"
    assert code_of(leader.send(admit(2, "b"))) == "not_leader"
    assert code_of(leader.send(CheckProgramsLive((PROGRAM,)))) == "not_leader"


def test_not_found_is_said_only_after_a_barrier():
    leader = created()
    leader.partitions.fault_of = lambda command: "lost"
    unknown = "region1-1-f"
    reply = leader.send(EndProgram(unknown, "tenant-1"))
    assert code_of(reply) == "unavailable"
    assert code_of(leader.send(admit(program=unknown))) == "unavailable"
    assert code_of(leader.send(CheckProgramsLive((unknown,)))) == "unavailable"
    leader.partitions.fault_of = lambda command: ""
    assert code_of(leader.send(admit(program=unknown))) == "not_found"
    assert isinstance(leader.partitions.applied[-1], ReadBarrier)
