"""`notcharch table`: read, check, edit, compare and publish the table."""

import argparse
from pathlib import Path

from notcharch.cli.command import CommandSpec
from notcharch.cli.server_options import add_server_options, run_action

ACTIONS_MODULE = "notcharch.cli.table_actions"
EXAMPLES = """examples:
  notcharch table show --format toml > table.toml
  notcharch table check table.toml
  notcharch table publish table.toml --wait
  notcharch table edit assistant share 2.5 --wait
  notcharch table rollback 118

A document names its base version. Publishing merges it with later publications; if
one of these set a cell to a different value, the conflict is reported and nothing is
published.
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the actions and their arguments."""
    parser.epilog = EXAMPLES
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    show = _action(actions, "show", "print a version of the table")
    show.add_argument(
        "--version", type=int, help="version to show (default: the one in force)"
    )
    show.add_argument(
        "--format",
        choices=("toml", "csv"),
        help="print as a document that can be edited",
    )
    check = _action(actions, "check", "print every finding in a document")
    diff = _action(actions, "diff", "print the changes that a document makes")
    publish = _action(actions, "publish", "publish a document")
    for action in (check, diff, publish):
        _add_document(action)
    edit = _action(actions, "edit", "publish one cell")
    edit.add_argument("service")
    edit.add_argument("cell")
    edit.add_argument("value")
    history = _action(actions, "history", "print the most recent publications")
    history.add_argument("--limit", type=int, default=20, metavar="COUNT")
    rollback = _action(
        actions, "rollback", "publish the contents of an earlier version"
    )
    rollback.add_argument("version", type=int)
    for action in (publish, edit):
        action.add_argument("--note", default="", help="note stored in the history")
    for action in (publish, edit, rollback):
        action.add_argument(
            "--wait",
            action="store_true",
            help="wait until it is in force at all live daemons; exit status 1 if not",
        )


def run(arguments: argparse.Namespace) -> int:
    """Run the function of the actions module that is named like the action."""
    return run_action(ACTIONS_MODULE, arguments.action, arguments)


def _action(
    actions: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    summary: str,
) -> argparse.ArgumentParser:
    action = actions.add_parser(name, help=summary, description=summary)
    add_server_options(action)
    return action


def _add_document(action: argparse.ArgumentParser) -> None:
    action.add_argument("file", type=Path, help="document, .toml or .csv")
    action.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="base version, overrides that of the document",
    )


COMMAND = CommandSpec(
    name="table",
    summary="read, check, edit and publish the table",
    configure=configure,
    run=run,
)
COMMANDS = (COMMAND,)
