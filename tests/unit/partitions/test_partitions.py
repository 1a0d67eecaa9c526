"""Partitions with daemons that crash, pause and leave, and a failing log service."""

import pytest
from result import Ok

from emulator.faults import FaultKind
from emulator.services.partitioned_log import Trouble
from notcharch.errors import ProblemCode, Ran
from notcharch.events import partitions as events
from notcharch.journal.interface import Producer
from notcharch.partitions.interface import CommandRefused
from notcharch.partitions.led_partition import MAX_PENDING_COMMANDS
from notcharch.partitions.records import SnapshotPart, encode_record, snapshot_parts
from tests.unit.events.capture import captured, of
from tests.unit.partitions.notes import Noted
from tests.unit.partitions.world import PARTITIONS, World

ALL = range(PARTITIONS)
TAKEOVER_SECONDS = 4.5
"""Covers a lease, the next heartbeat of another daemon and the replay."""


def started(**arguments) -> World:
    world = World(**arguments)
    world.run(2.0)
    return world


@pytest.mark.parametrize("daemons", [1, 2, 3, 5])
def test_a_fresh_region_leads_every_partition_soon(daemons):
    world = started(daemons=daemons)
    assert all(len(world.leaders(partition)) == 1 for partition in ALL)


def test_a_command_is_in_the_journal_before_it_is_answered():
    world = started()
    results = world.propose(0, "first")
    world.run(0.004)
    assert not results
    assert world.texts(0) == []
    world.run(0.02)
    assert results == [Ok(Noted(1))]
    assert len(world.journal(0).records) == 1
    assert world.texts(0) == ["first"]


def test_commands_that_wait_together_are_applied_in_order():
    world = started()
    results = [world.propose(0, f"{number}") for number in range(50)]
    world.run(0.1)
    assert [result for [result] in results] == [Ok(Noted(n + 1)) for n in range(50)]
    assert world.texts(0) == [f"{number}" for number in range(50)]


def test_another_daemon_names_the_leader():
    world = started()
    leader = world.leader(0)
    other = next(name for name in world.names if name != leader)
    [result] = world.propose(0, "x", by=other)
    assert result.err_value.is_code(ProblemCode.NOT_LEADER)
    assert result.err_value.ran is Ran.NO
    assert result.err_value.hint == leader


@pytest.mark.parametrize("silent", [False, True])
def test_a_dead_leader_is_replaced_and_nothing_is_lost(silent):
    world = started()
    world.commit(0, "first")
    former = world.leader(0)
    world.crash(former, silent=silent)
    world.run(TAKEOVER_SECONDS)
    assert world.leader(0) != former
    assert world.texts(0) == ["first"]
    world.commit(0, "second")
    assert world.texts(0) == ["first", "second"]


def test_a_process_that_starts_again_at_once_leads_again_without_a_lease():
    world = started()
    world.commit(0, "first")
    former = world.leader(0)
    world.crash(former)
    world.start(former)
    world.run(0.5)
    assert world.leader(0) == former
    assert world.texts(0) == ["first"]


def test_everything_outlives_the_loss_of_all_daemons():
    world = started()
    for partition in ALL:
        world.commit(partition, f"of {partition}", "more")
    for name in world.names:
        world.crash(name)
    world.run(10.0)
    for name in world.names:
        world.start(name)
    world.run(2.0)
    for partition in ALL:
        assert world.texts(partition) == [f"of {partition}", "more"]


def test_a_stop_refuses_what_is_proposed_after_it():
    world = started()
    leader = world.leader(0)
    waiting = world.propose(0, "on its way")
    world.services[leader].stop()
    [result] = world.propose(0, "x", by=leader)
    assert result.err_value.is_code(ProblemCode.NOT_LEADER)
    world.run(0.1)
    assert waiting[0] == Ok(Noted(1)) or waiting[0].err_value.ran is Ran.UNKNOWN


def test_a_log_that_does_not_answer_in_time_leaves_the_outcome_unknown():
    world = started()
    world.faults.order_fault(FaultKind.HANG, None)
    results = world.propose(0, "first")
    world.run(world.settings.commit_seconds + 0.1)
    [result] = results
    assert result.err_value.ran is Ran.UNKNOWN
    world.faults.clear_faults()
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0).count("first") <= 1


@pytest.mark.parametrize(
    "trouble", [Trouble.LOSE_ANSWER, Trouble.LOSE_CALL, Trouble.REFUSE]
)
def test_appends_without_an_answer_are_written_once(trouble):
    world = started()
    leader = world.leader(0)
    world.log.trouble = trouble
    results = world.propose(0, "first")
    world.run(0.02)
    world.log.trouble = Trouble.NONE
    world.run(2.5)
    assert results == [Ok(Noted(1))]
    assert world.leader(0) == leader
    world.crash(leader)
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0) == ["first"]


def test_a_defect_in_a_command_refuses_it_and_the_partition_goes_on():
    world = started()
    with captured() as messages:
        results = world.propose(0, "raise")
        world.run(0.1)
    assert isinstance(results[0].ok_value, CommandRefused)
    assert of(messages, events.CommandFailed)
    world.commit(0, "next")
    former = world.leader(0)
    world.crash(former)
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0) == ["next"]


def test_a_resumed_leader_serves_no_stale_state_and_writes_nothing():
    world = started()
    world.commit(0, "first")
    former = world.leader(0)
    world.fabric.pause(former)
    world.run(TAKEOVER_SECONDS)
    assert world.leader(0) != former
    world.commit(0, "second")
    old = world.services[former]
    assert old.leader_epoch(0) is None
    assert old.state(0) is None
    results = world.propose(0, "late", by=former)
    world.fabric.resume(former)
    world.run(1.0)
    assert results[0].err_value.ran is Ran.NO
    assert world.texts(0) == ["first", "second"]


def test_a_leader_that_cannot_reach_the_log_stops_answering_in_time():
    world = started()
    leader = world.leader(0)
    world.faults.order_fault(FaultKind.DOWN, None)
    world.run(world.settings.lease_seconds)
    assert world.leaders(0) == []
    world.faults.clear_faults()
    world.run(2.0)
    assert leader in world.names
    assert len(world.leaders(0)) == 1


def test_a_planned_stop_hands_over_without_waiting_for_a_lease():
    world = started()
    world.commit(0, "first")
    former = world.leader(0)
    in_flight = world.propose(0, "under way")
    world.run(0.001)
    waiting = world.propose(0, "waiting")
    done = []
    world.services[former].hand_over().addCallback(done.append)
    world.run(0.8)
    assert done
    assert in_flight == [Ok(Noted(2))]
    assert waiting == [Ok(Noted(3))]
    assert world.leader(0) != former
    assert world.texts(0) == ["first", "under way", "waiting"]


def test_a_reassigned_partition_keeps_its_state():
    world = started()
    for partition in ALL:
        world.commit(partition, f"{partition}")
    before = [world.leader(partition) for partition in ALL]
    world.log.groups.rebalance("partition-leaders")
    world.run(1.5)
    assert before != [world.leader(partition) for partition in ALL]
    for partition in ALL:
        assert world.texts(partition) == [f"{partition}"]


def test_too_many_pending_commands_are_refused_before_they_are_written():
    world = started()
    world.faults.order_fault(FaultKind.HANG, None)
    for number in range(MAX_PENDING_COMMANDS):
        world.propose(0, f"{number}")
    [result] = world.propose(0, "too much")
    assert result.err_value.ran is Ran.NO


# Snapshots


def run_until_snapshots(world: World) -> None:
    """Run until every partition has written a snapshot."""
    world.run(world.settings.snapshot_seconds + 10.0)


def test_a_snapshot_takes_the_place_of_the_records_before_it():
    world = started(snapshot_seconds=20.0)
    world.commit(0, *"abc")
    run_until_snapshots(world)
    world.commit(0, "d")
    assert world.journal(0).first >= 3
    world.crash(world.leader(0))
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0) == ["a", "b", "c", "d"]


def test_a_snapshot_follows_many_bytes_of_commands():
    world = started()
    texts = [f"{number}" + "x" * 60_000 for number in range(20)]
    world.commit(0, *texts)
    world.run(10.0)
    assert world.journal(0).first > 0
    world.crash(world.leader(0))
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0) == texts


def test_commands_on_their_way_while_a_snapshot_is_taken_are_not_lost():
    world = started()
    world.commit(0, "a")
    led = world.services[world.leader(0)]._assigned.get(0)
    results = [world.propose(0, text) for text in "bc"]
    led._write_snapshot()
    results += [world.propose(0, text) for text in "de"]
    world.run(0.2)
    assert all(isinstance(result, Ok) for [result] in results)
    assert world.journal(0).first == 1
    world.crash(world.leader(0))
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0) == ["a", "b", "c", "d", "e"]


def test_a_command_larger_than_a_record_of_the_log_outlives_its_leader():
    """Guards against a partition that is blocked by a command that is refused for good."""
    world = started()
    large = "x" * (world.log.limits.record_bytes + 1)
    world.commit(0, "a", large, "b")
    assert world.log.refused_bytes == []
    world.crash(world.leader(0))
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0) == ["a", large, "b"]


def test_a_snapshot_between_the_parts_of_a_command_does_not_trim_them():
    world = started()
    large = "x" * (4 * world.log.limits.record_bytes)
    world.commit(0, "a")
    led = world.services[world.leader(0)]._assigned.get(0)
    [result] = [world.propose(0, large)]
    world.run(0.007)
    assert led._journal.writer.end > led.end
    led._write_snapshot()
    world.run(0.5)
    assert isinstance(result[0], Ok)
    world.crash(world.leader(0))
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0) == ["a", large]


def append(world: World, partition: int, record) -> None:
    """Write a record as the current leader, then crash it."""
    leader = world.leader(partition)
    led = world.services[leader]._assigned.get(partition)
    assignment = led.assignment
    producer = Producer(
        assignment.log.topic, assignment.epoch, led._journal.writer._sequence + 1
    )
    world.journal(partition).append((encode_record(record),), producer)
    world.crash(leader)


def test_an_incomplete_snapshot_is_ignored():
    world = started()
    world.commit(0, "a")
    append(world, 0, SnapshotPart(1, 0, 2, 0.0, b"[]"))
    world.run(TAKEOVER_SECONDS)
    world.commit(0, "b")
    world.crash(world.leader(0))
    world.run(TAKEOVER_SECONDS)
    assert world.texts(0) == ["a", "b"]


def test_a_snapshot_that_lacks_records_is_not_used():
    world = started()
    world.commit(0, *"abc")
    [part] = snapshot_parts(b'["a"]', 1, 0.0)
    append(world, 0, part)
    world.journal(0).drop_before(2)
    with captured() as messages:
        world.run(TAKEOVER_SECONDS)
    assert world.leaders(0) == []
    assert of(messages, events.StateUnreadable)
    assert len(world.leaders(1)) == 1


def test_a_journal_that_lost_its_beginning_is_not_led():
    world = started()
    world.commit(0, *"abc")
    world.journal(0).drop_before(1)
    for name in world.names:
        world.crash(name)
        world.start(name)
    with captured() as messages:
        world.run(3.0)
    assert world.leaders(0) == []
    assert of(messages, events.StateUnreadable)


def test_the_age_of_the_last_snapshot_outlives_its_leader():
    world = started(snapshot_seconds=60.0)
    world.commit(0, "a")
    run_until_snapshots(world)
    first = len(world.journal(0).records)
    world.crash(world.leader(0))
    world.run(30.0)
    assert len(world.journal(0).records) == first
    world.run(40.0)
    assert world.journal(0).first > 1


def test_an_empty_partition_writes_nothing():
    world = started(snapshot_seconds=20.0)
    run_until_snapshots(world)
    assert all(world.journal(partition).end == 0 for partition in ALL)


def test_a_listener_that_fails_keeps_nobody_from_leading():
    world = World()
    for service in world.services.values():
        service.on_leadership(lambda *_: 1 / 0)
    with captured() as messages:
        world.run(2.0)
    assert of(messages, events.ListenerFailed)
    assert all(len(world.leaders(partition)) == 1 for partition in ALL)
