"""The daemon's clock: wall time at the start, monotonic from then on.

Leases and time-outs must not jump when the machine's wall clock is set, while
records want seconds since 1970. `seconds()` therefore adds the monotonic time
that has passed to the wall time read once at construction.
"""

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
class SteadyClock:
    """Twisted's time interface over a reactor, with a `seconds` that never jumps."""

    def __init__(
        self,
        reactor: IReactorTime,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read the wall clock once and follow the monotonic one."""
        self._reactor = reactor
        self._monotonic = monotonic
        self._offset = wall() - monotonic()

    def seconds(self) -> float:
        """Give seconds since 1970, growing steadily."""
        return self._offset + self._monotonic()

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> IDelayedCall:
        """Call back after `delay` seconds, by the reactor."""
        return self._reactor.callLater(delay, callable, *args, **kwargs)

    def getDelayedCalls(self) -> "Any":  # noqa: N802 - Twisted's name
        """Give the reactor's pending calls."""
        return self._reactor.getDelayedCalls()
