"""Random feeds of good and bad parts with a fixed seed, and breaks that they must catch."""

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.calls.engines import EnginePool
from notcharch.journal import keyed_follower
from notcharch.journal.interface import Membership
from notcharch.journal.keyed_follower import KeyedFollower
from notcharch.journal.partition_journal import PartitionJournal
from notcharch.platform import engine_entries, log_answers, partial_table, tables
from notcharch.platform.engine_entries import ReadEntry
from tests.stateful.feeds import spoiling_log
from tests.stateful.feeds.machine import FeedsMachine
from tests.stateful.runs import RUN, assert_caught

LIVES = settings(RUN, max_examples=80, stateful_step_count=40)
BROKEN_LIVES = settings(
    LIVES, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False
)
WITHOUT_RECURSION = (msgspec.MsgspecError, ValueError)


def test_a_bad_part_of_a_feed_costs_itself_alone():
    run_state_machine_as_test(FeedsMachine, settings=LIVES)


def random_feeds():
    try:
        run_state_machine_as_test(FeedsMachine, settings=BROKEN_LIVES)
    except AssertionError:
        raise
    except Exception as error:  # a decoder's own exception reached the machine
        raise AssertionError from error


def decoders_do_not_know_nested_values(monkeypatch):
    for module in (engine_entries, log_answers, partial_table, tables):
        monkeypatch.setattr(module, "DECODING_ERRORS", WITHOUT_RECURSION)


def a_record_without_a_key_ends_the_step(monkeypatch):
    def readable(_follower, found):
        return [
            keyed_follower.KeyedRecord(*keyed_follower.split_keyed(record), offset)
            for offset, record in enumerate(found.records, start=found.first)
        ]

    monkeypatch.setattr(KeyedFollower, "_readable", readable)


def an_entry_with_a_bad_field_counts_as_gone(monkeypatch):
    def read(_id, value, _previous):
        return ReadEntry(value, None, None, ("all",))

    monkeypatch.setattr(engine_entries, "_read_fields", read)


def the_last_entry_stays_as_a_whole(monkeypatch):
    original = engine_entries._read_fields

    def read(id, value, previous):
        found = original(id, value, previous)
        if previous is None:
            return found
        engine = engine_entries.to_engine(id, previous)
        return ReadEntry(value, previous, engine, found.unreadable)

    monkeypatch.setattr(engine_entries, "_read_fields", read)


def engines_that_may_leave_get_calls(monkeypatch):
    original = EnginePool._update_state

    def update(pool, state, engine, now, _has_others):
        original(pool, state, engine, now, False)

    monkeypatch.setattr(EnginePool, "_update_state", update)


def a_bad_item_fails_its_page(monkeypatch):
    def newest(self, topic, partition, after=""):
        return self._log.newest(topic, partition, after).addCallback(
            lambda result: (
                spoiling_log.Err(
                    keyed_follower.LogProblem(keyed_follower.LogFault.FAILED)
                )
                if self.bad_item is not None
                else result
            )
        )

    monkeypatch.setattr(spoiling_log.SpoilingLog, "newest", newest)


def a_bad_row_releases_partitions(monkeypatch):
    original = log_answers.decode_membership

    def decode(body, faults):
        joined = original(body, faults)
        kept = joined.partitions if joined.is_whole else ()
        return Membership(joined.generation, kept)

    monkeypatch.setattr(spoiling_log, "decode_membership", decode)


def a_bad_entry_ends_the_takeover(monkeypatch):
    def replay(journal, offset, record):
        journal._target.replay_record(offset, record)

    monkeypatch.setattr(PartitionJournal, "_replay", replay)


def a_bad_route_fails_its_table(monkeypatch):
    def read(_value, _previous, _faults):
        raise ValueError("a bad part")

    monkeypatch.setattr(partial_table, "_read_parts", read)


BREAKS = [
    decoders_do_not_know_nested_values,
    a_record_without_a_key_ends_the_step,
    an_entry_with_a_bad_field_counts_as_gone,
    the_last_entry_stays_as_a_whole,
    engines_that_may_leave_get_calls,
    a_bad_item_fails_its_page,
    a_bad_row_releases_partitions,
    a_bad_entry_ends_the_takeover,
    a_bad_route_fails_its_table,
]


@pytest.mark.parametrize("break_it", BREAKS)
def test_each_deliberate_break_is_caught(break_it, monkeypatch):
    assert_caught(break_it, random_feeds, monkeypatch)
