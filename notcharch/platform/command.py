"""Command line of a daemon on the platform."""

import argparse
import signal
import sys
import time
from typing import Any

from result import Err
from twisted.internet import reactor as default_reactor

from notcharch.platform.process import Process
from notcharch.platform.settings import load_settings
from notcharch.settings.mechanisms import (
    ALL_MECHANISMS,
    Mechanism,
    mechanisms_without,
)

INVALID_SETTINGS_STATUS = 2
"""Exit status for errors in the settings file."""


def read_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="notcharch.platform", description=__doc__)
    parser.add_argument("--metrics-port", type=int, help="serve metrics on this port")
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    parser.add_argument(
        "--without",
        type=mechanisms_without,
        default=ALL_MECHANISMS,
        dest="mechanisms",
        metavar="NAME,...",
        help="mechanisms to disable, to measure their effect: "
        + ", ".join(mechanism.value for mechanism in Mechanism),
    )
    return parser.parse_args(arguments)


def main() -> int:
    """Run a daemon until it receives a stop signal."""
    arguments = read_arguments()
    loaded = load_settings()
    if isinstance(loaded, Err):
        for error in loaded.err_value:
            sys.stderr.write(f"{error}\n")
        return INVALID_SETTINGS_STATUS
    if arguments.check:
        return 0
    reactor: Any = default_reactor
    # Twisted's default clock is the wall clock, which may jump.
    reactor.seconds = time.monotonic
    process = Process(
        loaded.ok_value, reactor, arguments.metrics_port, arguments.mechanisms
    )

    def in_reactor(callback: Any) -> Any:
        return lambda *_: reactor.callFromThread(callback)

    def install_signal_handlers() -> None:
        signal.signal(signal.SIGTERM, in_reactor(process.on_stop_signal))
        signal.signal(signal.SIGHUP, in_reactor(process.on_reload_signal))
        process.on_reload_signal()

    reactor.callWhenRunning(process.start)
    reactor.callWhenRunning(install_signal_handlers)
    reactor.run(installSignalHandlers=True)
    return 0
