"""An end by memory must be told from other ends: the log says so before it, and why."""

from notcharch.events.memory import MemoryNearLimit, MemoryRefusals
from notcharch.platform.memory_watch import (
    QUIET_SECONDS,
    RESIDENT,
    MemoryWatch,
    read_resident_bytes,
)
from notcharch.values.memory_pool import HeldPart, MemoryPool
from tests.unit.events.capture import captured, of

MEGABYTE = 1024 * 1024
LIMIT = 128 * MEGABYTE


class Resident:
    def __init__(self) -> None:
        self.bytes = 40 * MEGABYTE

    def __call__(self) -> int:
        return self.bytes


def test_the_resident_memory_of_this_process_can_be_read():
    assert MEGABYTE < read_resident_bytes() < 100_000 * MEGABYTE


def test_memory_near_the_limit_is_logged_once_with_the_largest_holders():
    pool, resident = MemoryPool(50 * MEGABYTE), Resident()
    pool.holder("calls").change(3 * MEGABYTE)
    pool.holder("turns").change(9 * MEGABYTE)
    watch = MemoryWatch("m", LIMIT, pool, {"callers": lambda: 5 * MEGABYTE}, resident)
    with captured() as messages:
        watch.tick(0.0)
        resident.bytes = int(0.91 * LIMIT)
        for second in range(1, 4):
            watch.tick(second)
        resident.bytes = int(0.88 * LIMIT)
        watch.tick(4.0)
    (event,) = of(messages, MemoryNearLimit)
    assert event["is_near"]
    assert event["resident_bytes"] == int(0.91 * LIMIT)
    assert event["limit_bytes"] == LIMIT
    assert list(event["holders"]) == ["turns", "callers", "calls"]
    assert RESIDENT._value.get() == int(0.88 * LIMIT)


def test_memory_that_is_no_longer_near_the_limit_is_logged():
    resident = Resident()
    watch = MemoryWatch("m", LIMIT, MemoryPool(), read_resident=resident)
    with captured() as messages:
        for share in (0.95, 0.5, 0.95):
            resident.bytes = int(share * LIMIT)
            watch.tick(1.0)
    assert [m["is_near"] for m in of(messages, MemoryNearLimit)] == [True, False, True]


def test_without_a_known_limit_nothing_is_near_it():
    watch = MemoryWatch("m", 0, MemoryPool(), read_resident=lambda: 1 << 40)
    with captured() as messages:
        watch.tick(0.0)
    assert not of(messages, MemoryNearLimit)


def test_a_holder_that_refuses_is_logged_when_it_begins_and_when_it_has_room_again():
    """One line for each refusal would be the load that the bound is to prevent."""
    pool = MemoryPool(100)
    holder = pool.holder("calls", 0.5)
    watch = MemoryWatch("m", LIMIT, pool, read_resident=lambda: MEGABYTE)
    with captured() as messages:
        assert holder.take(40)
        for second in range(10):
            assert not holder.take(20)
            watch.tick(second)
        watch.tick(9.0 + QUIET_SECONDS)
    began, ended = of(messages, MemoryRefusals)
    assert (began["is_refusing"], began["refused"], began["held_bytes"]) == (
        True,
        1,
        40,
    )
    assert (ended["is_refusing"], ended["refused"]) == (False, 9)


def test_holders_share_the_pool_and_parts_return_what_they_hold_once():
    pool = MemoryPool(100)
    calls, turns = pool.holder("calls", 0.6), pool.holder("turns", 0.9)
    part = HeldPart(calls)
    assert part.take(50)
    assert not part.take(20), "above the share of its kind"
    assert not turns.take(60), "above what all hold together"
    turns.change(60)
    assert turns.is_over
    part.close()
    part.close()
    part.change(5)
    assert not part.take(1)
    assert (calls.held, pool.total) == (0, 60)


def test_a_kind_that_must_hold_more_than_its_bound_leaves_the_others_their_room():
    """A takeover of many turns must not stop the service of a daemon."""
    pool = MemoryPool(100)
    calls, turns = pool.holder("calls", 0.6), pool.holder("turns", 0.8)
    turns.change(500)
    assert (turns.held, pool.total) == (500, 80)
    assert calls.take(20)
    assert not calls.take(1)
    turns.change(-490)
    assert pool.total == 30
    assert calls.take(40)
    turns.change(-10)
    assert pool.total == 60
