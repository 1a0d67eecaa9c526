"""Calls that are repeated for the life of a process, also after one of them failed."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.events.feed_faults import FeedFaults

LOOPS = "loops"
"""Names the repeated calls of a process among the feeds whose faults are logged."""


def steady_loop(
    clock: IReactorTime, name: str, function: Callable[[], object]
) -> LoopingCall:
    """Return a loop that logs an exception of `function` and goes on.

    A `LoopingCall` ends for good at the first exception, without a word.
    """
    faults = FeedFaults(LOOPS)
    loop = LoopingCall(lambda: faults.isolate(name, function) and None)
    loop.clock = clock
    return loop
