"""Coalesces concurrent writes of the same key into one."""

from collections.abc import Callable, Generator
from typing import Any, Generic, TypeVar

from twisted.internet.defer import Deferred, inlineCallbacks

Result = TypeVar("Result")


class CoalescedWrites(Generic[Result]):
    """The writes in flight, by key."""

    def __init__(self, on_exception: Result) -> None:
        """Start without writes in flight; those that raise have one result."""
        self._on_exception = on_exception
        self._waiters: dict[str, list[Deferred[Result]]] = {}

    @inlineCallbacks
    def write(
        self, key: str, start: Callable[[], "Deferred[Result]"]
    ) -> Generator["Deferred[Any]", Any, Result]:
        """Join the write in flight for a key, or start one; return its result."""
        waiters = self._waiters.get(key)
        if waiters is not None:
            joined: Deferred[Result] = Deferred()
            waiters.append(joined)
            result: Result = yield joined
            return result
        self._waiters[key] = []
        result = self._on_exception
        try:
            result = yield start()
        finally:
            # In `finally`, so that an exception leaves no waiter unresolved.
            for other in self._waiters.pop(key):
                other.callback(result)
        return result
