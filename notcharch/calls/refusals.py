"""Refusals of calls for which no engine is available."""

import msgspec

from notcharch.calls.eligibility import Cause, NoEngine
from notcharch.calls.interface import NO_ENGINE, OpaqueCall, Refusal
from notcharch.calls.retry_after import with_retry_after

NO_REGION_SECONDS = 1.0
"""Retry delay for a region without engines: starting one takes seconds."""


def refusal_without_engine(none: NoEngine, call: OpaqueCall, now: float) -> Refusal:
    """Return the refusal of a call that has not run and has no available engine.

    A drain is expected to last as long as it has lasted so far.
    """
    refusal = msgspec.structs.replace(NO_ENGINE, reason=none.cause.value)
    seconds = none.seconds
    if none.cause is Cause.NO_REGION:
        seconds = NO_REGION_SECONDS
    if seconds is None:
        return refusal
    return with_retry_after(refusal, seconds, call, now)
