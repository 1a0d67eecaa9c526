"""Runs a daemon in the reactor, with its log output and its signal handlers."""

import contextlib
import os
import time
from typing import Any

import eliot
from twisted.internet import reactor as default_reactor

from notcharch.events.unhandled_errors import log_unhandled_errors
from notcharch.platform.daemon_run import DaemonRun
from notcharch.platform.heap import return_large_buffers
from notcharch.platform.log_output import STANDARD_OUTPUT, standard_output
from notcharch.platform.settings import settings_text
from notcharch.platform.signals import ignore_signals, pass_signals_to
from notcharch.settings.mechanisms import Mechanism


def system_reactor() -> Any:
    """Return the reactor of this process, on a clock that doesn't jump."""
    reactor: Any = default_reactor
    # Twisted's default clock is the wall clock.
    reactor.seconds = time.monotonic
    return reactor


def run(
    content: bytes | OSError,
    metrics_port: int | None,
    mechanisms: frozenset[Mechanism],
    reactor: Any,
) -> int:
    """Run a daemon until it has stopped, and return its exit status.

    `content` is what an earlier reading of the settings file gave.
    """
    # The daemon does without its log if its standard output is closed.
    with contextlib.suppress(OSError):
        os.set_blocking(STANDARD_OUTPUT, False)
    return_large_buffers()
    output = standard_output(reactor)
    eliot.add_destinations(output)
    log_unhandled_errors()
    daemon = DaemonRun(reactor, output, metrics_port, mechanisms)
    pass_signals_to(reactor, daemon.on_stop_signal, daemon.on_reload_signal)
    # Signals that came before the reactor runs are handled before a call by a timer.
    reactor.callWhenRunning(reactor.callLater, 0, daemon.start, settings_text(content))
    # Twisted's handlers would stop the reactor at once.
    reactor.run(installSignalHandlers=False)
    ignore_signals()
    output.flush()
    return daemon.exit_status
