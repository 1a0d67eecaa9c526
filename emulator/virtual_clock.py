"""Virtual time for simulations: each call runs at its own due time, in order.

Twisted's `Clock` runs all due calls at the end of an advance and sorts all pending
calls for each new one; here time stops at each call, and a call costs O(log n).
"""

import heapq
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
class VirtualClock:
    """Twisted's time interface, moved by `advance`."""

    def __init__(self, seconds: float = 0.0) -> None:
        """Start at a time."""
        self._now = seconds
        self._order = 0
        self._heap: list[tuple[float, int, DelayedCall]] = []
        self.run_count = 0
        """How many calls have run."""

    def seconds(self) -> float:
        """Give the present time."""
        return self._now

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> IDelayedCall:
        """Call at a time from now; calls of the same time run in the order given."""
        call = DelayedCall(
            self._now + max(0.0, delay),
            callable,
            args,
            kwargs,
            _nothing,
            self._push,
            self.seconds,
        )
        self._push(call)
        return call

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:  # noqa: N802 - Twisted's name
        """Give the pending calls."""
        return tuple(
            {id(call): call for _, _, call in self._heap if call.active()}.values()
        )

    def advance(self, seconds: float) -> None:
        """Move on, running each call that falls due at its time."""
        end = self._now + seconds
        while (due := self._next_due()) is not None and due <= end:
            self._run_next()
        self._now = end

    def advance_to_next(self) -> bool:
        """Move to the next pending call and run it; False when there is none."""
        if self._next_due() is None:
            return False
        self._run_next()
        return True

    def _push(self, call: DelayedCall) -> None:
        self._order += 1
        heapq.heappush(self._heap, (call.time, self._order, call))

    def _next_due(self) -> float | None:
        """Give the time of the next call, dropping what is cancelled or moved."""
        while self._heap:
            time, _, call = self._heap[0]
            if call.active() and time == call.time and not call.delayed_time:
                return time
            heapq.heappop(self._heap)
            if call.active() and time == call.time:
                call.activate_delay()
                self._push(call)
        return None

    def _run_next(self) -> None:
        time, _, call = heapq.heappop(self._heap)
        self._now = max(self._now, time)
        self.run_count += 1
        call.called = 1
        call.func(*call.args, **call.kw)


def _nothing(_: DelayedCall) -> None:
    """Leave a cancelled call in the heap, to be dropped when it comes up."""
