"""`notcharch daemon`: runs one daemon in the process."""

import argparse
import signal
import sys
from types import FrameType
from typing import Any

import msgspec
from result import Err
from twisted.python.failure import Failure

from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import BAD_USAGE, DONE, FAILED
from notcharch.cli.settings_options import (
    add_settings_option,
    print_findings,
    settings_of,
)
from notcharch.daemon.process import DaemonAddresses, DaemonProcess
from notcharch.settings.schema import Settings

EPILOG = """example:
  notcharch daemon --config /etc/notcharch.toml --set daemon.name=daemon-2

Prints one line of JSON when it is listening:
  {"ready": true, "http": "127.0.0.1:8080", "peer": "127.0.0.1:8081"}
A port that is held by another process is waited for (events 2416 and 2417).
SIGTERM or SIGINT drains it: it refuses new calls, waits for running calls, hands
over its partitions and exits with status 0. A second signal stops it immediately.
"""


class ReadyLine(msgspec.Struct, frozen=True):
    """The line printed when the daemon is listening."""

    ready: bool
    http: str
    peer: str


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.epilog = EPILOG
    add_settings_option(parser)


def run(arguments: argparse.Namespace) -> int:
    """Run a daemon until a signal stops it."""
    settings = settings_of(arguments)
    if isinstance(settings, Err):
        print_findings(settings.err_value)
        return BAD_USAGE
    return run_daemon(settings.ok_value)


def run_daemon(settings: Settings) -> int:
    """Run a daemon on the global reactor and return the exit status."""
    from twisted.internet import reactor as global_reactor

    reactor: Any = global_reactor
    process = DaemonProcess(reactor, settings)
    stop = SignalHandler(process, reactor)
    signal.signal(signal.SIGTERM, stop.handle_signal)
    signal.signal(signal.SIGINT, stop.handle_signal)
    run = DaemonRun(process, reactor)
    reactor.callWhenRunning(run.start)
    reactor.run(installSignalHandlers=False)
    return run.exit_status


class DaemonRun:
    """One daemon from its start to its end, and the exit status."""

    def __init__(self, process: DaemonProcess, reactor: Any) -> None:
        """Prepare the start of a daemon."""
        self._process = process
        self._reactor = reactor
        self.exit_status = DONE

    def start(self) -> None:
        """Start the daemon; the reactor stops when the daemon has stopped."""
        started = self._process.start()
        started.addCallbacks(self._print_ready, self._report_failure)
        self._process.when_stopped().addBoth(lambda _: self._reactor.stop())

    def _print_ready(self, addresses: DaemonAddresses) -> None:
        ready = ReadyLine(True, addresses.http, addresses.peer)
        sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
        sys.stdout.flush()

    def _report_failure(self, failure: Failure) -> None:
        self.exit_status = FAILED
        sys.stderr.write(f"the start failed: {failure.getErrorMessage()}\n")
        sys.stderr.write(failure.getTraceback())


class SignalHandler:
    """Drains the daemon on the first signal and stops it on the second."""

    def __init__(self, process: DaemonProcess, reactor: Any) -> None:
        """Create the handler of a daemon's signals."""
        self._process = process
        self._reactor = reactor
        self._is_draining = False

    def handle_signal(self, number: int, frame: FrameType | None) -> None:
        """Handle a signal by scheduling the stop on the reactor."""
        self._reactor.callFromThread(self._drain_or_stop)

    def _drain_or_stop(self) -> None:
        if self._is_draining:
            self._reactor.stop()
            return
        self._is_draining = True
        self._process.stop()


COMMAND = CommandSpec(
    name="daemon",
    summary="run one daemon",
    configure=configure,
    run=run,
)
