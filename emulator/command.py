"""`notcharch emulator`: runs the stand-ins until SIGTERM or SIGINT."""

import argparse
import sys
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from emulator.http.listener import ListenerReactor
from emulator.settings import (
    EmulatorSettings,
    example_settings,
    load_emulator_settings,
)
from emulator.system import start_emulator
from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import BAD_USAGE, DONE, FAILED
from notcharch.errors import Finding

EXAMPLE = "(built-in example)"
HELP = """example:
  notcharch emulator --config emulator.toml

Prints one JSON line with all addresses when it is ready, for example
  {"control": "127.0.0.1:9000", "engines": {"model-1": "127.0.0.1:9001"}}
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.epilog = HELP
    parser.add_argument(
        "--config",
        type=Path,
        metavar="FILE",
        help="settings (TOML); without it the built-in example runs",
    )
    parser.add_argument(
        "--check", action="store_true", help="print findings and start nothing"
    )


def run(arguments: argparse.Namespace) -> int:
    """Run until a signal; exit status 2 when the settings have findings."""
    settings = _settings(arguments.config)
    if isinstance(settings, Err):
        for finding in settings.err_value:
            sys.stderr.write(f"{finding.place}: {finding.message}\n")
        return BAD_USAGE
    if arguments.check:
        return DONE
    try:
        react(_serve, (settings.ok_value,))
    except SystemExit as end:
        return FAILED if end.code else DONE


def _settings(path: Path | None) -> Result[EmulatorSettings, tuple[Finding, ...]]:
    if path is None:
        return load_emulator_settings(example_settings(), EXAMPLE)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Err((Finding(str(path), error.strerror or "cannot be read"),))
    except UnicodeDecodeError:
        return Err((Finding(str(path), "is not UTF-8 text"),))
    return load_emulator_settings(text, str(path))


async def _serve(reactor: Any, settings: EmulatorSettings) -> None:
    stopped: Deferred[None] = Deferred()
    # Before the reactor runs, a signal would not be handled.
    is_running: Deferred[None] = Deferred()
    reactor.callWhenRunning(is_running.callback, None)
    await is_running
    typed_reactor: ListenerReactor = reactor
    running = await start_emulator(typed_reactor, settings)
    reactor.addSystemEventTrigger("before", "shutdown", running.stop)
    ready = msgspec.json.encode(running.addresses).decode()
    sys.stdout.write(f"{ready}\n")
    sys.stdout.flush()
    await stopped


COMMAND = CommandSpec(
    name="emulator",
    summary="run stand-ins for the outside systems: engines, log, lists, tools",
    configure=configure,
    run=run,
)
