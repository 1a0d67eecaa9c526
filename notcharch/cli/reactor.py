"""Twisted's epoll reactor without a logging context for each event.

Twisted wraps each read and write in a logging context, which is not used here and takes
a seventh of the CPU time of a daemon that relays tokens (docs/design/relay-cost.md).
"""

import errno
import sys
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

TWISTED_REACTOR = "twisted.internet.reactor"


class ShortDispatchReactor(EPollReactor):
    """An `EPollReactor` that dispatches events without a logging context."""

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Wait up to `timeout` seconds for events and dispatch them."""
        try:
            events = self._poller.poll(
                -1 if timeout is None else timeout, len(self._selectables)
            )
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        selectables: dict[int, Any] = self._selectables
        # Logs exceptions of a handler and closes its connection.
        handle: Any = self._doReadOrWrite
        for descriptor, event in events:
            selectable = selectables.get(descriptor)
            if selectable is not None:
                handle(selectable, descriptor, event)

    doIteration = doPoll  # noqa: N815


def install_reactor() -> bool:
    """Install the reactor; return False if one is already installed."""
    if TWISTED_REACTOR in sys.modules:
        return False
    new_reactor: Any = ShortDispatchReactor
    installReactor(new_reactor())
    return True
