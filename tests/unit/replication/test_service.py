"""The replica groups of daemons over the memory transport."""

import pytest
from result import Ok

from notcharch.errors import ProblemCode, Ran
from notcharch.replication.interface import CommandRefused
from tests.unit.replication.counting import Noted
from tests.unit.replication.region import Region

PARTITIONS = range(4)


@pytest.mark.parametrize("daemons", [1, 2, 3, 5])
def test_a_fresh_region_leads_every_partition_soon(daemons):
    region = Region(daemons)
    region.run(1.0)
    assert all(region.leader_of(partition) for partition in PARTITIONS)


def test_a_command_is_applied_on_a_majority_before_it_is_answered():
    region = Region()
    region.run(1.0)
    results = region.propose(0, "first")
    region.run(0.02)
    assert results == [Ok(Noted(1))]
    region.run(1.0)
    for daemon in region.services:
        assert region.texts(daemon, 0) == ["first"]


def test_another_daemon_names_the_leader():
    region = Region()
    region.run(1.0)
    leader = region.leader_of(0)
    other = next(name for name in region.services if name != leader)
    [result] = region.propose(0, "x", by=other)
    assert result.err_value.is_code(ProblemCode.NOT_LEADER)
    assert result.err_value.hint == leader


def test_a_dead_leader_is_replaced_and_nothing_is_lost():
    region = Region()
    region.run(1.0)
    results = region.propose(0, "first")
    region.run(0.02)
    assert results
    region.crash(region.leader_of(0))
    region.run(1.0)
    leader = region.leader_of(0)
    assert leader is not None
    assert region.texts(leader, 0) == ["first"]
    results = region.propose(0, "second")
    region.run(0.1)
    assert results == [Ok(Noted(2))]


def test_restarts_one_after_another_keep_everything():
    region = Region()
    region.run(1.0)
    region.propose(0, "first")
    region.run(0.1)
    for _ in range(2):
        for number in range(3):
            region.start(f"daemon-{number}", zone=f"zone-{number}")
            region.run(2.0)
    for daemon in region.services:
        assert region.texts(daemon, 0) == ["first"]


def test_a_daemon_that_knows_only_itself_founds_nothing():
    region = Region(0)
    region.newcomers = {"daemon-0", "daemon-1", "daemon-2"}
    region.start("daemon-0", zone="zone-0")
    region.run(3.0)
    assert region.leader_of(0) is None
    region.start("daemon-1", zone="zone-1")
    region.start("daemon-2", zone="zone-2")
    taken = []
    for service in region.services.values():
        service.on_leadership(lambda _, epoch: taken.append(epoch))
    region.newcomers.clear()
    region.run(30.0)
    assert all(region.leader_of(partition) for partition in PARTITIONS)
    assert len(taken) == len(PARTITIONS)  # founded by who should lead; nothing moves


def test_a_stop_answers_what_was_proposed_and_refuses_the_rest():
    region = Region()
    region.run(1.0)
    leader = region.leader_of(0)
    pending = region.propose(0, "first")
    region.services[leader].stop()
    [answer] = pending
    assert answer.err_value.is_code(ProblemCode.UNAVAILABLE)
    assert answer.err_value.ran is Ran.UNKNOWN
    [answer] = region.propose(0, "second", by=leader)
    assert answer.err_value.is_code(ProblemCode.NOT_LEADER)
    assert answer.err_value.ran is Ran.NO


def test_a_majority_that_does_not_answer_in_time_leaves_the_outcome_unknown():
    region = Region()
    region.run(1.0)
    leader = region.leader_of(0)
    others = [name for name in region.services if name != leader]
    region.fabric.cut([leader], others)
    pending = region.propose(0, "first")
    region.run(6.0)
    [answer] = pending
    assert answer.err_value.is_code(ProblemCode.UNAVAILABLE)
    assert answer.err_value.ran is Ran.UNKNOWN


def test_a_defect_in_a_command_refuses_it_and_the_group_goes_on():
    region = Region()
    region.run(1.0)
    results = region.propose(0, "raise")
    region.run(0.1)
    assert isinstance(results[0].ok_value, CommandRefused)
    results = region.propose(0, "next")
    region.run(0.1)
    assert results == [Ok(Noted(1))]
