"""Holder and limiter services: fairness, limits, idle traffic and failures."""

import pytest
from twisted.internet.defer import CancelledError

from notcharch.errors import ProblemCode, Ran
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.services import ListAllotments
from tests.unit.services.region import ServiceRegion


def test_a_lone_holder_gets_everything_and_no_more():
    region = ServiceRegion(concurrency=6)
    region.nodes["d2"].acquire(8)
    region.run(2.0)
    assert len(region.nodes["d2"].slots) == 6


def test_released_slots_go_to_those_who_wait():
    region = ServiceRegion(concurrency=1)
    node = region.nodes["d2"]
    node.acquire(2)
    region.run(1.0)
    first = node.slots[0]
    node.release()
    assert len(node.slots) == 1
    first.release()
    node.acquire(1)
    assert len(node.slots) == 1


def test_a_second_holder_soon_gets_its_part():
    region = ServiceRegion(concurrency=6)
    first, second = region.nodes["d2"], region.nodes["d3"]
    first.acquire(40, 100.0)
    region.run(1.0)
    second.acquire(12, 100.0)
    for _ in range(20):
        region.run(0.5)
        first.release(1)
        assert region.running() <= 6
    assert len(second.slots) == 3


def test_slots_that_nobody_uses_are_returned_and_then_nothing_is_sent():
    region = ServiceRegion()
    node = region.nodes["d2"]
    node.acquire(3)
    region.run(1.0)
    node.release()
    region.run(5.0)
    assert region.counted() == 0
    before = region.messages()
    region.run(60.0)
    assert region.messages() == before


def test_a_held_slot_is_renewed_for_as_long_as_it_is_used():
    region = ServiceRegion()
    node = region.nodes["d2"]
    node.acquire(1)
    region.run(60.0)
    assert node.slots[0].may_start()


@pytest.mark.parametrize(
    ("notified", "seconds"),
    [(True, 1.0), (False, 19.0)],
    ids=["notified", "by renewal"],
)
def test_lowering_the_cell_takes_effect_soon(notified, seconds):
    region = ServiceRegion(concurrency=6)
    node = region.nodes["d2"]
    node.acquire(6)
    region.run(1.0)
    if not notified:
        region.table.listeners.clear()
    region.table.set(concurrency=2)
    region.run(seconds)
    node.acquire(4, 100.0)
    node.release(3)
    region.run(1.0)
    assert len(node.slots) == 3
    node.release(2)
    region.run(1.0)
    assert len(node.slots) == 2


def test_raising_the_cell_gives_waiting_callers_slots():
    region = ServiceRegion(concurrency=1)
    node = region.nodes["d2"]
    node.acquire(3)
    region.run(1.0)
    region.table.set(concurrency=3)
    region.run(2.0)
    assert len(node.slots) == 3


def test_a_cut_off_holder_starts_nothing_after_its_lease():
    region = ServiceRegion()
    node = region.nodes["d2"]
    node.acquire(1)
    region.run(1.0)
    region.fabric.cut([DaemonName("d1")], [DaemonName("d2")])
    region.run(31.0)
    assert not node.slots[0].may_start()
    pending = node.acquire(1, 2.0)
    region.run(3.0)
    problem = pending[0].result.unwrap_err()
    assert problem.ran == Ran.NO
    assert problem.retry_after is not None


def test_an_unreachable_limiter_is_told_after_a_few_tries():
    region = ServiceRegion()
    region.fabric.cut([DaemonName("d1")], [DaemonName("d2")])
    pending = region.nodes["d2"].acquire(1, 600.0)
    region.run(15.0)
    problem = pending[0].result.unwrap_err()
    assert problem.code in {ProblemCode.UNAVAILABLE.slug, ProblemCode.TIMED_OUT.slug}
    assert problem.retry_after is not None


@pytest.mark.parametrize("certain", [True, False])
def test_slots_of_a_dead_daemon_come_back(certain):
    region = ServiceRegion(concurrency=2)
    region.nodes["d2"].acquire(2)
    region.run(1.0)
    region.fabric.crash(DaemonName("d2"))
    region.nodes["d2"].slots.clear()
    if certain:
        region.nodes["d1"].view.dead.add(region.nodes["d2"].member)
    region.nodes["d3"].acquire(2, 300.0)
    region.run(10.0)
    assert region.nodes["d3"].slots == []
    region.run(8.0 if certain else 160.0)
    assert len(region.nodes["d3"].slots) == 2


def test_an_unknown_service_is_refused_at_once():
    region = ServiceRegion()
    pending = region.nodes["d2"].acquire(1, service="nobody")
    region.run(0.2)
    assert pending[0].result.unwrap_err().is_code(ProblemCode.NOT_FOUND)


def test_a_caller_that_would_wait_too_long_is_refused_at_once():
    region = ServiceRegion(concurrency=1)
    node = region.nodes["d2"]
    node.acquire(2, 100.0)
    region.run(20.0)
    node.release()
    region.run(1.0)
    pending = node.acquire(1, 5.0)
    assert pending[0].called
    problem = pending[0].result.unwrap_err()
    assert problem.is_code(ProblemCode.CONCURRENCY_EXHAUSTED)
    assert problem.retry_after > 10.0


def test_a_caller_that_is_gone_keeps_no_slot():
    region = ServiceRegion(concurrency=1)
    node = region.nodes["d2"]
    node.acquire(1)
    region.run(1.0)
    (cancelled,) = node.acquire(1)
    cancelled.addErrback(lambda failure: failure.trap(CancelledError))
    cancelled.cancel()
    node.release()
    region.run(1.0)
    assert node.slots == []
    node.acquire(1)
    region.run(1.0)
    assert len(node.slots) == 1


def test_allotments_are_listed():
    region = ServiceRegion()
    region.nodes["d2"].acquire(2)
    region.run(1.0)
    pending = region.nodes["d3"].network.request(
        DaemonName("d1"), ListAllotments(), 1.0
    )
    region.run(0.1)
    (allotment,) = pending.result.unwrap().allotments
    assert (allotment.holder.daemon, allotment.slots) == ("d2", 2)
    assert 0 < allotment.expires_in_seconds <= 30.0


def test_a_limiter_without_a_table_says_when_to_come_back():
    region = ServiceRegion()
    region.table.version = 0
    pending = region.nodes["d2"].acquire(1, 600.0, service="unknown")
    region.run(10.0)
    problem = pending[0].result.unwrap_err()
    assert problem.is_code(ProblemCode.UNAVAILABLE)
    assert problem.retry_after is not None
