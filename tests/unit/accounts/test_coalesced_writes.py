"""Tests of coalesced writes."""

import pytest
from twisted.internet.defer import Deferred

from notcharch.accounts.coalesced_writes import CoalescedWrites


class Write:
    """A write that the test completes or fails."""

    def __init__(self) -> None:
        self.starts = 0
        self.done: Deferred[bool] = Deferred()

    def start(self) -> "Deferred[bool]":
        self.starts += 1
        return self.done


def request_writes(writes: CoalescedWrites, write: Write, count: int) -> list[object]:
    results: list[object] = []
    for _ in range(count):
        writes.write("key", write.start).addBoth(results.append)
    return results


@pytest.mark.parametrize("is_done", [True, False])
def test_callers_that_ask_meanwhile_share_one_write(is_done):
    write = Write()
    results = request_writes(CoalescedWrites(on_exception=False), write, 3)
    assert results == []
    write.done.callback(is_done)
    assert (results, write.starts) == ([is_done] * 3, 1)


def test_the_next_caller_starts_anew():
    writes = CoalescedWrites(on_exception=False)
    for _ in range(2):
        write = Write()
        request_writes(writes, write, 1)
        write.done.callback(True)
        assert write.starts == 1


def test_a_fault_of_the_write_leaves_nobody_waiting():
    writes, write = CoalescedWrites(on_exception=False), Write()
    results = request_writes(writes, write, 3)
    write.done.errback(RuntimeError("a defect"))
    assert results[:2] == [False, False]
    assert results[2].check(RuntimeError)
    again = Write()
    request_writes(writes, again, 1)
    assert again.starts == 1
