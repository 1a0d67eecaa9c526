"""The refusals of calls that no engine may get, with the time to come back. Pure."""

import msgspec

from notcharch.calls.eligibility import Cause, NoEngine
from notcharch.calls.interface import NO_ENGINE, OpaqueCall, Refusal
from notcharch.calls.retry_after import with_retry_after

NO_REGION_SECONDS = 1.0
"""Engines come to a region by a start, which takes seconds. Chosen, not measured."""


def refusal_without_engine(none: NoEngine, call: OpaqueCall, now: float) -> Refusal:
    """Give the answer to a call that has not run and that no engine may get.

    A drain that has lasted for some seconds is expected to last as long again.
    """
    refusal = msgspec.structs.replace(NO_ENGINE, reason=none.cause.value)
    seconds = none.seconds
    if none.cause is Cause.NO_REGION:
        seconds = NO_REGION_SECONDS
    if seconds is None:
        return refusal
    return with_retry_after(refusal, seconds, call, now)
