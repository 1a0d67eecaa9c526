"""Command line of a daemon on the platform."""

import argparse
import os
import sys

from notcharch.platform.settings_file import FILE_VARIABLE, try_read
from notcharch.platform.signals import end_at_stop_signals
from notcharch.settings.mechanisms import (
    ALL_MECHANISMS,
    Mechanism,
    mechanisms_without,
)

INVALID_SETTINGS_STATUS = 2
"""Exit status for errors that last as long as the process does."""
MIN_PORT, MAX_PORT = 1, 65_535


def _port(text: str) -> int:
    port = int(text)
    if not MIN_PORT <= port <= MAX_PORT:
        raise ValueError(f"{port} is not between {MIN_PORT} and {MAX_PORT}")
    return port


def read_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="notcharch.platform", description=__doc__)
    parser.add_argument("--metrics-port", type=_port, help="serve metrics on this port")
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
    end_at_stop_signals()
    arguments = read_arguments()
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        sys.stderr.write(f"{FILE_VARIABLE}: not set\n")
        return INVALID_SETTINGS_STATUS
    if arguments.check:
        return _check()
    # Read before the other imports, which take 0.3 s: a file that is the same after them
    # was not being written.
    content = try_read(path)
    from notcharch.platform.run import run, system_reactor

    return run(content, arguments.metrics_port, arguments.mechanisms, system_reactor())


def _check() -> int:
    """Write the findings in the settings file, and what they can't keep, to stderr."""
    from result import Err

    from notcharch.platform.settings import load_settings, retention_warnings

    loaded = load_settings()
    if not isinstance(loaded, Err):
        for warning in retention_warnings(loaded.ok_value):
            sys.stderr.write(f"warning: {warning}\n")
        return 0
    for finding in loaded.err_value:
        sys.stderr.write(f"{finding}\n")
    return INVALID_SETTINGS_STATUS
