"""Time of daemons that share a process: one event queue, a clock for each daemon.

A daemon's clock can be paused, so that its timers stall as in a stopped process
and all fire late when it wakes, or stopped for good when the process crashes.
"""

import heapq
import itertools
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from twisted.internet import error
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import Clock
from zope.interface import implementer


@implementer(IDelayedCall)
class ScheduledCall:
    """A call in the queue; the delayed call of twisted's interface."""

    def __init__(
        self, queue: "EventQueue", time: float, function: Callable[[], object]
    ) -> None:
        """Keep the call and its time; the queue holds an entry for it."""
        self._queue = queue
        self._function = function
        self.time = time
        self._done = False

    def getTime(self) -> float:  # noqa: N802
        """Give the time at which the call is due."""
        return self.time

    def active(self) -> bool:
        """Tell whether the call is still to come."""
        return not self._done

    def cancel(self) -> None:
        """Withdraw the call; an error when it was made or withdrawn already."""
        if self._done:
            raise error.AlreadyCalled()
        self._done = True

    def reset(self, secondsFromNow: float) -> None:  # noqa: N803
        """Make the call due that many seconds from now."""
        self._move_to(self._queue.seconds() + secondsFromNow)

    def delay(self, secondsLater: float) -> None:  # noqa: N803
        """Make the call due that many seconds later than it was."""
        self._move_to(self.time + secondsLater)

    def run(self) -> None:
        """Make the call unless it was withdrawn."""
        if self._done:
            return
        self._done = True
        self._function()

    def hold(self) -> None:
        """Keep a due call pending, because its process is paused."""
        self._done = False

    def _move_to(self, time: float) -> None:
        if self._done:
            raise error.AlreadyCalled()
        self.time = time
        self._queue.add(self)


class EventQueue:
    """All pending calls of a simulation, as a heap above one underlying timer."""

    def __init__(self, clock: IReactorTime) -> None:
        """Use `clock` for the time and for the next due call alone."""
        self._clock = clock
        self._heap: list[tuple[float, int, ScheduledCall]] = []
        self._order = itertools.count()
        self._timer: IDelayedCall | None = None

    def seconds(self) -> float:
        """Give the time of the underlying clock."""
        return self._clock.seconds()

    def schedule(self, delay: float, function: Callable[[], object]) -> ScheduledCall:
        """Make a call after `delay` seconds."""
        call = ScheduledCall(self, self.seconds() + delay, function)
        self.add(call)
        return call

    def add(self, call: ScheduledCall) -> None:
        """Enter a call at its time; an earlier entry of it no longer counts."""
        heapq.heappush(self._heap, (call.time, next(self._order), call))
        self._arm()

    def _arm(self) -> None:
        while self._heap and self._is_stale(self._heap[0]):
            heapq.heappop(self._heap)
        if not self._heap:
            return
        due = self._heap[0][0]
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= due:
                return
            self._timer.cancel()
        self._timer = self._clock.callLater(max(0.0, due - self.seconds()), self._run)

    def _is_stale(self, entry: tuple[float, int, ScheduledCall]) -> bool:
        time, _, call = entry
        return call.time != time or not call.active()

    def _run(self) -> None:
        now = self.seconds()
        while self._heap and self._heap[0][0] <= now:
            entry = heapq.heappop(self._heap)
            if not self._is_stale(entry):
                entry[2].run()
        self._arm()


@implementer(IReactorTime)
class MemberClock:
    """The clock of one daemon; it reads true time but its timers can stall."""

    def __init__(self, queue: EventQueue) -> None:
        """Begin running."""
        self._queue = queue
        self._paused = False
        self._stopped = False
        self._held: list[Callable[[], None]] = []

    def seconds(self) -> float:
        """Give the time, also of a paused daemon when it wakes."""
        return self._queue.seconds()

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> ScheduledCall:
        """Make a call after `delay` seconds, or on waking if that is later."""

        def due() -> None:
            if self._paused and not self._stopped:
                # As in a stopped process, the call stays pending and can be cancelled.
                scheduled.hold()
                self._held.append(run_when_due)
            elif not self._stopped:
                callable(*args, **kw)

        def run_when_due() -> None:
            if scheduled.time <= self.seconds():
                scheduled.run()

        scheduled = self._queue.schedule(delay, due)
        return scheduled

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:  # noqa: N802
        """Not kept by daemon; always empty."""
        return ()

    def run_or_hold(self, function: Callable[[], None]) -> None:
        """Run now, or on waking when paused, or never when stopped."""
        if self._stopped:
            return
        if self._paused:
            self._held.append(function)
        else:
            function()

    def pause(self) -> None:
        """Stall every timer and delivery."""
        self._paused = True

    def resume(self) -> None:
        """Wake: what was due meanwhile happens now, in order."""
        self._paused = False
        held, self._held = self._held, []
        for function in held:
            self._queue.schedule(0.0, partial(self.run_or_hold, function))

    def stop(self) -> None:
        """Crash: none of this daemon's timers fire after this."""
        self._stopped = True
        self._held.clear()


def run_for(clock: Clock, seconds: float) -> None:
    """Advance a test clock by `seconds`, stopping at each due call on the way."""
    end = clock.seconds() + seconds
    while clock.calls and clock.calls[0].getTime() <= end:
        clock.advance(max(0.0, clock.calls[0].getTime() - clock.seconds()))
    clock.advance(max(0.0, end - clock.seconds()))
