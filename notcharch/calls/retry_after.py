"""Estimated retry delays of refusals (`Retry-After`)."""

import msgspec

from notcharch.calls.interface import OpaqueCall, Refusal

HONOURED_SHARE = 0.32
"""Callers honour a delay of up to a third of the time before their deadline; the rest of
that third is for the round trip."""


def remaining_seconds(call: OpaqueCall, now: float) -> float | None:
    """Return the time before the caller's deadline; None if it states none."""
    if call.wait_seconds is None:
        return None
    return max(call.arrived + call.wait_seconds - now, 0.0)


def honoured_delay(delay: float, remaining: float | None) -> float:
    """Return a delay bounded by what a caller with a remaining time honours."""
    return delay if remaining is None else min(delay, remaining * HONOURED_SHARE)


def with_retry_after(
    refusal: Refusal, estimate_seconds: float, call: OpaqueCall, now: float
) -> Refusal:
    """Return a refusal with the estimated delay until a retry can succeed.

    A shorter delay would use up the caller's attempts during an outage, and a caller that
    gets a longer one than it honours does not retry. So the estimate is bounded by what
    the caller honours, and by the refusal's minimum.
    """
    delay = honoured_delay(estimate_seconds, remaining_seconds(call, now))
    min_seconds = refusal.retry_after_seconds or 0.0
    return msgspec.structs.replace(refusal, retry_after_seconds=max(delay, min_seconds))
