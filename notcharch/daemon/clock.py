"""A monotonic clock anchored to the wall time at startup.

Leases and timeouts must not be affected by adjustments of the system clock, but
records store Unix timestamps. `seconds()` therefore adds the elapsed monotonic time
to the wall time read at construction.
"""

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
class SteadyClock:
    """An `IReactorTime` over a reactor whose `seconds` is monotonic."""

    def __init__(
        self,
        reactor: IReactorTime,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Compute the offset between the wall clock and the monotonic clock."""
        self._reactor = reactor
        self._monotonic = monotonic
        self._offset = wall() - monotonic()

    def seconds(self) -> float:
        """Return the Unix time in seconds; it never goes backwards."""
        return self._offset + self._monotonic()

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> IDelayedCall:
        """Schedule a call on the reactor after `delay` seconds."""
        return self._reactor.callLater(delay, callable, *args, **kwargs)

    def getDelayedCalls(self) -> "Any":  # noqa: N802 - Twisted's name
        """Return the reactor's pending delayed calls."""
        return self._reactor.getDelayedCalls()
