"""Options of the operators' commands, and the loader of their actions.

Actions are imported only when they run, since their libraries install the default
reactor and take most of a second to import.
"""

import argparse
import importlib
import os

SERVER_VARIABLE = "NOTCHARCH_SERVER"
KEY_VARIABLE = "NOTCHARCH_OPERATOR_KEY"
DEFAULT_SERVER = "http://127.0.0.1:8080"
DAEMON = "daemon"
ENGINE = "engine"
ZONE = "zone"
"""The kinds of drain targets."""


def add_server_options(parser: argparse.ArgumentParser) -> None:
    """Add `--server`, `--key` and `--json`."""
    parser.add_argument(
        "--server",
        metavar="URL",
        default=os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER),
        help=f"URL of any daemon; or {SERVER_VARIABLE} (default: {DEFAULT_SERVER})",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get(KEY_VARIABLE, ""),
        help=f"an operator's key; or {KEY_VARIABLE}",
    )
    parser.add_argument(
        "--json", action="store_true", help="print the response as JSON"
    )


def run_action(module: str, action: str, arguments: argparse.Namespace) -> int:
    """Load and run an action and return its exit status."""
    from notcharch.cli.admin_client import run_command

    return run_command(getattr(importlib.import_module(module), action), arguments)
