"""Waiting for a condition on a replica's state, with a timeout."""

from collections.abc import Callable

import attrs
from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.interfaces import IReactorTime

from notcharch.table.replay import ReplayState

Condition = Callable[[ReplayState], bool]


@attrs.define(eq=False)
class _Waiter:
    condition: Condition
    done: "Deferred[None]"


class StateWaiters:
    """Callers that are waiting until the state meets their condition."""

    def __init__(self, clock: IReactorTime) -> None:
        """Use `clock` for the timeouts."""
        self._clock = clock
        self._waiters: list[_Waiter] = []

    async def wait(
        self, state: ReplayState, condition: Condition, seconds: float
    ) -> bool:
        """Wait up to `seconds`; return whether the condition was met."""
        if condition(state):
            return True
        if seconds <= 0:
            return False
        waiter = _Waiter(condition, Deferred())
        self._waiters.append(waiter)
        try:
            await waiter.done.addTimeout(seconds, self._clock)
        except TimeoutError:
            return False
        except CancelledError:
            return False
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return True

    def state_changed(self, state: ReplayState) -> None:
        """Resume the callers whose condition is met."""
        met = [waiter for waiter in self._waiters if waiter.condition(state)]
        for waiter in met:
            self._waiters.remove(waiter)
        for waiter in met:
            waiter.done.callback(None)
