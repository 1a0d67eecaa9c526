"""Entries larger than a record: in parts, whole or not at all, and refusals for good."""

import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.journal.entries import Outcome
from notcharch.journal.interface import LogLimits
from tests.unit.journal.writing import SMALL_LIMITS, ClosingLog, Writing

LARGE = bytes(range(256)) * 4
TINY_LIMITS = LogLimits(record_bytes=30, call_bytes=60)


def test_an_entry_larger_than_a_record_does_not_block_its_partition():
    """Guards against an append that is refused for its size and repeated for ever."""
    world = Writing(SMALL_LIMITS)
    writer = world.claimed(1)
    world.write(writer, b"before", LARGE, b"after")
    world.run(1.0)
    assert world.outcomes == [Outcome.DURABLE] * 3
    assert world.log.refused_bytes == []
    assert world.replayed() == [b"before", LARGE, b"after"]


@pytest.mark.parametrize("size", [95, 96, 97, 99, 100, 101, 120, 121, 1000])
def test_entries_of_each_size_are_stored_within_the_limits(size):
    world = Writing(SMALL_LIMITS)
    entries = [bytes([65 + number]) * size for number in range(7)]
    world.write(world.claimed(1), *entries)
    world.run(2.0)
    assert world.log.refused_bytes == []
    assert world.replayed() == entries


def test_a_batch_stays_within_a_call():
    """Guards against a batch that is one record larger than a call may be."""
    world = Writing(LogLimits(record_bytes=240, call_bytes=250))
    world.write(world.claimed(1), b"first", *[b"x" * 100] * 5)
    world.run(0.5)
    assert world.outcomes == [Outcome.DURABLE] * 6
    assert world.log.refused_bytes == []


@pytest.mark.parametrize("trouble", [t for t in Trouble if t is not Trouble.NONE])
def test_a_large_entry_is_written_once_whatever_happens(trouble):
    world = Writing(SMALL_LIMITS)
    writer = world.claimed(1)
    world.write(writer, b"a", LARGE, b"b")
    world.run(0.02)
    world.log.trouble = trouble
    world.run(4.0)
    world.log.trouble = Trouble.NONE
    world.run(6.0)
    assert world.outcomes == [Outcome.DURABLE] * 3
    assert world.replayed() == [b"a", LARGE, b"b"]


def test_an_entry_whose_writer_ends_before_its_last_part_is_never_read():
    world = Writing(SMALL_LIMITS)
    first = world.claimed(1)
    world.write(first, b"whole", LARGE)
    world.run(0.02)
    second = world.claimed(2)
    world.write(second, b"next", LARGE[::-1])
    world.run(1.0)
    assert world.outcomes[:2] == [Outcome.DURABLE, Outcome.NOT_WRITTEN]
    assert world.replayed() == [b"whole", b"next", LARGE[::-1]]


def test_the_parts_of_two_writers_are_never_joined():
    world = Writing(SMALL_LIMITS)
    world.write(world.claimed(1), LARGE)
    world.run(0.02)
    world.write(world.claimed(2), LARGE[::-1])
    world.run(1.0)
    assert world.outcomes == [Outcome.NOT_WRITTEN, Outcome.DURABLE]
    assert world.replayed() == [LARGE[::-1]]


def test_an_entry_whose_first_parts_were_dropped_is_never_read():
    world = Writing(SMALL_LIMITS)
    world.write(world.claimed(1), LARGE, b"after")
    world.run(1.0)
    world.log.partition("t", 0).drop_before(2)
    assert world.replayed() == [b"after"]


def test_an_entry_that_looks_like_a_part_is_read_as_it_was_written():
    world = Writing(SMALL_LIMITS)
    forged = b"\xc1\x95\x01\x01\x00\x01\xc4\x01x"
    world.write(world.claimed(1), forged)
    world.run(0.1)
    assert world.replayed() == [forged]


def test_what_the_log_refuses_all_the_same_fails_alone_and_once():
    """Guards against a refusal for good that is repeated like a passing one."""
    world = Writing(SMALL_LIMITS, known=LogLimits(record_bytes=200, call_bytes=500))
    writer = world.claimed(1)
    world.write(writer, b"a")
    world.run(0.1)
    world.write(writer, b"b", b"x" * 150, b"c", LARGE, b"d")
    world.run(2.0)
    world.write(writer, b"e")
    world.run(0.5)
    assert world.outcomes == [
        Outcome.DURABLE,
        Outcome.DURABLE,
        Outcome.REFUSED,
        Outcome.DURABLE,
        Outcome.REFUSED,
        Outcome.DURABLE,
        Outcome.DURABLE,
    ]
    assert world.replayed() == [b"a", b"b", b"c", b"d", b"e"]
    assert len(world.log.refused_bytes) <= 4


def test_what_no_record_can_hold_is_refused_without_a_call():
    world = Writing(TINY_LIMITS)
    writer = world.claimed(1)
    calls = world.log.calls
    world.write(writer, b"x" * 31)
    world.run(0.5)
    assert world.outcomes == [Outcome.REFUSED]
    assert world.log.calls == calls
    world.write(writer, b"x" * 30)
    world.run(0.1)
    assert world.outcomes[-1] is Outcome.DURABLE


def test_a_refusal_after_a_lost_call_ends_the_epoch():
    """The call may be done late, under the sequence number that the next one would get."""
    world = Writing(SMALL_LIMITS, known=LogLimits(record_bytes=200, call_bytes=500))
    writer = world.claimed(1)
    world.log.trouble = Trouble.LOSE_CALL
    world.write(writer, b"x" * 150)
    world.run(0.1)
    world.log.trouble = Trouble.NONE
    world.run(3.0)
    assert world.outcomes == [Outcome.REFUSED]
    assert world.fenced == [1]
    assert not writer.is_open


def test_the_whole_entries_end_before_the_parts_of_one_that_is_not_whole():
    """A snapshot that covers these parts would lose the entry with them."""
    world = Writing(SMALL_LIMITS)
    writer = world.claimed(1)
    world.write(writer, b"a", LARGE)
    world.run(0.02)
    assert writer.end > writer.complete_end == 1
    world.run(1.0)
    assert writer.end == writer.complete_end == len(world.records)


def test_an_append_for_which_the_log_closes_ends_although_nothing_tells_why():
    world = Writing(SMALL_LIMITS)
    world.service = ClosingLog(world.log, LogLimits(record_bytes=200, call_bytes=500))
    writer = world.claimed(1)
    world.write(writer, b"first", b"a", b"x" * 150)
    world.run(6.0)
    assert world.outcomes == [Outcome.DURABLE, Outcome.LOST, Outcome.LOST]
    assert world.fenced == [1]
    world.write(world.claimed(2), b"a")
    world.run(0.1)
    world.write(writer := world.claimed(3), b"x" * 150)
    world.run(6.0)
    assert world.outcomes[3:] == [Outcome.DURABLE, Outcome.REFUSED]
    assert not writer.is_open
    assert world.replayed() == [b"first", b"a"]


@pytest.mark.parametrize("trouble", [t for t in Trouble if t is not Trouble.NONE])
def test_an_outage_is_no_refusal(trouble):
    world = Writing()
    writer = world.claimed(1)
    world.log.trouble = trouble
    world.write(writer, b"a")
    world.run(60.0)
    world.log.trouble = Trouble.NONE
    world.run(6.0)
    assert world.outcomes == [Outcome.DURABLE]
    assert world.records == [b"a"]


def test_an_entry_whose_last_part_may_be_stored_is_not_said_to_be_unwritten():
    """Guards against a command that ran being reported as one that did not."""
    world = Writing(SMALL_LIMITS)
    writer = world.claimed(1)
    world.log.trouble = Trouble.LOSE_ANSWER
    world.write(writer, b"x" * 150)
    world.run(0.1)
    world.log.trouble = Trouble.NONE
    world.claimed(2)
    world.run(3.0)
    assert world.replayed() == [b"x" * 150]
    assert world.outcomes == [Outcome.LOST]
