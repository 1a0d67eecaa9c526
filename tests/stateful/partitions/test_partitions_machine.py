"""Random histories of partitions with a fixed seed, and faults that they detect."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from twisted.internet.defer import succeed

from notcharch.journal.entries import Outcome
from notcharch.journal.group import GroupMember
from notcharch.journal.writer import PartitionWriter
from notcharch.partitions.led_partition import LedPartition
from notcharch.partitions.replay import Replay
from tests.stateful.partitions.machine import PartitionsMachine
from tests.stateful.runs import RUN, assert_caught
from tests.unit.partitions import test_partitions as scenarios

WITHOUT_SHRINKING = settings(RUN, phases=(Phase.generate,), report_multiple_bugs=False)
"""Enough to show that a deliberate fault is detected."""


def test_what_was_acknowledged_stays():
    run_state_machine_as_test(PartitionsMachine, settings=RUN)


def commands_are_answered_before_they_are_written(monkeypatch):
    original = PartitionWriter.write

    def write(self, record, done):
        done(Outcome.DURABLE)
        original(self, record, lambda _: None)

    monkeypatch.setattr(PartitionWriter, "write", write)


def appends_are_sent_without_a_producer(monkeypatch):
    original = PartitionWriter._append

    def append(self, records):
        original_append = self._service.append

        def append_without_producer(topic, partition, records, _producer):
            return original_append(topic, partition, records, None)

        with monkeypatch.context() as patch:
            patch.setattr(self._service, "append", append_without_producer)
            return original(self, records)

    monkeypatch.setattr(PartitionWriter, "_append", append)


def an_unknown_outcome_is_reported_as_not_written(monkeypatch):
    original = LedPartition._on_written

    def written(self, proposal, outcome):
        is_unknown = outcome is Outcome.LOST
        original(self, proposal, Outcome.NOT_WRITTEN if is_unknown else outcome)

    monkeypatch.setattr(LedPartition, "_on_written", written)
    monkeypatch.setattr(
        LedPartition,
        "_expire",
        lambda self, proposal: written(self, proposal, Outcome.LOST),
    )


def a_leader_ignores_its_lease(monkeypatch):
    monkeypatch.setattr(GroupMember, "is_lease_valid", property(lambda _: True))


def a_snapshot_claims_commands_in_flight(monkeypatch):
    original = LedPartition._write_snapshot
    end = LedPartition.end

    def write_snapshot(self):
        ahead = property(lambda partition: end.fget(partition) + partition.waiting)
        with monkeypatch.context() as patch:
            patch.setattr(LedPartition, "end", ahead)
            original(self)

    monkeypatch.setattr(LedPartition, "_write_snapshot", write_snapshot)


def a_snapshot_is_used_despite_missing_records(monkeypatch):
    original = Replay.skip_to

    def skip_to(self, offset):
        original(self, offset)
        self._first_offset = 0

    monkeypatch.setattr(Replay, "skip_to", skip_to)


def missing_first_records_are_not_detected(monkeypatch):
    monkeypatch.setattr(Replay, "skip_to", lambda self, offset: None)


def parts_of_an_incomplete_snapshot_are_restored(monkeypatch):
    original = Replay._add_part

    def take_part(self, part):
        self.is_complete = False
        self._first_offset = 0
        original(self, part)
        if not self.is_complete:
            self.state.restore(part.data)
            self.is_complete = True

    monkeypatch.setattr(Replay, "_add_part", take_part)


def a_planned_stop_does_not_wait_for_the_journal(monkeypatch):
    def hand_over(self):
        self.close()
        return succeed(None)

    monkeypatch.setattr(LedPartition, "hand_over", hand_over)


BREAKS = [
    (
        commands_are_answered_before_they_are_written,
        scenarios.test_a_command_is_in_the_journal_before_it_is_answered,
    ),
    (
        appends_are_sent_without_a_producer,
        lambda: scenarios.test_appends_without_an_answer_are_written_once(
            scenarios.Trouble.LOSE_ANSWER
        ),
    ),
    (
        an_unknown_outcome_is_reported_as_not_written,
        scenarios.test_a_log_that_does_not_answer_in_time_leaves_the_outcome_unknown,
    ),
    (
        a_leader_ignores_its_lease,
        scenarios.test_a_resumed_leader_serves_no_stale_state_and_writes_nothing,
    ),
    (
        a_snapshot_claims_commands_in_flight,
        scenarios.test_commands_on_their_way_while_a_snapshot_is_taken_are_not_lost,
    ),
    (
        a_snapshot_is_used_despite_missing_records,
        scenarios.test_a_snapshot_that_lacks_records_is_not_used,
    ),
    (
        missing_first_records_are_not_detected,
        scenarios.test_a_journal_that_lost_its_beginning_is_not_led,
    ),
    (
        parts_of_an_incomplete_snapshot_are_restored,
        scenarios.test_an_incomplete_snapshot_is_ignored,
    ),
    (
        a_planned_stop_does_not_wait_for_the_journal,
        scenarios.test_a_planned_stop_hands_over_without_waiting_for_a_lease,
    ),
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)


MACHINE_BREAKS = (
    commands_are_answered_before_they_are_written,
    a_snapshot_claims_commands_in_flight,
)


@pytest.mark.parametrize("break_it", MACHINE_BREAKS)
def test_the_machine_catches_breaks_by_itself(break_it, monkeypatch):
    break_it(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(PartitionsMachine, settings=WITHOUT_SHRINKING)
