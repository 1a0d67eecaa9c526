"""Runs a coroutine function periodically, without overlapping runs."""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.events.engines import PeriodicTaskFailed
from notcharch.events.event import emit


class PeriodicTask:
    """A periodic task that logs its failures and continues."""

    def __init__(
        self,
        name: str,
        task: Callable[[], Awaitable[None]],
        interval_seconds: float,
        clock: IReactorTime,
    ) -> None:
        """Prepare a task that runs every `interval_seconds`."""
        self._name = name
        self._task = task
        self._interval_seconds = interval_seconds
        self._loop = LoopingCall(self._run)
        self._loop.clock = clock
        self._is_running = False
        self._is_rerun_requested = False

    def start(self) -> None:
        """Run immediately, then periodically."""
        if not self._loop.running:
            self._loop.start(self._interval_seconds, now=True)

    def run_now(self) -> None:
        """Run immediately, or right after the run in flight."""
        if not self._loop.running:
            return
        if self._is_running:
            self._is_rerun_requested = True
            return
        self._loop.stop()
        self._loop.start(self._interval_seconds, now=True)

    def stop(self) -> None:
        """Start no further runs; a run in flight finishes."""
        if self._loop.running:
            self._loop.stop()

    def _run(self) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._run_and_log_failures())

    async def _run_and_log_failures(self) -> None:
        self._is_running = True
        self._is_rerun_requested = True
        while self._is_rerun_requested and self._loop.running:
            self._is_rerun_requested = False
            try:
                await self._task()
            except Exception as error:  # a failed run must not end the task
                emit(PeriodicTaskFailed(self._name, repr(error)))
        self._is_running = False
