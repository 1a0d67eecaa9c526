"""`notcharch daemon`: one daemon and nothing else in the process."""

import argparse
import signal
import sys
from types import FrameType
from typing import Any

import msgspec
from result import Err
from twisted.internet.error import CannotListenError

from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import BAD_USAGE, DONE, FAILED
from notcharch.cli.settings_options import (
    add_settings_option,
    print_findings,
    settings_of,
)
from notcharch.daemon.process import DaemonProcess
from notcharch.settings.schema import Settings

EPILOG = """example:
  notcharch daemon --config /etc/notcharch.toml --set daemon.name=daemon-2

Prints one JSON line when it listens:
  {"ready": true, "http": "127.0.0.1:8080", "peer": "127.0.0.1:8081"}
SIGTERM and SIGINT drain it: it takes nothing new, lets running calls end, hands
its partitions over, and ends with status 0. A second signal ends it at once.
"""


class ReadyLine(msgspec.Struct, frozen=True):
    """What is printed when the daemon listens."""

    ready: bool
    http: str
    peer: str


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.epilog = EPILOG
    add_settings_option(parser)


def run(arguments: argparse.Namespace) -> int:
    """Run until a signal."""
    settings = settings_of(arguments)
    if isinstance(settings, Err):
        print_findings(settings.err_value)
        return BAD_USAGE
    return run_daemon(settings.ok_value)


def run_daemon(settings: Settings) -> int:
    """Run a daemon on the global reactor; gives the exit status."""
    from twisted.internet import reactor as global_reactor

    reactor: Any = global_reactor
    process = DaemonProcess(reactor, settings)
    stop = SignalStop(process, reactor)
    signal.signal(signal.SIGTERM, stop.take_signal)
    signal.signal(signal.SIGINT, stop.take_signal)
    try:
        addresses = process.start()
    except CannotListenError as error:
        sys.stderr.write(f"cannot listen: {error}\n")
        return FAILED
    ready = ReadyLine(True, addresses.http, addresses.peer)
    sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
    sys.stdout.flush()
    process.when_stopped().addBoth(lambda _: reactor.stop())
    reactor.run(installSignalHandlers=False)
    return DONE


class SignalStop:
    """Turns a first signal into a drain and a second one into an immediate end."""

    def __init__(self, process: DaemonProcess, reactor: Any) -> None:
        """Wait for signals."""
        self._process = process
        self._reactor = reactor
        self._is_draining = False

    def take_signal(self, number: int, frame: FrameType | None) -> None:
        """Take a signal, outside of the reactor's turn."""
        self._reactor.callFromThread(self._begin)

    def _begin(self) -> None:
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
