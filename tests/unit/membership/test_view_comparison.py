"""Tests of when differing views cause an exchange."""

import pytest

from notcharch.membership.view_comparison import ViewComparison

LOCAL, PEER = 1, 2


def due_times(received, *, changed_at=0.0, has_exchanged=True):
    """Return the times at which an exchange is due; `received` has (time, hash)."""
    comparison = ViewComparison()
    if has_exchanged:
        comparison.finish_exchange()
    return [
        now
        for now, view in received
        if comparison.is_exchange_due(LOCAL, view, changed_at, now)
    ]


def test_a_fresh_process_requests_an_exchange_at_once_and_retries():
    received = [(0.0, PEER), (0.1, PEER), (0.6, PEER), (0.7, LOCAL)]
    assert due_times(received, has_exchanged=False) == [0.0, 0.6]


@pytest.mark.parametrize(
    ("received", "expected"),
    [
        ([(n * 0.5, LOCAL) for n in range(40)], []),
        ([(n * 0.5, PEER) for n in range(14)], [3.0, 6.0]),
        ([(n * 0.5, LOCAL if n % 4 == 0 else PEER) for n in range(20)], []),
    ],
)
def test_while_the_view_changes_only_an_isolated_view_causes_an_exchange(
    received, expected
):
    assert due_times(received, changed_at=100.0) == expected


def test_without_changes_every_difference_causes_an_exchange():
    received = [(n * 0.5, LOCAL if n % 2 else PEER) for n in range(22)]
    assert due_times(received) == [5.0, 10.0]
