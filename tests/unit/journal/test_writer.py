"""Writing a partition: each record once, until another writer fences this one."""

from random import Random

import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.journal.entries import Outcome
from notcharch.journal.interface import (
    LogPartition,
)
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.writer import RETRY_SECONDS, PartitionWriter
from notcharch.values.memory_pool import MemoryPool
from tests.unit.journal.writing import Writing


def test_records_that_wait_go_in_one_append():
    world = Writing()
    writer = world.claimed(1)
    calls = world.log.calls
    world.write(writer, b"a", b"b", b"c", b"d")
    world.run(0.1)
    assert world.records == [b"a", b"b", b"c", b"d"]
    assert world.outcomes == [Outcome.DURABLE] * 4
    assert world.log.calls - calls == 2


@pytest.mark.parametrize("trouble", [t for t in Trouble if t is not Trouble.NONE])
def test_each_record_is_written_once_whatever_happens(trouble):
    world = Writing()
    writer = world.claimed(1)
    world.write(writer, b"a")
    world.run(0.1)
    world.log.trouble = trouble
    world.write(writer, b"b", b"c")
    world.run(4.0)
    world.log.trouble = Trouble.NONE
    world.write(writer, b"d")
    world.run(6.0)
    assert world.records == [b"a", b"b", b"c", b"d"]
    assert world.outcomes == [Outcome.DURABLE] * 4


def test_a_fenced_writer_is_notified_once_and_stops_writing():
    world = Writing()
    former = world.claimed(1)
    world.claimed(2)
    world.write(former, b"a", b"b")
    world.run(0.1)
    world.write(former, b"c")
    assert world.outcomes == [Outcome.NOT_WRITTEN] * 3
    assert (world.records, world.fenced) == ([], [1])


def test_a_lower_epoch_cannot_claim():
    world = Writing()
    world.claimed(2)
    assert not world.claimed(1).is_open


def test_a_writer_knows_whether_it_is_alone():
    world = Writing()
    former = world.claimed(1)
    world.write(former, b"a")
    world.run(0.1)
    former.confirm().addCallback(world.outcomes.append)
    world.run(0.1)
    assert world.outcomes == [Outcome.DURABLE, Outcome.DURABLE]
    successor = world.claimed(2)
    world.write(successor, b"b")
    world.run(0.1)
    former.confirm().addCallback(world.outcomes.append)
    world.run(0.1)
    assert world.outcomes[-1] is Outcome.LOST


@pytest.mark.parametrize("trouble", [Trouble.REFUSE, Trouble.LOSE_CALL])
def test_a_writer_goes_on_as_soon_as_the_log_service_is_back(trouble):
    world = Writing()
    recovery = RecoverySignal(world.clock)
    writer = PartitionWriter(
        world.log,
        world.clock,
        Random(1),
        LogPartition("t", 0),
        epoch=1,
        on_fenced=lambda: None,
        recovery=recovery,
    )
    writer.claim()
    world.run(0.1)
    world.log.trouble = trouble
    outcomes: list[Outcome] = []
    writer.write(b"record", outcomes.append)
    world.run(7.0)
    assert outcomes == []
    world.log.trouble = Trouble.NONE
    recovery.recovered()
    world.run(2 * RETRY_SECONDS)
    assert outcomes == [Outcome.DURABLE]
    assert world.log.partition("t", 0).records == [b"record"]


def test_entries_that_must_wait_are_written_although_there_is_no_room():
    """What a partition's next owner needs must not be lost to a full queue."""
    writing = Writing()
    writing.held = MemoryPool(4000).holder("journal")
    writer = writing.claimed(1)
    writing.log.trouble = Trouble.REFUSE
    writing.write(writer, b"a" * 1500, b"b" * 1500)
    assert writing.outcomes == [Outcome.NOT_WRITTEN]
    writer.write(b"c" * 5000, writing.outcomes.append, must_wait=True)
    writing.run(1.0)
    assert writing.outcomes == [Outcome.NOT_WRITTEN]
    writing.log.trouble = Trouble.NONE
    writing.run(2.0)
    assert writing.outcomes == [Outcome.NOT_WRITTEN, Outcome.DURABLE, Outcome.DURABLE]
    assert writing.held.held == 0


def test_a_closed_writer_holds_nothing():
    writing = Writing()
    writing.held = MemoryPool(4000).holder("journal")
    writer = writing.claimed(1)
    writing.log.trouble = Trouble.REFUSE
    writing.write(writer, b"a" * 1500)
    writing.run(0.2)
    writer.close()
    writing.run(5.0)
    assert writing.held.held == 0
