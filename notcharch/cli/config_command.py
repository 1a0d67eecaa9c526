"""`notcharch config check|show`."""

import argparse
import sys

import msgspec
from result import Err

from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import BAD_USAGE, DONE
from notcharch.cli.settings_options import (
    add_settings_argument,
    print_findings,
    settings_of,
)

CHECK = "check"
SHOW = "show"
EXAMPLES = """examples:
  notcharch config check /etc/notcharch.toml
  notcharch config show /etc/notcharch.toml --set daemon.http_port=9080
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the actions `check` and `show`."""
    parser.epilog = EXAMPLES
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    for name, summary in (
        (CHECK, "print every finding in the settings"),
        (SHOW, "print the effective settings, including defaults and flags"),
    ):
        action = actions.add_parser(name, help=summary, description=summary)
        add_settings_argument(action)


def run(arguments: argparse.Namespace) -> int:
    """Check or show the settings; return exit status 2 if there are findings."""
    settings = settings_of(arguments)
    if isinstance(settings, Err):
        print_findings(settings.err_value)
        return BAD_USAGE
    if arguments.action == SHOW:
        encoded = msgspec.json.encode(settings.ok_value)
        formatted = msgspec.json.format(encoded, indent=2)
        sys.stdout.write(f"{formatted.decode()}\n")
    else:
        sys.stdout.write("no findings\n")
    return DONE


COMMAND = CommandSpec(
    name="config",
    summary="check or show settings",
    configure=configure,
    run=run,
)
