"""A daemon in a reactor of the memory, to which signals are sent step by step."""

import signal
from collections.abc import Callable

from twisted.internet.error import ReactorNotRunning
from twisted.internet.testing import MemoryReactorClock

from notcharch.platform.signals import HANDLED_SIGNALS

STEP_SECONDS = 0.05


class SignalReactor(MemoryReactorClock):
    """Runs the steps of a test in place of its main loop."""

    def __init__(self, before_run, steps) -> None:
        super().__init__()
        self._before_run = before_run
        self._steps = steps
        self._calls: list[Callable[[], None]] = []
        self.stops = 0

    def callFromThread(self, callback) -> None:  # noqa: N802
        self._calls.append(callback)

    def run(self, installSignalHandlers=True) -> None:  # noqa: N803
        assert not installSignalHandlers, "Twisted's handlers stop the reactor at once"
        for step in self._before_run:
            step()
        self.running = True
        for hook, arguments, keywords in self.whenRunningHooks:
            hook(*arguments, **keywords)
        # The order of the real reactor: calls from signals, then those of timers.
        self.make_calls()
        self.advance(0)
        self.make_calls()
        for step in self._steps:
            step()
            # Also after the stop: the real reactor still runs while it shuts down.
            self.make_calls()

    def make_calls(self) -> None:
        while self._calls:
            self._calls.pop(0)()

    def stop(self) -> None:
        self.stops += 1
        if self.stops > 1:
            raise ReactorNotRunning
        super().stop()

    def pass_seconds(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            if self.running:
                self.advance(STEP_SECONDS)


class KeptHandlers:
    """Restores the signal handlers of the test process."""

    def __enter__(self) -> None:
        self._handlers = {
            number: signal.getsignal(number) for number in HANDLED_SIGNALS
        }

    def __exit__(self, *_: object) -> None:
        signal.set_wakeup_fd(-1)
        for number, handler in self._handlers.items():
            signal.signal(number, handler)
