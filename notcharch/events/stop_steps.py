"""Steps of a planned stop: a defect in one must not keep the others from being done."""

from collections.abc import Callable

from notcharch.events.feed_faults import FeedFaults

STOP = "planned stop"
"""Names the steps of a stop among the feeds whose faults are logged."""
FAULTS = FeedFaults(STOP)


def isolated(step: str, run: Callable[[], object]) -> bool:
    """Run one step; log an exception instead of raising it; return whether it was done."""
    return FAULTS.isolate(step, run)
