"""How long to wait for answers that may be lost."""

import pytest

from notcharch.http.patience import Patience


@pytest.mark.parametrize(
    ("times", "expected"), [([], 0.4), ([0.004], 0.4), ([0.2], 0.8), ([1.0], 1.5)]
)
def test_the_wait_follows_the_last_answer_within_bounds(times, expected):
    patience = Patience(0.4, 1.5)
    for seconds in times:
        patience.answered(seconds)
    assert patience.seconds == pytest.approx(expected)


def test_a_server_that_turned_slow_is_waited_for_after_two_losses():
    patience = Patience(0.4, 1.5)
    patience.lost()
    assert patience.seconds == pytest.approx(0.8)
    patience.lost()
    assert patience.seconds == pytest.approx(1.5)
    patience.answered(0.004)
    assert patience.seconds == pytest.approx(0.4)
