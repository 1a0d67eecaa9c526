"""The archive in the log service, and what is rebuilt from it."""

import pytest
from result import Ok

from notcharch.replication.archive_records import decode_record, stream_of
from notcharch.values.identifiers import PartitionNumber
from tests.unit.replication.region import REGION, Region


def settled(daemons=3, **settings):
    region = Region(daemons, **settings)
    region.run(1.0)
    return region


def note(region, texts, partition=0):
    for text in texts:
        results = region.propose(partition, text)
        region.run(0.05)
        assert isinstance(results[0], Ok)


def kinds(region, partition=0):
    stream = region.log.streams[stream_of(REGION, PartitionNumber(partition))]
    return [type(decode_record(stored.data)).__name__ for stored in stream]


def restart_all(region):
    count = len(region.services)
    region.stop_all()
    for number in range(count):
        region.start(f"daemon-{number}", zone=f"zone-{number % 3}")


def test_idle_partitions_write_only_their_claim():
    region = settled()
    region.run(30)
    assert kinds(region) == ["ClaimRecord"]
    appends = region.log.appends
    messages = sum(traffic.messages for traffic in region.fabric.traffic.values())
    region.run(60)
    assert region.log.appends == appends
    now = sum(traffic.messages for traffic in region.fabric.traffic.values())
    assert now == messages


def test_everything_is_rebuilt_from_the_log_when_all_daemons_restart():
    region = settled()
    note(region, ["a", "b"])
    region.run(3.0)
    restart_all(region)
    region.run(5.0)
    assert region.texts(region.leader_of(0), 0) == ["a", "b"]
    note(region, ["c"])
    status = region.services[region.leader_of(0)].status()
    assert [doubt.partition for doubt in status.in_doubt] == sorted(
        region.services[region.leader_of(0)].led_partitions()
    )


def test_nothing_is_rebuilt_while_a_majority_may_still_live():
    region = settled()
    note(region, ["a"])
    region.run(3.0)
    survivor = region.leader_of(0)
    for name in [name for name in region.services if name != survivor]:
        region.crash(name, certainly=False)
    region.run(60)
    assert region.leader_of(0) is None
    assert kinds(region) == ["ClaimRecord", "BatchRecord"]


@pytest.mark.parametrize("survivor_leads", [True, False])
def test_one_survivor_of_three_rebuilds_with_all_that_it_holds(survivor_leads):
    region = settled()
    region.log.is_down = True
    note(region, ["a", "b"])
    region.run(1.0)
    leader = region.leader_of(0)
    others = [name for name in region.services if name != leader]
    survivor = leader if survivor_leads else others[0]
    for name in tuple(region.services):
        if name != survivor:
            region.crash(name)
    region.run(3.0)
    assert region.leader_of(0) is None
    region.log.is_down = False
    region.run(10.0)
    assert region.leader_of(0) == survivor
    assert region.texts(survivor, 0) == ["a", "b"]
    region.run(3.0)
    restart_all(region)
    region.run(10.0)
    assert region.texts(region.leader_of(0), 0) == ["a", "b"]


def test_calls_go_on_while_the_log_is_down_and_the_backlog_drains_later():
    region = settled()
    region.log.is_down = True
    note(region, [str(number) for number in range(50)])
    region.run(60)
    note(region, ["last"])
    leader = region.services[region.leader_of(0)]
    assert leader.status().backlog_bytes > 0
    assert leader.status().archive_failing_seconds > 50
    region.log.is_down = False
    region.run(20)
    assert leader.status().backlog_bytes == 0
    assert leader.status().archive_failing_seconds is None
    restart_all(region)
    region.run(5)
    assert region.texts(region.leader_of(0), 0)[-1] == "last"


def test_a_full_backlog_is_dropped_and_a_snapshot_archived_later():
    region = settled(archive_backlog_bytes=4096)
    region.log.is_down = True
    note(region, ["x" * 1000 + str(number) for number in range(10)])
    region.run(3)
    note(region, ["x" * 1000 + str(number) for number in range(10, 20)])
    leader = region.services[region.leader_of(0)]
    region.run(3)
    assert leader.status().backlog_bytes <= 4096
    region.log.is_down = False
    region.run(20)
    assert "SnapshotRecord" in kinds(region)
    restart_all(region)
    region.run(5)
    assert len(region.texts(region.leader_of(0), 0)) == 20


def test_replay_begins_at_the_newest_snapshot():
    region = settled(archive_seconds=0.1)
    for number in range(300):
        note(region, [("x" * 10_000) + str(number)])
    region.run(2)
    assert "SnapshotRecord" in kinds(region)
    texts = region.texts(region.leader_of(0), 0)
    restart_all(region)
    reads = region.log.reads
    region.run(5)
    assert region.texts(region.leader_of(0), 0) == texts
    assert region.log.reads - reads < 40


@pytest.mark.parametrize("lost", [1, 2, 5])
def test_lost_answers_of_appends_change_nothing(lost):
    region = Region(3)
    region.log.lose_answers = lost
    region.run(6.0)
    note(region, ["a"])
    region.log.lose_answers = lost
    region.run(20.0)
    note(region, ["b"])
    region.run(20.0)
    restart_all(region)
    region.run(6.0)
    assert region.texts(region.leader_of(0), 0) == ["a", "b"]


def test_a_planned_stop_moves_everything_elsewhere_first():
    region = settled(4)
    note(region, ["a"])
    leader = region.leader_of(0)
    region.leave(leader)
    reports = []
    region.services[leader].hand_over(20.0).addCallback(reports.append)
    region.run(5.0)
    [report] = reports
    assert (report.led, report.replicated) == (0, 0)
    assert region.leader_of(0) not in (None, leader)
    assert region.texts(region.leader_of(0), 0) == ["a"]


def test_stopping_all_one_by_one_keeps_what_the_log_never_saw():
    region = settled()
    region.log.is_down = True
    note(region, ["a"])
    for number in range(3):
        name = f"daemon-{number}"
        region.leave(name)
        reports = []
        region.services[name].hand_over(20.0).addCallback(reports.append)
        region.run(5.0)
        assert reports[0].replicated == 0
        region.start(name, zone=f"zone-{number}")
    region.run(3.0)
    assert region.texts(region.leader_of(0), 0) == ["a"]
