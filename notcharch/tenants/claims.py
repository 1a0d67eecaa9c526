"""The calls that running programs still need, by what their kind is known to make. Pure."""

from notcharch.tenants.needs import MIN_SECONDS, Need
from notcharch.tenants.program_sizes import ProgramSize

MIN_REMAINING_SHARE = 0.25
"""Share of the mean that a program is expected to need still, however many calls it has
made: a program that is beyond the mean has not ended."""
CLAIM_SECONDS = 2.0
"""A claim falls to zero over this time without a call: the program has most likely
ended. Pauses for tools are shorter."""


def claim(calls_made: float, idle_seconds: float, size: ProgramSize) -> Need | None:
    """Return the expected remaining need of a running program, None if it has ended."""
    if idle_seconds >= CLAIM_SECONDS:
        return None
    share = max(1.0 - calls_made / size.calls, MIN_REMAINING_SHARE)
    likelihood = 1.0 - idle_seconds / CLAIM_SECONDS
    return Need(size.calls * share * likelihood, max(size.seconds * share, MIN_SECONDS))


def whole_need(size: ProgramSize, start: float = 0.0) -> Need:
    """Return the need of a program that has made no calls."""
    return Need(size.calls, max(size.seconds, MIN_SECONDS), start)
