"""A takeover holds no page of the log longer than it takes to apply it."""

from random import Random

import pytest
from result import Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from notcharch.journal.entry_reader import EntryReader, NoEntry
from notcharch.journal.interface import Appended, LogLimits, LogPartition, Records
from notcharch.journal.partition_journal import PartitionAssignment, PartitionJournal
from tests.unit.http.test_small_chunks import growth
from tests.unit.journal.writing import SMALL_LIMITS, Writing

PLACE = LogPartition("t", 0)
PAGE = 1024 * 1024
PARTITIONS = 10


class SlowLog:
    """Gives one page of each partition, and then no answer for a while."""

    limits = LogLimits()

    def __init__(self) -> None:
        self.waiting: list[Deferred] = []

    def append(self, topic, partition, records, producer=None):
        return succeed(Ok(Appended(0, 100)))

    def read(self, topic, partition, offset, wait_seconds=0.0):
        if offset == 0:
            # A new object for each read, as the bytes of an answer are.
            return succeed(Ok(Records(0, (bytes(bytearray(PAGE)),), 100)))
        self.waiting.append(Deferred())
        return self.waiting[-1]


class Ignoring:
    def replay_record(self, offset, record):
        assert len(record) == PAGE


def test_no_page_stays_in_memory_while_the_next_one_is_read():
    """48 partitions that are taken over at once held 48 MB of pages."""
    log, journals = SlowLog(), []

    def take_over() -> None:
        for _ in range(PARTITIONS):
            journal = PartitionJournal(
                log,
                Clock(),
                Random(1),
                PartitionAssignment(0, PLACE, 1),
                target=Ignoring(),
                on_fenced=lambda: None,
            )
            journal.take_over()
            journals.append(journal)

    assert growth(take_over) < PAGE
    assert len(log.waiting) == PARTITIONS


# Reading single entries again


def read(writing, offset, also=()):
    results = []
    EntryReader(writing.log, PLACE).read(offset, also).addCallback(results.append)
    writing.run(0.5)
    return results[0]


def offsets_of(writing, *entries):
    """Write entries, and return the offsets of their first records."""
    writer = writing.claimed(1)
    written = [writer.write(entry, writing.outcomes.append) for entry in entries]
    writing.run(1.0)
    return [entry.first_offset for entry in written]


@pytest.mark.parametrize("limits", [None, SMALL_LIMITS], ids=["whole", "parts"])
def test_entries_are_read_again_by_the_offsets_of_their_first_records(limits):
    writing = Writing(limits)
    entries = [bytes([65 + number]) * (30 + 61 * number) for number in range(6)]
    offsets = offsets_of(writing, *entries)
    assert offsets == sorted(set(offsets))
    for offset, entry in zip(offsets, entries, strict=True):
        assert read(writing, offset) == {offset: entry}
    assert read(writing, offsets[0], offsets) == dict(
        zip(offsets, entries, strict=True)
    )


def test_a_replay_tells_the_offsets_that_the_writer_was_told():
    writing = Writing(SMALL_LIMITS)
    entries = [bytes([65 + number]) * (30 + 61 * number) for number in range(6)]
    offsets = offsets_of(writing, *entries)
    seen = []

    class Target:
        def replay_record(self, offset, record):
            seen.append((journal.entry_offset, record))

    journal = PartitionJournal(
        writing.log,
        writing.clock,
        Random(1),
        PartitionAssignment(0, PLACE, 1000),
        target=Target(),
        on_fenced=lambda: None,
    )
    journal.take_over()
    writing.run(1.0)
    assert seen == list(zip(offsets, entries, strict=True))


def test_an_entry_that_the_log_dropped_is_lost():
    writing = Writing(SMALL_LIMITS)
    offsets = offsets_of(writing, b"a" * 300, b"b" * 300)
    writing.log.partition("t", 0).drop_before(offsets[0] + 1)
    assert read(writing, offsets[0]) is NoEntry.LOST
    assert read(writing, offsets[1]) == {offsets[1]: b"b" * 300}
    assert read(writing, offsets[1] + 1) is NoEntry.LOST, "no first part"
    assert read(writing, offsets[1] + 100) is NoEntry.LOST, "beyond the end"
