"""The retry delay of refusals, bounded by what callers honour."""

import pytest

from notcharch.calls.interface import KEYS_STALE, STATE_UNKNOWN, OpaqueCall
from notcharch.calls.retry_after import HONOURED_SHARE, with_retry_after
from notcharch.http.messages import RequestHead

NOW = 100.0


def call(wait_seconds: float | None, waited: float = 0.0) -> OpaqueCall:
    head = RequestHead(b"POST", b"/", [])
    return OpaqueCall("1", head, b"", NOW - waited, wait_seconds)


@pytest.mark.parametrize(
    ("estimate", "wait", "waited", "expected"),
    [
        (0.0, 3.0, 0.0, 0.2),
        (0.5, 3.0, 0.0, 0.5),
        (9.0, 3.0, 0.0, 3.0 * HONOURED_SHARE),
        (9.0, 3.0, 1.5, 1.5 * HONOURED_SHARE),
        (9.0, 3.0, 5.0, 0.2),
        (9.0, None, 0.0, 9.0),
    ],
)
def test_the_estimate_counts_within_what_the_caller_honours(
    estimate, wait, waited, expected
):
    refusal = with_retry_after(STATE_UNKNOWN, estimate, call(wait, waited), NOW)
    assert refusal.retry_after_seconds == pytest.approx(expected)
    assert (refusal.status, refusal.reason) == (
        STATE_UNKNOWN.status,
        STATE_UNKNOWN.reason,
    )


def test_no_refusal_tells_less_than_its_own_time():
    refusal = with_retry_after(KEYS_STALE, 0.01, call(3.0), NOW)
    assert refusal.retry_after_seconds == KEYS_STALE.retry_after_seconds
