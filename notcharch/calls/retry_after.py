"""When a caller that is refused is told to come back. Pure."""

import msgspec

from notcharch.calls.interface import OpaqueCall, Refusal

HONOURED_SHARE = 0.32
"""Callers wait for as long as they are told, up to a third of the time that they have left.
A little less leaves the way to us."""


def with_retry_after(
    refusal: Refusal, estimate_seconds: float, call: OpaqueCall, now: float
) -> Refusal:
    """Give a refusal that tells when it is expected to help to come back.

    In an outage that has lasted for some seconds a caller that returns sooner uses its
    tries up in vain, and one that is told a time beyond what it honours gives up. So the
    estimate counts, within what the caller honours and no less than the refusal tells.
    """
    delay = estimate_seconds
    if call.wait_seconds is not None:
        remaining = max(call.arrived + call.wait_seconds - now, 0.0)
        delay = min(delay, remaining * HONOURED_SHARE)
    min_seconds = refusal.retry_after_seconds or 0.0
    return msgspec.structs.replace(refusal, retry_after_seconds=max(delay, min_seconds))
