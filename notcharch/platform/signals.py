"""Passes the signals of a process on to the reactor."""

import os
import signal
from collections.abc import Callable
from typing import Any

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class SignalWaker:
    """Wakes up the reactor when the process receives a signal.

    Python runs a signal's handler between two steps of the main thread. If the signal
    comes just before that thread waits for I/O, or another thread receives it, the wait
    doesn't end. The interpreter therefore writes a byte to this pipe for each signal.
    """

    def __init__(self) -> None:
        """Create the pipe; both ends are non-blocking, as the interpreter demands."""
        self._read_end, self._write_end = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self._write_end, warn_on_full_buffer=False)

    def fileno(self) -> int:
        """Return the descriptor that the reactor waits for."""
        return self._read_end

    def doRead(self) -> None:  # noqa: N802
        """Discard the bytes; the handlers run by themselves."""
        try:
            os.read(self._read_end, 1024)
        except BlockingIOError:
            return

    def connectionLost(self, _reason: object) -> None:  # noqa: N802
        """Do nothing: the pipe stays open until the process ends."""

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name under which the reactor logs."""
        return "signals"

    def close(self) -> None:
        """Close the pipe."""
        signal.set_wakeup_fd(-1)
        os.close(self._read_end)
        os.close(self._write_end)


def pass_signals_to(
    reactor: Any, on_stop: Callable[[], None], on_reload: Callable[[], None]
) -> SignalWaker:
    """Have the reactor call `on_stop` and `on_reload` when a signal was received.

    Signals that come before the reactor runs are handled in its first iteration.
    """
    waker = SignalWaker()
    reactor.addReader(waker)

    def in_reactor(callback: Callable[[], None]) -> Callable[..., None]:
        return lambda *_: reactor.callFromThread(callback)

    signal.signal(signal.SIGTERM, in_reactor(on_stop))
    signal.signal(signal.SIGINT, in_reactor(on_stop))
    signal.signal(signal.SIGHUP, in_reactor(on_reload))
    return waker


def end_at_stop_signals() -> None:
    """End the process with status 0 at SIGTERM and SIGINT: nothing is served yet."""
    signal.signal(signal.SIGTERM, _end)
    signal.signal(signal.SIGINT, _end)


def _end(*_: object) -> None:
    # SystemExit may be caught by a module that is being imported.
    os._exit(0)


def ignore_signals() -> None:
    """Ignore the signals while the interpreter ends.

    It restores the default action of signals that have a handler, so one of them would
    end the process with another status than that of the daemon.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
