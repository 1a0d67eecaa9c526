"""When differing views are exchanged."""

import pytest

from notcharch.membership.view_comparison import ViewComparison

OWN, OTHER = 1, 2


def due_times(heard, *, changed_at=0.0, has_exchanged=True):
    """Give the times of `heard` (time, hash) at which an exchange is due."""
    comparison = ViewComparison()
    if has_exchanged:
        comparison.finish_exchange()
    return [
        now
        for now, view in heard
        if comparison.is_exchange_due(OWN, view, changed_at, now)
    ]


def test_a_fresh_process_asks_at_once_and_again_until_it_is_answered():
    heard = [(0.0, OTHER), (0.1, OTHER), (0.6, OTHER), (0.7, OWN)]
    assert due_times(heard, has_exchanged=False) == [0.0, 0.6]


@pytest.mark.parametrize(
    ("heard", "expected"),
    [
        ([(n * 0.5, OWN) for n in range(40)], []),
        ([(n * 0.5, OTHER) for n in range(14)], [3.0, 6.0]),
        ([(n * 0.5, OWN if n % 4 == 0 else OTHER) for n in range(20)], []),
    ],
)
def test_while_the_view_changes_only_one_that_agrees_with_nobody_asks(heard, expected):
    assert due_times(heard, changed_at=100.0) == expected


def test_in_a_quiet_time_every_difference_is_settled():
    heard = [(n * 0.5, OWN if n % 2 else OTHER) for n in range(22)]
    assert due_times(heard) == [5.0, 10.0]
