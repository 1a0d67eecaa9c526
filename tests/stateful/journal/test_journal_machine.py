"""Random histories of a journal over small records with a fixed seed, and breaks."""

import pytest
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.journal import writer
from notcharch.journal.entries import Outcome
from notcharch.journal.fragments import FragmentAssembler, FragmentSplitter
from notcharch.journal.writer import PartitionWriter
from tests.stateful.journal.machine import JournalMachine
from tests.stateful.runs import RUN, assert_caught
from tests.unit.journal import test_large_entries

LIVES = settings(RUN, max_examples=200, stateful_step_count=40)


def test_entries_are_stored_whole_once_and_in_order():
    run_state_machine_as_test(JournalMachine, settings=LIVES)


def parts_of_two_entries_are_joined(monkeypatch):
    def continues(self, fragment):
        return True

    monkeypatch.setattr(FragmentAssembler, "_continues", continues)


def records_of_any_size_are_sent(monkeypatch):
    monkeypatch.setattr(FragmentSplitter, "split", lambda _, entry: (entry,))


def an_entry_is_durable_with_its_first_record(monkeypatch):
    original = PartitionWriter._on_appended

    def on_appended(self, batch, appended):
        for item in batch:
            item.entry.finish(Outcome.DURABLE)
        original(self, batch, appended)

    monkeypatch.setattr(PartitionWriter, "_on_appended", on_appended)


def a_fenced_writer_says_that_nothing_is_stored(monkeypatch):
    monkeypatch.setattr(writer, "UNCERTAIN_FAULTS", ())


def an_entry_is_not_whole_if_a_part_of_it_is_in_doubt(monkeypatch):
    original = PartitionWriter._end_entry

    def end_entry(self, item, outcome):
        is_lost = outcome is Outcome.LOST and not item.is_last
        original(self, item, Outcome.NOT_WRITTEN if is_lost else outcome)

    monkeypatch.setattr(PartitionWriter, "_end_entry", end_entry)


BREAKS = [
    (
        parts_of_two_entries_are_joined,
        test_large_entries.test_the_parts_of_two_writers_are_never_joined,
    ),
    (
        records_of_any_size_are_sent,
        test_large_entries.test_an_entry_larger_than_a_record_does_not_block_its_partition,
    ),
    (
        an_entry_is_durable_with_its_first_record,
        test_large_entries.test_an_entry_whose_writer_ends_before_its_last_part_is_never_read,
    ),
    (
        an_entry_is_not_whole_if_a_part_of_it_is_in_doubt,
        test_large_entries.test_an_entry_whose_last_part_may_be_stored_is_not_said_to_be_unwritten,
    ),
    (
        a_fenced_writer_says_that_nothing_is_stored,
        test_large_entries.test_an_entry_whose_last_part_may_be_stored_is_not_said_to_be_unwritten,
    ),
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)
