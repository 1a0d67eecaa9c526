"""Paging of histories at the leader: page out, read back, refusals."""

import random
from unittest.mock import patch

import msgspec
import pytest

from notcharch.clients.ports import LogRecord
from notcharch.errors import Ran
from notcharch.programs.page_log import PageLog
from notcharch.wire.messages.programs import (
    AwaitAnswer,
    CallAdmitted,
    CallAnswered,
    CreateProgram,
    DispatchCall,
    FinishCall,
    FinishRecorded,
    ReadHistory,
)
from tests.unit.programs.fakes import OTHER_PROGRAM, PROGRAM, answer, user
from tests.unit.programs.test_call_path import admit, created
from tests.unit.programs.test_faults import code_of

LIMIT_BYTES = 12_000
TURNS = 20
STREAM = "history-region1-1"


def text(sequence):
    """Return a text that hardly compresses."""
    return random.Random(sequence).randbytes(350).hex()


def call(sequence, **changes):
    return admit(sequence, f"{sequence}", messages=(user(text(sequence)),), **changes)


def reply_of(sequence):
    return answer(f"answer {text(-sequence)}")


def run_calls(leader, program, first, last):
    for sequence in range(first, last + 1):
        assert isinstance(leader.send(call(sequence, program=program)), CallAdmitted)
        leader.send(DispatchCall(program, sequence, 1, "engine-1"))
        finish = FinishCall(program, sequence, 1, reply_of(sequence))
        assert leader.send(finish) == FinishRecorded()


def history_of(leader, program=PROGRAM):
    return leader.state.record(program).history


def with_history(fault=""):
    """Start a leader with two programs whose histories exceed the limit."""
    leader = created(history_bytes=LIMIT_BYTES)
    leader.table.by_service["guide"] = msgspec.structs.replace(
        leader.table.by_service["guide"], budget_tokens=10_000_000
    )
    leader.send(CreateProgram(OTHER_PROGRAM, "guide", "tenant-1"))
    run_calls(leader, PROGRAM, 1, TURNS)
    leader.pass_seconds(1)
    run_calls(leader, OTHER_PROGRAM, 1, 7)
    leader.log.fault = fault
    leader.service.start()
    leader.pass_seconds(2)
    return leader


@pytest.fixture
def small_cache():
    with patch("notcharch.programs.page_log.CACHE_BYTES", 0):
        yield


def clear_page_cache(leader):
    """Clear the page cache, which is empty at a new leader."""
    leader.service._paging._pages._cache._pages.clear()


def test_the_oldest_idle_program_leaves_and_comes_back():
    leader = with_history()
    assert history_of(leader).pages
    assert not history_of(leader, OTHER_PROGRAM).pages
    clear_page_cache(leader)
    reads = leader.log.reads
    page = leader.send(ReadHistory(PROGRAM, "tenant-1", 0, 100))
    sequences = range(1, TURNS + 1)
    assert page.messages[::2] == tuple(user(text(n)) for n in sequences)
    assert page.messages[1::2] == tuple(reply_of(n).message for n in sequences)
    assert leader.log.reads == reads + len(history_of(leader).pages)
    admitted = leader.send(admit(TURNS + 1, "next"))
    assert admitted.history == page.messages
    assert leader.log.reads == reads + len(history_of(leader).pages)


def test_below_the_bound_nothing_leaves():
    leader = created()
    run_calls(leader, PROGRAM, 1, 3)
    leader.service.start()
    leader.pass_seconds(10)
    assert not leader.log.streams


def test_repeats_of_paged_calls_are_known():
    leader = with_history()
    answered = CallAnswered(1, reply_of(1))
    assert leader.send(call(1)) == answered
    assert leader.send(AwaitAnswer(PROGRAM, "tenant-1", 1, 0.0)) == answered
    assert code_of(leader.send(admit(1, "other"))) == "sequence_conflict"
    finish = FinishCall(PROGRAM, 1, 1, answered.answer)
    assert leader.send(finish) == FinishRecorded()
    other = FinishCall(PROGRAM, 1, 1, answer("other"))
    assert code_of(leader.send(other)) == "stale_epoch"


@pytest.mark.usefixtures("small_cache")
@pytest.mark.parametrize("fault", ["down", "hangs"])
def test_without_the_log_only_paged_programs_are_refused(fault):
    leader = with_history()
    leader.log.fault = fault
    replies = leader.begin(admit(TURNS + 1, "next"))
    leader.pass_seconds(0 if fault == "down" else 2)
    refused = replies[0]
    assert code_of(refused) == "history_unavailable"
    assert (refused.ran, refused.retry_after) == (Ran.NO, 2.0)
    assert leader.state.record(PROGRAM).call is None
    # After a failed read, the next one is refused without a request to the log.
    reads = leader.log.reads
    repeat = leader.send(call(1))
    assert (code_of(repeat), repeat.ran) == ("history_unavailable", Ran.YES)
    assert leader.log.reads == reads
    assert isinstance(leader.send(admit(8, "b", program=OTHER_PROGRAM)), CallAdmitted)
    leader.log.fault = ""
    leader.pass_seconds(2)
    assert isinstance(leader.send(admit(TURNS + 1, "next")), CallAdmitted)


@pytest.mark.usefixtures("small_cache")
def test_readers_of_one_page_share_its_read():
    leader = with_history()
    pages = len(history_of(leader).pages)
    leader.log.fault, leader.log.reads = "hangs", 0
    replies = [leader.begin(ReadHistory(PROGRAM, "tenant-1", 0, 5)) for _ in range(3)]
    assert leader.log.reads <= pages
    for waiting, page in leader.log.hanging:
        waiting.callback(page)
    assert replies[0] == replies[1] == replies[2]
    assert len(replies[0][0].messages) == 5


@pytest.mark.usefixtures("small_cache")
@pytest.mark.parametrize("change", ["text", "id"])
def test_a_damaged_page_is_not_used(change):
    leader = with_history()
    stream = leader.log.streams[STREAM]
    for index, record in enumerate(stream):
        damaged = record.data.replace('"data":"', '"data":"AAAA')
        stream[index] = (
            LogRecord(record.id, damaged)
            if change == "text"
            else LogRecord("other", record.data)
        )
    assert code_of(leader.send(admit(TURNS + 1, "next"))) == "internal"
    assert leader.state.record(PROGRAM).call is None


def check_unconfirmed_append_drops_nothing(fault):
    leader = with_history(fault)
    history = history_of(leader)
    assert not history.pages
    assert len(history.messages(0, 100)) == 2 * TURNS
    leader.log.fault = ""
    leader.pass_seconds(6)
    assert history_of(leader).pages
    clear_page_cache(leader)
    page = leader.send(ReadHistory(PROGRAM, "tenant-1", 0, 100))
    assert len(page.messages) == 2 * TURNS


@pytest.mark.parametrize("fault", ["down", "lost"])
def test_nothing_is_dropped_for_an_unsure_append(fault):
    check_unconfirmed_append_drops_nothing(fault)


async def append_without_confirmation(self, partition, records):
    await self._log.append(self._stream(partition), records)
    return 0


@pytest.mark.parametrize("fault", ["down", "lost"])
def test_the_break_of_dropping_too_early_is_caught(fault):
    early_drop = patch.object(PageLog, "append", append_without_confirmation)
    with early_drop, pytest.raises(AssertionError):
        check_unconfirmed_append_drops_nothing(fault)
