"""The reactor of the daemon: Twisted's epoll reactor with a shorter dispatch.

Twisted wraps each read and write in a logging context that nothing here uses; for a
daemon that relays tokens this is a seventh of its processor time
(docs/design/relay-cost.md). Everything else is Twisted's.
"""

import errno
import sys
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

TWISTED_REACTOR = "twisted.internet.reactor"


class ShortDispatchReactor(EPollReactor):
    """`EPollReactor` without a logging context around each event."""

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Wait for events and handle them; `timeout` is in seconds."""
        try:
            events = self._poller.poll(
                -1 if timeout is None else timeout, len(self._selectables)
            )
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        selectables: dict[int, Any] = self._selectables
        # Logs what a handler raises, and drops its connection.
        handle: Any = self._doReadOrWrite
        for descriptor, event in events:
            selectable = selectables.get(descriptor)
            if selectable is not None:
                handle(selectable, descriptor, event)

    doIteration = doPoll  # noqa: N815


def install_reactor() -> bool:
    """Install it; False when a reactor is there already."""
    if TWISTED_REACTOR in sys.modules:
        return False
    new_reactor: Any = ShortDispatchReactor
    installReactor(new_reactor())
    return True
