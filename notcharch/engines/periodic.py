"""Runs a coroutine function again and again, never twice at once."""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.events.engines import PeriodicTaskFailed
from notcharch.events.event import emit


class PeriodicTask:
    """A task that goes on after failures, which it logs."""

    def __init__(
        self,
        name: str,
        task: Callable[[], Awaitable[None]],
        seconds: float,
        clock: IReactorTime,
    ) -> None:
        """Prepare a task that is to run every `seconds`."""
        self._name = name
        self._task = task
        self._seconds = seconds
        self._loop = LoopingCall(self._run)
        self._loop.clock = clock
        self._is_under_way = False
        self._is_hurried = False

    def start(self) -> None:
        """Run now, and then periodically."""
        if not self._loop.running:
            self._loop.start(self._seconds, now=True)

    def hurry(self) -> None:
        """Run now, or at once after the run under way."""
        if not self._loop.running:
            return
        if self._is_under_way:
            self._is_hurried = True
            return
        self._loop.stop()
        self._loop.start(self._seconds, now=True)

    def stop(self) -> None:
        """Run no more; a run under way ends by itself."""
        if self._loop.running:
            self._loop.stop()

    def _run(self) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._guarded())

    async def _guarded(self) -> None:
        self._is_under_way = True
        self._is_hurried = True
        while self._is_hurried and self._loop.running:
            self._is_hurried = False
            try:
                await self._task()
            except Exception as error:  # a fault of one run must not end the task
                emit(PeriodicTaskFailed(self._name, repr(error)))
        self._is_under_way = False
