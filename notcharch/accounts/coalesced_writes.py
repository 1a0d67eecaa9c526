"""Coalesces concurrent writes of the same key into one."""

from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks


class CoalescedWrites:
    """The writes in flight, by key."""

    def __init__(self) -> None:
        """Start without writes in flight."""
        self._waiters: dict[str, list[Deferred[bool]]] = {}

    @inlineCallbacks
    def write(
        self, key: str, start: Callable[[], "Deferred[bool]"]
    ) -> Generator["Deferred[Any]", Any, bool]:
        """Join the write in flight for a key, or start one; return whether it succeeded."""
        waiters = self._waiters.get(key)
        if waiters is not None:
            joined: Deferred[bool] = Deferred()
            waiters.append(joined)
            is_done: bool = yield joined
            return is_done
        self._waiters[key] = []
        is_done = False
        try:
            is_done = yield start()
        finally:
            # In `finally`, so that an exception leaves no waiter unresolved.
            for other in self._waiters.pop(key):
                other.callback(is_done)
        return is_done
