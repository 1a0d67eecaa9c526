"""Following a keyed topic through outages, lost reads and trimmed records."""

from random import Random

import msgspec
import pytest
from twisted.internet.task import Clock

from emulator.services.partitioned_log import (
    ANSWER_SECONDS,
    PartitionedLog,
    Trouble,
)
from notcharch.events import process
from notcharch.journal.keyed_follower import RETRY_SECONDS as READ_RETRY_SECONDS
from notcharch.journal.keyed_follower import KeyedFollower, PollTiming, join_keyed
from notcharch.journal.recovery_signal import STALE_SECONDS, RecoverySignal
from tests.unit.events.capture import captured, of

TOPIC = "keyed.things"
TIMING = PollTiming(wait_seconds=1.0, pause_seconds=0.1)


class Following:
    """A follower and the values that it reported."""

    def __init__(self, timing: PollTiming = TIMING, **more) -> None:
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 2)
        self.received: list[dict[str, bytes]] = []
        self.fault = False
        self.recovery = RecoverySignal(self.clock)
        self.follower = KeyedFollower(
            self.log,
            self.clock,
            Random(1),
            TOPIC,
            timing=timing,
            on_change=self.on_change,
            recovery=self.recovery,
            **more,
        )

    def on_change(self, values):
        if self.fault:
            raise ValueError("an unexpected exception")
        self.received.append(dict(values))

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


def test_a_snapshot_then_each_change():
    world = started("a", "b")
    assert world.received[-1] == {"a": b"1", "b": b"1"}
    world.put("a", b"2")
    world.put("c", b"3")
    world.put("b", b"")
    world.run(0.5)
    assert world.received[-1] == {"a": b"2", "c": b"3"}


def test_a_change_is_received_soon_after_an_idle_time():
    world = started("a")
    world.run(10.0)
    world.put("a", b"2")
    world.run(0.2)
    assert world.received[-1] == {"a": b"2"}


@pytest.mark.parametrize("trouble", [t for t in Trouble if t is not Trouble.NONE])
def test_changes_during_an_outage_are_received_after_it(trouble):
    world = started("a")
    world.log.trouble = trouble
    world.run(5.0)
    assert world.received[-1] == {"a": b"1"}
    world.log.trouble = Trouble.NONE
    world.put("a", b"2")
    world.run(3.0)
    assert world.received[-1] == {"a": b"2"}


def test_a_read_that_was_lost_is_repeated_when_the_log_service_is_back():
    """Changes during an outage are received before the lost read times out."""
    world = started("a")
    world.log.trouble = Trouble.LOSE_CALL
    world.run(TIMING.wait_seconds + TIMING.pause_seconds + 2 * STALE_SECONDS)
    world.log.trouble = Trouble.NONE
    world.put("a", b"2")
    world.recovery.recovered()
    world.run(2 * READ_RETRY_SECONDS)
    assert world.received[-1] == {"a": b"2"}


def test_a_recovery_is_logged_immediately_without_a_change():
    """The first read after a fault returns immediately."""
    world = started("a")
    with captured() as messages:
        world.log.trouble = Trouble.REFUSE
        world.run(TIMING.wait_seconds + TIMING.pause_seconds + 2 * STALE_SECONDS)
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
    assert world.received[-1] == {"a": b"2"}


def test_a_new_snapshot_replaces_trimmed_records():
    world = started("a")
    world.log.trouble = Trouble.REFUSE
    world.run(1.0)
    world.log.trouble = Trouble.NONE
    partition = world.log.partition(TOPIC, 0)
    partition.records.extend([join_keyed("a", b"2"), join_keyed("a", b"3")])
    partition.drop_before(2)
    world.run(3.0)
    assert world.received[-1] == {"a": b"3"}


PAGED_TIMING = PollTiming(wait_seconds=0.2, pause_seconds=0.1, page_pause_seconds=2.0)
MANY_KEYS = [f"k{number:04}" for number in range(1200)]


def started_with_pages() -> Following:
    """Start following 1,200 keys page by page; the first page has been read."""
    world = Following(PAGED_TIMING)
    world.log.append(TOPIC, 0, tuple(join_keyed(key, b"1") for key in MANY_KEYS))
    world.run(0.1)
    world.follower.start()
    world.run(0.1)
    return world


def test_a_large_topic_is_reported_page_by_page():
    world = started_with_pages()
    assert sorted(world.received[-1]) == MANY_KEYS[:500]
    world.run(9.0)
    assert sorted(world.received[-1]) == MANY_KEYS


@pytest.mark.parametrize("key", [MANY_KEYS[0], MANY_KEYS[700], MANY_KEYS[1199]])
@pytest.mark.parametrize("value", [b"2", b""])
def test_changes_between_two_pages_are_not_undone_by_a_page(key, value):
    world = started_with_pages()
    world.put(key, value)
    world.run(0.6)
    assert world.received[-1].get(key, b"") == value
    world.run(9.0)
    assert world.received[-1].get(key, b"") == value
    assert len(world.received[-1]) == (1200 if value else 1199)


def test_a_new_snapshot_keeps_known_keys_until_it_is_complete():
    world = started_with_pages()
    world.run(9.0)
    world.follower._offset = -1
    before = len(world.received)
    world.run(9.0)
    assert len(world.received) > before
    assert all(sorted(values) == MANY_KEYS for values in world.received[before:])


def test_keys_missing_from_a_new_snapshot_are_removed_with_its_last_page():
    world = started_with_pages()
    world.run(9.0)
    partition = world.log.partition(TOPIC, 0)
    partition.records[:] = [r for r in partition.records if r[1:6] != b"k0007"]
    world.follower._offset = -1
    world.run(9.0)
    assert sorted(world.received[-1]) == [key for key in MANY_KEYS if key != "k0007"]


def test_more_keys_than_a_page_holds():
    world = Following()
    keys = [f"k{number:04}" for number in range(1200)]
    records = tuple(join_keyed(key, b"1") for key in keys)
    world.log.append(TOPIC, 0, records)
    world.run(0.1)
    world.follower.start()
    world.run(1.0)
    assert sorted(world.received[-1]) == keys


def test_an_exception_does_not_end_the_following():
    world = started("a")
    world.fault = True
    world.put("a", b"2")
    world.run(0.5)
    world.fault = False
    world.run(3.0)
    assert world.received[-1] == {"a": b"2"}


@pytest.mark.parametrize(
    ("share", "youngest"), [(0.0, TIMING.wait_seconds), (1.0, 0.0)]
)
def test_a_read_confirms_the_time_at_which_it_was_sent(share, youngest):
    confirmations: list[float] = []
    world = Following(
        on_confirmed=lambda at: confirmations.append(world.clock.seconds() - at),
        immediate_share=lambda: share,
    )
    world.put("a", b"1")
    world.follower.start()
    world.run(5.0)
    ages = confirmations[1:]  # the first is the snapshot's
    assert min(ages) == pytest.approx(youngest, abs=0.02)
    assert max(ages) <= youngest + 0.02


def test_a_read_before_the_end_confirms_nothing():
    confirmations: list[float] = []
    world = Following(on_confirmed=confirmations.append)
    world.follower.start()
    world.run(0.1)
    original = world.log.read

    def read_less(*arguments):
        answer = original(*arguments)
        return answer.addCallback(
            lambda found: found.map(lambda r: msgspec.structs.replace(r, end=r.end + 1))
        )

    world.log.read = read_less
    world.run(1.2)
    count = len(confirmations)
    world.put("a", b"1")
    world.run(3.0)
    assert len(confirmations) == count


def test_one_read_without_waiting_confirms_now():
    confirmations: list[float] = []
    world = Following(on_confirmed=confirmations.append)
    world.follower.start()
    world.run(0.5)
    confirmations.clear()
    asked_at = world.clock.seconds()
    world.follower.confirm()
    world.run(0.1)
    assert confirmations == [asked_at]


@pytest.mark.parametrize("state", ["changed", "unavailable", "not read yet"])
def test_one_read_confirms_nothing_that_is_not_known(state):
    confirmations: list[float] = []
    world = Following(on_confirmed=confirmations.append)
    if state != "not read yet":
        world.follower.start()
        world.run(0.5)
    confirmations.clear()
    if state == "unavailable":
        world.log.trouble = Trouble.REFUSE
    if state == "changed":
        world.log.put(TOPIC, 0, join_keyed("a", b"1"))
    asked_at = world.clock.seconds()
    world.follower.confirm()
    world.run(0.05)
    assert asked_at not in confirmations


def test_a_snapshot_that_is_read_anew_is_reported():
    snapshots: list[float] = []
    world = Following(on_snapshot=lambda: snapshots.append(world.clock.seconds()))
    world.put("a", b"1")
    world.follower.start()
    world.run(0.5)
    assert len(snapshots) == 1
    world.put("a", b"2")
    world.run(0.5)
    assert len(snapshots) == 1
    world.log.trouble = Trouble.REFUSE
    world.run(0.5)
    world.log.put(TOPIC, 0, join_keyed("a", b"3"))
    world.log.partition(TOPIC, 0).drop_before(3)
    world.log.trouble = Trouble.NONE
    world.run(3.0)
    assert len(snapshots) == 2


@pytest.mark.parametrize(
    "record", [b"", b"\x05ab", b"\x02\xff\xfe1", b"\xff"], ids=repr
)
def test_a_record_without_a_readable_key_does_not_hold_up_the_others(record):
    world = started("a")
    with captured() as messages:
        world.log.put(TOPIC, 0, record)
        world.put("b", b"2")
        world.run(0.5)
    assert world.received[-1] == {"a": b"1", "b": b"2"}
    skipped = of(messages, process.PartSkipped)
    assert [line["part"] for line in skipped] == ["offset 1"]


def test_a_change_that_cannot_be_handled_is_logged_once_and_no_snapshot_is_read_anew():
    snapshots: list[int] = []
    world = Following(on_snapshot=lambda: snapshots.append(1))
    world.put("a", b"1")
    world.follower.start()
    world.run(0.5)
    world.fault = True
    with captured() as messages:
        for number in range(5):
            world.put("a", b"%d" % number)
            world.run(1.0)
    assert len(of(messages, process.PartSkipped)) == 1
    assert not of(messages, process.FollowingFailed)
    assert len(snapshots) == 1


def test_no_time_is_confirmed_while_a_change_cannot_be_handled():
    confirmed: list[float] = []
    world = Following(on_confirmed=confirmed.append)
    world.put("a", b"1")
    world.follower.start()
    world.run(0.5)
    world.fault = True
    world.put("a", b"2")
    world.run(0.5)
    known = len(confirmed)
    world.run(3.0)
    assert len(confirmed) == known
    world.fault = False
    world.run(3.0)
    assert len(confirmed) > known
