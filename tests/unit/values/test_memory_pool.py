"""Small objects of a kind have a reserve that a full pool does not take from them."""

import pytest

from notcharch.values.memory_pool import HeldPart, MemoryPool


def full_pool(reserved: int):
    pool = MemoryPool(1000)
    holder = pool.holder("calls", 0.5, reserved)
    pool.holder("turns").change(1000)
    return pool, holder


def test_small_objects_use_the_reserve_and_do_not_count_for_the_pool():
    pool, holder = full_pool(100)
    assert holder.take(60, is_small=True)
    assert holder.take(40, is_small=True)
    assert (holder.held, holder.pooled, pool.total) == (100, 0, 1000)
    assert not holder.take(1, is_small=True)
    assert not holder.take(1)
    assert holder.refused == 2
    holder.change(-60, is_small=True)
    assert holder.take(60, is_small=True)


def test_above_the_reserve_small_objects_share_the_pool():
    pool = MemoryPool(1000)
    holder = pool.holder("calls", 0.5, 100)
    assert holder.take(600, is_small=True)
    assert (holder.pooled, pool.total) == (500, 500)
    assert not holder.has_room(1, is_small=True)
    holder.change(-600, is_small=True)
    assert (holder.held, pool.total) == (0, 0)


def test_large_objects_leave_the_reserve_to_small_ones():
    pool = MemoryPool(1000)
    holder = pool.holder("calls", 0.5, 100)
    assert holder.take(500)
    assert not holder.take(1)
    assert holder.take(100, is_small=True)
    assert pool.total == 500


@pytest.mark.parametrize("sizes", [[10, 20, 200], [200, 10], [29, 1, 1], [0]])
def test_a_part_gives_back_what_it_took_of_the_reserve_and_of_the_pool(sizes):
    pool = MemoryPool(1000)
    holder = pool.holder("calls", 0.5, 100)
    part = HeldPart(holder, small_bytes=30)
    for size in sizes:
        assert part.take(size)
    part.change(7)
    assert holder.held == sum(sizes) + 7
    part.close()
    part.close()
    assert (holder.held, holder.pooled, pool.total, part.size) == (0, 0, 0, 0)
    assert holder.has_room(100, is_small=True)


def test_a_part_is_small_only_as_a_whole():
    """Many small takes of one object would use the reserve of all others."""
    _, holder = full_pool(100)
    part = HeldPart(holder, small_bytes=30)
    assert part.take(20)
    assert not part.take(20)
    assert HeldPart(holder, small_bytes=30).take(30)
