"""`notcharch local`: daemons and stand-ins in one process, for trying the system."""

import argparse
import sys
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import react

from emulator.local import LocalOptions, LocalSystem
from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import BAD_USAGE, DONE, FAILED

DEFAULTS = LocalOptions()
MOST_DAEMONS = 64
MOST_ENGINES = 256
MOST_PORT = 65_535
EPILOG = """example:
  notcharch local --daemons 3 --engines 6 --zones 3 --http-port 0

When ready it prints ONE line of JSON and nothing else:
  {"ready": true, "daemons": ["http://127.0.0.1:8080", ...], "api_key": "...",
   "operator_key": "...", "services": ["..."], "emulator": "http://127.0.0.1:9000"}
It runs until SIGTERM or SIGINT.
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.epilog = EPILOG
    parser.add_argument("--daemons", type=int, default=DEFAULTS.daemons, metavar="N")
    parser.add_argument("--engines", type=int, default=DEFAULTS.engines, metavar="N")
    parser.add_argument("--zones", type=int, default=DEFAULTS.zones, metavar="N")
    parser.add_argument(
        "--http-port",
        type=int,
        default=DEFAULTS.http_port,
        metavar="P",
        help="port of the first daemon's HTTP interface; 0 (the default) draws one",
    )


def run(arguments: argparse.Namespace) -> int:
    """Run until a signal; exit status 2 for bad numbers, 1 for a taken port."""
    findings = list(_findings(arguments))
    for finding in findings:
        sys.stderr.write(finding + "\n")
    if findings:
        return BAD_USAGE
    options = LocalOptions(
        arguments.daemons, arguments.engines, arguments.zones, arguments.http_port
    )
    try:
        react(_serve, (options,))
    except CannotListenError as error:
        sys.stderr.write(f"cannot listen: {error}\n")
        return FAILED
    except SystemExit as end:
        return FAILED if end.code else DONE


def _findings(arguments: argparse.Namespace) -> list[str]:
    ranges = (
        ("--daemons", arguments.daemons, 1, MOST_DAEMONS),
        ("--engines", arguments.engines, 1, MOST_ENGINES),
        ("--zones", arguments.zones, 1, MOST_DAEMONS),
        ("--http-port", arguments.http_port, 0, MOST_PORT),
    )
    return [
        f"{name}: must be {least} … {most}, not {value}"
        for name, value, least, most in ranges
        if not least <= value <= most
    ]


async def _serve(reactor: Any, options: LocalOptions) -> None:
    system = LocalSystem(reactor, options)
    reactor.addSystemEventTrigger("before", "shutdown", system.stop)
    ready = await system.start()
    sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
    sys.stdout.flush()
    await Deferred()


COMMAND = CommandSpec(
    name="local",
    summary="run daemons and stand-ins in one process, for trying the system",
    configure=configure,
    run=run,
)
