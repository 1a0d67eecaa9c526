"""Refusals by tenant, by table cells, of early calls; expiry and child programs."""

import msgspec
import pytest

from notcharch.errors import Ran
from notcharch.wire.messages.programs import (
    AwaitAnswer,
    CallAdmitted,
    CreateProgram,
    DescribeProgram,
    DispatchCall,
    EndProgram,
    FinishCall,
    ListPrograms,
    ReadHistory,
)
from tests.unit.programs.fakes import CHILD, OTHER_PROGRAM, PROGRAM, answer
from tests.unit.programs.test_call_path import admit, created
from tests.unit.programs.test_faults import code_of, running, started

REQUESTS_OF_ANOTHER_TENANT = (
    admit(tenant="tenant-2"),
    AwaitAnswer(PROGRAM, "tenant-2", 1, 5.0),
    EndProgram(PROGRAM, "tenant-2"),
    ReadHistory(PROGRAM, "tenant-2", 0, 10),
    DescribeProgram(PROGRAM, "tenant-2"),
    CreateProgram(CHILD, "other", "tenant-2", PROGRAM),
    CreateProgram(PROGRAM, "other", "tenant-2"),
    CreateProgram(OTHER_PROGRAM, "guide", "tenant-2"),
)


@pytest.mark.parametrize(
    "request_", REQUESTS_OF_ANOTHER_TENANT, ids=lambda r: type(r).__name__
)
def test_another_tenant_finds_nothing(request_):
    problem = created().send(request_)
    assert (code_of(problem), problem.ran) == ("not_found", Ran.NO)


def set_cells(leader, **cells):
    row = leader.table.by_service["guide"]
    leader.table.by_service["guide"] = msgspec.structs.replace(row, **cells)


CELLS = (
    ({"budget_tokens": 62}, "budget_exhausted"),
    ({"calls_per_program": 0}, "call_limit_reached"),
    ({"max_age_seconds": 5.0}, "program_too_old"),
    ({"paused": True}, "service_paused"),
)


@pytest.mark.parametrize(("cells", "code"), CELLS)
def test_the_newest_cells_count_for_a_running_program(cells, code):
    leader = created()
    leader.clock.advance(5)
    set_cells(leader, **cells)
    problem = leader.send(admit())
    assert (code_of(problem), problem.ran) == (code, Ran.NO)
    assert (problem.retry_after is not None) == (code == "service_paused")
    set_cells(
        leader, budget_tokens=63, calls_per_program=1, max_age_seconds=9.0, paused=False
    )
    assert isinstance(leader.send(admit()), CallAdmitted)


def test_a_removed_row_refuses_new_calls_and_answers_old_ones():
    leader = running()
    leader.send(FinishCall(PROGRAM, 1, 1, answer()))
    leader.table.by_service.clear()
    assert leader.send(admit()).answer == answer()
    assert code_of(leader.send(admit(2, "b"))) == "not_found"


def test_children_share_the_budget_and_the_end():
    leader = started(created())
    set_cells(leader, budget_tokens=100)
    leader.send(CreateProgram(CHILD, "guide", "tenant-1", PROGRAM))
    assert isinstance(leader.send(admit(program=CHILD)), CallAdmitted)
    for max_tokens, retry_after in ((50, 5.0), (88, None)):
        problem = leader.send(admit(max_tokens=max_tokens))
        assert code_of(problem) == "budget_exhausted"
        assert problem.retry_after == retry_after
    waiting = leader.begin(AwaitAnswer(CHILD, "tenant-1", 1, 60.0))
    leader.send(EndProgram(PROGRAM, "tenant-1"))
    assert code_of(waiting[0].problem) == "program_ended"
    assert code_of(leader.send(DispatchCall(CHILD, 1, 1, "engine-1"))) == "stale_epoch"
    assert leader.state.budget_of(leader.state.record(CHILD)).committed == 0


def test_an_early_call_is_refused_after_a_bounded_wait():
    leader = running(early_wait_seconds=2.0)
    early = [leader.begin(admit(2, str(number))) for number in range(20)]
    assert sum(len(replies) for replies in early) == 4, "at most 16 requests may wait"
    leader.pass_seconds(2)
    for (problem,) in early:
        assert (code_of(problem), problem.ran) == ("sequence_conflict", Ran.NO)
        assert problem.retry_after is not None


def test_an_early_call_hears_of_the_end_at_once():
    leader = running()
    early = leader.begin(admit(2, "b"))
    leader.send(EndProgram(PROGRAM, "tenant-1"))
    assert code_of(early[0]) == "program_ended"


@pytest.mark.parametrize(
    ("cells", "reason"),
    [({"idle_seconds": 100.0}, "idle"), ({"max_age_seconds": 100.0}, "age")],
)
def test_idle_and_old_programs_end_release_and_are_forgotten(cells, reason):
    leader = running(retention_seconds=50.0)
    set_cells(leader, **cells)
    leader.send(FinishCall(PROGRAM, 1, 1, answer()))
    leader.pass_seconds(98)
    assert not leader.state.record(PROGRAM).ended
    leader.pass_seconds(5)
    assert leader.state.record(PROGRAM).end_reason.value == reason
    assert not list(leader.state.duties())
    assert leader.send(admit()).answer == answer()
    leader.pass_seconds(55)
    assert leader.state.record(PROGRAM) is None
    assert leader.send(ListPrograms(10)).programs == ()


def test_without_a_table_nothing_expires_and_calls_come_back():
    leader = started(created())
    leader.table.version, rows = 0, leader.table.by_service
    leader.table.by_service = {}
    leader.clock.advance(100_000)
    leader.pass_seconds(5)
    problem = leader.send(admit())
    assert (code_of(problem), problem.retry_after) == ("unavailable", 1.0)
    leader.table.version, leader.table.by_service = 1, rows
    set_cells(leader, max_age_seconds=200_000.0, idle_seconds=200_000.0)
    leader.pass_seconds(5)
    assert isinstance(leader.send(admit()), CallAdmitted)


def test_an_exhausted_program_keeps_its_history_and_no_memory():
    leader = started(created())
    set_cells(leader, budget_tokens=63)
    leader.send(admit())
    leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1"))
    leader.send(FinishCall(PROGRAM, 1, 1, answer(completion_tokens=50)))
    leader.pass_seconds(2)
    assert [release.program for release in leader.router.releases] == [PROGRAM]
    assert code_of(leader.send(admit(2, "b"))) == "budget_exhausted"
    set_cells(leader, budget_tokens=500)
    second = leader.send(admit(2, "b"))
    assert (second.history[1], second.prefix) == (answer().message, None)
