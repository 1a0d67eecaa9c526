"""Following a keyed topic, staying in a group and writing a partition, under faults."""

from random import Random

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from emulator.services.partitioned_log import (
    ANSWER_SECONDS,
    LOST_SECONDS,
    PartitionedLog,
    Trouble,
)
from notcharch.events import process
from notcharch.journal.group import (
    HEARTBEAT_SECONDS,
    LEASE_SECONDS,
    QUICK_SECONDS,
    GroupMember,
)
from notcharch.journal.interface import (
    GroupName,
    LogFault,
    LogPartition,
    LogProblem,
)
from notcharch.journal.keyed_follower import RETRY_SECONDS as RETRY_SECONDS_OF_READS
from notcharch.journal.keyed_follower import KeyedFollower, Pace, join_keyed
from notcharch.journal.recovery_signal import STALE_SECONDS, RecoverySignal
from notcharch.journal.writer import RETRY_SECONDS, Outcome, PartitionWriter
from tests.unit.events.capture import captured, of

TOPIC = "keyed.things"
PACE = Pace(wait_seconds=1.0, pause_seconds=0.1)


class Following:
    """A follower, and what it was told."""

    def __init__(self, pace: Pace = PACE) -> None:
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 2)
        self.told: list[dict[str, bytes]] = []
        self.fault = False
        self.recovery = RecoverySignal(self.clock)
        self.follower = KeyedFollower(
            self.log,
            self.clock,
            Random(1),
            TOPIC,
            pace=pace,
            changed=self.changed,
            recovery=self.recovery,
        )

    def changed(self, values):
        if self.fault:
            raise ValueError("a fault of the program")
        self.told.append(dict(values))

    def put(self, key: str, value: bytes) -> None:
        self.log.append(TOPIC, 0, (join_keyed(key, value),))
        self.run(0.01)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)


def started(*keys: str) -> Following:
    world = Following()
    for key in keys:
        world.put(key, b"1")
    world.follower.start()
    world.run(0.2)
    return world


def test_a_picture_then_each_change():
    world = started("a", "b")
    assert world.told[-1] == {"a": b"1", "b": b"1"}
    world.put("a", b"2")
    world.put("c", b"3")
    world.put("b", b"")
    world.run(0.5)
    assert world.told[-1] == {"a": b"2", "c": b"3"}


def test_a_change_is_heard_soon_after_a_rest():
    world = started("a")
    world.run(10.0)
    world.put("a", b"2")
    world.run(0.2)
    assert world.told[-1] == {"a": b"2"}


@pytest.mark.parametrize("trouble", [t for t in Trouble if t is not Trouble.NONE])
def test_what_changed_during_an_outage_is_heard_after_it(trouble):
    world = started("a")
    world.log.trouble = trouble
    world.run(5.0)
    assert world.told[-1] == {"a": b"1"}
    world.log.trouble = Trouble.NONE
    world.put("a", b"2")
    world.run(3.0)
    assert world.told[-1] == {"a": b"2"}


def test_a_read_that_was_lost_is_repeated_when_the_log_service_is_back():
    """Not only when its own time is over: what changed meanwhile is heard at once."""
    world = started("a")
    world.log.trouble = Trouble.LOSE_CALL
    world.run(PACE.wait_seconds + PACE.pause_seconds + 2 * STALE_SECONDS)
    world.log.trouble = Trouble.NONE
    world.put("a", b"2")
    world.recovery.recovered()
    world.run(2 * RETRY_SECONDS_OF_READS)
    assert world.told[-1] == {"a": b"2"}


def test_a_topic_that_is_back_is_told_of_at_once_though_nothing_changed():
    """The first read after a fault is not held."""
    world = started("a")
    with captured() as messages:
        world.log.trouble = Trouble.REFUSE
        world.run(PACE.wait_seconds + PACE.pause_seconds + 2 * STALE_SECONDS)
        world.log.trouble = Trouble.NONE
        world.recovery.recovered()
        world.run(5 * ANSWER_SECONDS)
    assert len(of(messages, process.DependencyLost)) == 1
    assert len(of(messages, process.DependencyRegained)) == 1


def test_a_pause_after_refused_reads_ends_when_the_log_service_is_back():
    world = started("a")
    world.log.trouble = Trouble.REFUSE
    world.run(10.0)
    world.log.trouble = Trouble.NONE
    world.put("a", b"2")
    world.recovery.recovered()
    world.run(5 * ANSWER_SECONDS)
    assert world.told[-1] == {"a": b"2"}


def test_a_history_that_was_dropped_is_made_up_by_a_new_picture():
    world = started("a")
    world.log.trouble = Trouble.REFUSE
    world.run(1.0)
    world.log.trouble = Trouble.NONE
    partition = world.log.partition(TOPIC, 0)
    partition.records.extend([join_keyed("a", b"2"), join_keyed("a", b"3")])
    partition.drop_before(2)
    world.run(3.0)
    assert world.told[-1] == {"a": b"3"}


SLOW_PAGES = Pace(wait_seconds=0.2, pause_seconds=0.1, page_pause_seconds=2.0)
MANY = [f"k{number:04}" for number in range(1200)]


def slowly_started() -> Following:
    """Follow 1,200 keys page by page, with the first page read."""
    world = Following(SLOW_PAGES)
    world.log.append(TOPIC, 0, tuple(join_keyed(key, b"1") for key in MANY))
    world.run(0.1)
    world.follower.start()
    world.run(0.1)
    return world


def test_a_large_topic_is_told_page_by_page():
    world = slowly_started()
    assert sorted(world.told[-1]) == MANY[:500]
    world.run(9.0)
    assert sorted(world.told[-1]) == MANY


@pytest.mark.parametrize("key", [MANY[0], MANY[700], MANY[1199]])
@pytest.mark.parametrize("value", [b"2", b""])
def test_changes_between_two_pages_are_not_undone_by_a_page(key, value):
    world = slowly_started()
    world.put(key, value)
    world.run(0.6)
    assert world.told[-1].get(key, b"") == value
    world.run(9.0)
    assert world.told[-1].get(key, b"") == value
    assert len(world.told[-1]) == (1200 if value else 1199)


def test_a_new_picture_keeps_what_was_known_until_it_is_whole():
    world = slowly_started()
    world.run(9.0)
    world.follower._offset = -1
    before = len(world.told)
    world.run(9.0)
    assert len(world.told) > before
    assert all(sorted(told) == MANY for told in world.told[before:])


def test_keys_that_went_before_a_new_picture_are_forgotten_with_its_last_page():
    world = slowly_started()
    world.run(9.0)
    partition = world.log.partition(TOPIC, 0)
    partition.records[:] = [r for r in partition.records if r[1:6] != b"k0007"]
    world.follower._offset = -1
    world.run(9.0)
    assert sorted(world.told[-1]) == [key for key in MANY if key != "k0007"]


def test_more_keys_than_a_page_holds():
    world = Following()
    keys = [f"k{number:04}" for number in range(1200)]
    records = tuple(join_keyed(key, b"1") for key in keys)
    world.log.append(TOPIC, 0, records)
    world.run(0.1)
    world.follower.start()
    world.run(1.0)
    assert sorted(world.told[-1]) == keys


def test_a_fault_of_the_program_does_not_end_the_following():
    world = started("a")
    world.fault = True
    world.put("a", b"2")
    world.run(0.5)
    world.fault = False
    world.run(3.0)
    assert world.told[-1] == {"a": b"2"}


ALL = ["t0", "t1", "u0", "u1"]


class Group:
    """Members of a group."""

    def __init__(self, *names: str) -> None:
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 2)
        self.held: dict[str, tuple[str, ...]] = {}
        self.fault = ""
        self.members = {name: self.member(name) for name in names}
        for member in self.members.values():
            member.start()
        self.run(1.0)

    def member(self, name: str) -> GroupMember:
        def dealt(membership):
            if self.fault == name:
                raise ValueError("a fault of the program")
            self.held[name] = tuple(
                f"{place.topic}{place.number}" for place in membership.partitions
            )

        return GroupMember(
            self.log,
            self.clock,
            GroupName("g", ("t", "u")),
            name,
            least_lease_seconds=1.0,
            dealt=dealt,
        )

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)


@pytest.mark.parametrize(
    ("trouble", "seconds"),
    [(Trouble.LOSE_CALL, QUICK_SECONDS), (Trouble.REFUSE, HEARTBEAT_SECONDS)],
)
def test_a_heartbeat_without_an_answer_is_soon_repeated(trouble, seconds):
    world = Group("a")
    world.run(2.0)
    world.log.trouble = trouble
    before = world.log.calls
    while world.log.calls == before:
        world.run(0.01)
    lost = world.clock.seconds()
    waited = LOST_SECONDS if trouble is Trouble.LOSE_CALL else ANSWER_SECONDS
    while world.log.calls == before + 1:
        world.run(0.01)
    assert world.clock.seconds() - lost == pytest.approx(waited + seconds, abs=0.03)


def test_partitions_are_dealt_evenly_and_whole():
    world = Group("a", "b")
    assert sorted(world.held["a"] + world.held["b"]) == ALL
    assert len(world.held["a"]) == 2


def test_a_member_that_leaves_is_replaced_at_the_next_heartbeats():
    world = Group("a", "b")
    world.members["a"].leave()
    world.run(0.45)
    assert sorted(world.held["b"]) == ALL


def test_a_silent_member_is_replaced_after_its_lease():
    world = Group("a", "b")
    world.members["a"].stop()
    world.run(LEASE_SECONDS - 0.4)
    assert len(world.held["b"]) == 2
    world.run(0.9)
    assert sorted(world.held["b"]) == ALL


def test_a_fault_of_the_program_does_not_end_the_heartbeats():
    world = Group("a", "b")
    world.fault = "a"
    world.run(3.0)
    world.fault = ""
    world.run(0.5)
    assert len(world.held["a"]) == 2
    assert len(world.held["b"]) == 2


class Writing:
    """A writer of partition 0, and the outcomes of its records."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 1)
        self.outcomes: list[Outcome] = []
        self.lost: list[int] = []

    def writer(self, epoch: int) -> PartitionWriter:
        return PartitionWriter(
            self.log,
            self.clock,
            Random(1),
            LogPartition("t", 0),
            epoch=epoch,
            lost=lambda: self.lost.append(epoch),
        )

    def claimed(self, epoch: int) -> PartitionWriter:
        writer = self.writer(epoch)
        writer.claim()
        self.run(0.1)
        return writer

    def write(self, writer, *records: bytes) -> None:
        for record in records:
            writer.write(record, self.outcomes.append)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    @property
    def records(self) -> list[bytes]:
        return self.log.partition("t", 0).records


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


def test_a_fenced_writer_hears_it_once_and_writes_no_more():
    world = Writing()
    former = world.claimed(1)
    world.claimed(2)
    world.write(former, b"a", b"b")
    world.run(0.1)
    world.write(former, b"c")
    assert world.outcomes == [Outcome.NOT_WRITTEN] * 3
    assert (world.records, world.lost) == ([], [1])


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
        lost=lambda: None,
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


def test_the_first_heartbeat_that_is_answered_again_tells_of_the_recovery():
    clock = Clock()
    log = PartitionedLog(clock, Random(1), 2)
    recoveries: list[float] = []
    member = GroupMember(
        log,
        clock,
        GroupName("g", ("t",)),
        "m",
        least_lease_seconds=1.0,
        dealt=lambda _: None,
        recovered=lambda: recoveries.append(clock.seconds()),
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


def test_an_answer_that_comes_after_a_recovery_is_not_taken_twice():
    clock = Clock()
    recovery = RecoverySignal(clock)
    late: Deferred = Deferred()
    answers: list[object] = []
    recovery.guard(late).addCallback(answers.append)
    clock.advance(STALE_SECONDS)
    recovery.recovered()
    late.callback(Ok("late"))
    recovery.recovered()
    assert answers == [Err(LogProblem(LogFault.UNKNOWN))]


def test_a_call_that_was_just_sent_goes_on_through_a_recovery():
    clock = Clock()
    recovery = RecoverySignal(clock)
    sent: Deferred = Deferred()
    answers: list[object] = []
    recovery.guard(sent).addCallback(answers.append)
    recovery.recovered()
    assert answers == []
    sent.callback(Ok("done"))
    assert answers == [Ok("done")]
