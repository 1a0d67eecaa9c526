"""Estimated retry delays of refusals (`Retry-After`)."""

import msgspec

from notcharch.calls.interface import OpaqueCall, Refusal

HONOURED_SHARE = 0.32
"""Callers honour a delay of up to a third of the time before their deadline; the rest of
that third is for the round trip."""


def with_retry_after(
    refusal: Refusal, estimate_seconds: float, call: OpaqueCall, now: float
) -> Refusal:
    """Return a refusal with the estimated delay until a retry can succeed.

    A shorter delay would use up the caller's attempts during an outage, and a caller that
    gets a longer one than it honours does not retry. So the estimate is bounded by what
    the caller honours, and by the refusal's minimum.
    """
    delay = estimate_seconds
    if call.wait_seconds is not None:
        remaining = max(call.arrived + call.wait_seconds - now, 0.0)
        delay = min(delay, remaining * HONOURED_SHARE)
    min_seconds = refusal.retry_after_seconds or 0.0
    return msgspec.structs.replace(refusal, retry_after_seconds=max(delay, min_seconds))
