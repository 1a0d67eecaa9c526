"""A child process of an experiment: its ready line, its log, its end by id."""

import signal
import sys
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

READY_SECONDS = 20.0
STOP_SECONDS = 15.0
STANDARD_ERROR = 2


class ChildError(Exception):
    """A child did not start or ended too early."""


class ChildProcess(ProcessProtocol):
    """Runs one `notcharch` command; its standard error goes to a file."""

    def __init__(self, reactor: Any, name: str, log_path: Path) -> None:
        """Start nothing yet."""
        self.name = name
        self._reactor = reactor
        self._log_path = log_path
        self._log = log_path.open("ab")
        self._output = b""
        self._ready: Deferred[bytes] = Deferred()
        self._ended: Deferred[None] = Deferred()
        self._timer: IDelayedCall | None = None
        self._has_ended = False

    def start(self, *arguments: str) -> "Deferred[bytes]":
        """Run `notcharch ARGUMENTS`; gives its first line of output."""
        command = [sys.executable, "-m", "notcharch.cli.main", "--log", "-", *arguments]
        self._reactor.spawnProcess(self, sys.executable, command, env=None)
        self._timer = self._reactor.callLater(READY_SECONDS, self._too_late)
        return self._ready

    def stop(self) -> "Deferred[None]":
        """Ask the process to end; after a while it is ended at once."""
        if self._has_ended or self.transport is None:
            return succeed(None)
        self.signal("TERM")
        self._cancel_timer()
        self._timer = self._reactor.callLater(STOP_SECONDS, self.signal, "KILL")
        return self.when_ended()

    def when_ended(self) -> "Deferred[None]":
        """Give a Deferred that fires when the process has ended."""
        waiter: Deferred[None] = Deferred()
        self._ended.addCallback(_pass_on, waiter)
        return waiter

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Wait for the first line."""
        self._output += data
        if b"\n" in self._output and not self._ready.called:
            self._cancel_timer()
            self._ready.callback(self._output.split(b"\n", 1)[0])

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep the log."""
        self._log.write(data)
        self._log.flush()

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        """Note the end."""
        self._has_ended = True
        self._cancel_timer()
        self._log.close()
        if not self._ready.called:
            self._ready.errback(ChildError(f"{self.name} ended: {self._last_lines()}"))
        self._ended.callback(None)

    def _too_late(self) -> None:
        self._timer = None
        self._ready.errback(ChildError(f"{self.name} printed no ready line"))

    def signal(self, name: str) -> None:
        """Send a signal, `KILL` for example; nothing happens after the end."""
        if self.transport is None:
            return
        try:
            self.transport.signalProcess(signal.Signals[f"SIG{name}"].value)
        except ProcessExitedAlready:
            return

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _last_lines(self) -> str:
        return self._log_path.read_text(errors="replace")[-500:]


def _pass_on(ended: None, waiter: "Deferred[None]") -> None:
    waiter.callback(None)
