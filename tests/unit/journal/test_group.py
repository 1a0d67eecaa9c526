"""Membership of the group that assigns partitions, under faults."""

from random import Random

import pytest
from twisted.internet.task import Clock

from emulator.services.partitioned_log import (
    ANSWER_SECONDS,
    LOST_SECONDS,
    PartitionedLog,
    Trouble,
)
from notcharch.events import process
from notcharch.journal.group import (
    FAST_HEARTBEAT_SECONDS,
    HEARTBEAT_SECONDS,
    LEASE_SECONDS,
    GroupMember,
)
from notcharch.journal.interface import (
    GroupName,
)
from tests.unit.events.capture import captured, of

ALL = ["t0", "t1", "u0", "u1"]


class Group:
    """The members of a group and their assigned partitions."""

    def __init__(self, *names: str) -> None:
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 2)
        self.assigned: dict[str, tuple[str, ...]] = {}
        self.fault = ""
        self.members = {name: self.member(name) for name in names}
        for member in self.members.values():
            member.start()
        self.run(1.0)

    def member(self, name: str) -> GroupMember:
        def on_assignment(membership):
            if self.fault == name:
                raise ValueError("an unexpected exception")
            self.assigned[name] = tuple(
                f"{partition.topic}{partition.number}"
                for partition in membership.partitions
            )

        return GroupMember(
            self.log,
            self.clock,
            GroupName("g", ("t", "u")),
            name,
            min_lease_seconds=1.0,
            on_assignment=on_assignment,
        )

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)


@pytest.mark.parametrize(
    ("trouble", "seconds"),
    [(Trouble.LOSE_CALL, FAST_HEARTBEAT_SECONDS), (Trouble.REFUSE, HEARTBEAT_SECONDS)],
)
def test_a_heartbeat_without_an_answer_is_soon_repeated(trouble, seconds):
    world = Group("a")
    world.run(2.0)
    world.log.trouble = trouble
    before = world.log.calls
    while world.log.calls == before:
        world.run(0.01)
    sent_at = world.clock.seconds()
    response_seconds = LOST_SECONDS if trouble is Trouble.LOSE_CALL else ANSWER_SECONDS
    while world.log.calls == before + 1:
        world.run(0.01)
    assert world.clock.seconds() - sent_at == pytest.approx(
        response_seconds + seconds, abs=0.03
    )


def test_partitions_are_assigned_evenly_and_completely():
    world = Group("a", "b")
    assert sorted(world.assigned["a"] + world.assigned["b"]) == ALL
    assert len(world.assigned["a"]) == 2


def test_a_member_that_leaves_is_replaced_at_the_next_heartbeats():
    world = Group("a", "b")
    world.members["a"].leave()
    world.run(0.45)
    assert sorted(world.assigned["b"]) == ALL


def test_a_silent_member_is_replaced_after_its_lease():
    world = Group("a", "b")
    world.members["a"].stop()
    world.run(LEASE_SECONDS - 0.4)
    assert len(world.assigned["b"]) == 2
    world.run(0.9)
    assert sorted(world.assigned["b"]) == ALL


def test_an_exception_does_not_end_the_heartbeats():
    world = Group("a", "b")
    world.fault = "a"
    world.run(3.0)
    world.fault = ""
    world.run(0.5)
    assert len(world.assigned["a"]) == 2
    assert len(world.assigned["b"]) == 2


def lone_member(clock: Clock, log: PartitionedLog, **callbacks) -> GroupMember:
    group = GroupName("g", ("t",))
    return GroupMember(log, clock, group, "m", min_lease_seconds=1.0, **callbacks)


def test_the_first_heartbeat_after_an_outage_reports_the_recovery():
    clock = Clock()
    log = PartitionedLog(clock, Random(1), 2)
    recoveries: list[float] = []
    member = lone_member(
        clock,
        log,
        on_assignment=lambda _: None,
        on_recovery=lambda: recoveries.append(clock.seconds()),
    )
    member.start()
    clock.pump([0.02] * 100)
    assert recoveries == []
    log.trouble = Trouble.REFUSE
    clock.pump([0.02] * 100)
    log.trouble = Trouble.NONE
    clock.pump([0.02] * 100)
    assert len(recoveries) == 1
    assert recoveries[0] <= 4.0 + HEARTBEAT_SECONDS + 0.04


def test_an_exception_of_one_assignment_is_logged_and_ends_no_heartbeats():
    clock = Clock()
    log = PartitionedLog(clock, Random(1), 2)
    assignments = []

    def on_assignment(membership):
        assignments.append(membership)
        raise ValueError("a defect")

    member = lone_member(clock, log, on_assignment=on_assignment)
    with captured() as messages:
        member.start()
        clock.pump([0.1] * 30)
    assert len(assignments) > 3
    assert member.is_lease_valid
    assert len(of(messages, process.PartSkipped)) == 1
