"""Programs in a virtual region survive restarts, from the journal and paged out."""

from contextlib import contextmanager
from unittest.mock import patch

import pytest

from notcharch.placement.partitions import partition_of_program
from notcharch.settings.schema import ProgramsSection, Settings
from notcharch.values.chat import ChatMessage
from notcharch.wire.messages.programs import ReadHistory
from tests.stateful.region.world import TENANT, RecordedRegion
from tests.virtual_region.caller import DirectCaller

CALL_TIMEOUT_SECONDS = 60.0
TURNS = 4
CHILDREN = 6
"""Enough that some repeated calls would reach an engine that did not run them."""


class Caller:
    """A program and its children; every call goes to the first running daemon."""

    def __init__(self, service):
        self.region = RecordedRegion(1)
        self.caller = DirectCaller(TENANT)
        self.service = service
        self.program = self.create(None)

    def create(self, parent):
        core = self.region.running_cores()[0]
        created = self.caller.create(core, self.service, parent)
        return self.region.wait_for(created, CALL_TIMEOUT_SECONDS).unwrap()

    def call(self, program, sequence, *, repeatable=False):
        messages = (ChatMessage("user", f"call {sequence}"),)
        core = self.region.running_cores()[0]
        answered = self.caller.call(
            core, program, sequence, messages, max_tokens=8, repeatable=repeatable
        )
        return self.region.wait_for(answered, CALL_TIMEOUT_SECONDS)

    def runs_of(self, program, sequence):
        return len(self.region.accepted.get((program, sequence), ()))

    def restart_all(self):
        """Crash and restart all daemons, which lose their memory."""
        for daemon in self.region.names:
            self.region.crash(daemon)
        for daemon in self.region.names:
            self.region.start(daemon)
        self.region.advance(30.0)


@contextmanager
def region_settings(**sections):
    """Replace sections of the settings of every daemon."""
    with patch("tests.stateful.region.world.Settings") as settings:
        settings.side_effect = lambda **given: Settings(**{**given, **sections})
        yield


def test_calls_outlive_the_memory_of_all_daemons_and_are_not_run_again():
    caller = Caller("act")
    programs = [caller.create(caller.program) for _ in range(CHILDREN)]
    assert all(caller.call(program, 1).is_ok() for program in programs)
    assert all(caller.call(program, 2).is_ok() for program in programs)
    caller.restart_all()
    answers = [caller.call(program, 2) for program in programs]
    assert all(answer.is_ok() for answer in answers)
    assert [caller.runs_of(program, 2) for program in programs] == [1] * CHILDREN
    assert all(caller.call(program, 3).is_ok() for program in programs)


@pytest.fixture
def everything_is_paged_out():
    with (
        region_settings(programs=ProgramsSection(history_bytes=0)),
        patch("notcharch.programs.paging_plan.MIN_PAGE_BYTES", 1),
        patch("notcharch.programs.page_log.CACHE_BYTES", 0),
    ):
        yield


@pytest.mark.usefixtures("everything_is_paged_out")
def test_paged_histories_outlive_the_memory_of_all_daemons():
    caller = Caller("chat")
    for sequence in range(1, TURNS + 1):
        assert caller.call(caller.program, sequence, repeatable=True).is_ok()
        caller.region.advance(10.0)
    caller.restart_all()
    core = caller.region.running_cores()[0]
    partition = partition_of_program(caller.program)
    read = ReadHistory(caller.program, TENANT, 0, 100)
    reply = core.router.to_partition(partition, read, CALL_TIMEOUT_SECONDS)
    page = caller.region.wait_for(reply, CALL_TIMEOUT_SECONDS).unwrap()
    texts = [message.content for message in page.messages[::2]]
    assert texts == [f"call {sequence}" for sequence in range(1, TURNS + 1)]
    paged = [
        core.state_access.programs(partition).record(caller.program).history.paged_turns
        for core in caller.region.running_cores()
        if core.state_access.programs(partition) is not None
    ]
    assert paged == [TURNS]
