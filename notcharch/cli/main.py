"""The entry point of the command line.

Commands are built in or come from the entry-point group `notcharch.commands`. An
unexpected exception is printed as one line with exit status 70; its traceback is
logged.
"""

import argparse
import importlib.metadata
import sys
import traceback
from collections.abc import Iterator, Sequence

import eliot

from notcharch.cli.builtin import BUILT_IN_COMMANDS
from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import BAD_USAGE, INTERNAL_ERROR, INTERRUPTED
from notcharch.cli.reactor import install_reactor
from notcharch.events.cli import CommandFailed, CommandNotLoaded
from notcharch.events.event import emit

ENTRY_POINT_GROUP = "notcharch.commands"
STANDARD_ERROR = "-"
EPILOG = """examples:
  notcharch config check /etc/notcharch.toml
  notcharch COMMAND --help

exit statuses:
  0 success; 1 refused or failed; 2 usage error or findings;
  3 the system cannot be reached; 70 internal error
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command that `argv` names and return its exit status."""
    # Must precede loading commands: some libraries install a reactor on import.
    install_reactor()
    given = sys.argv[1:] if argv is None else argv
    commands = tuple(load_commands(given))
    if not commands:
        return INTERNAL_ERROR
    parser = build_parser(commands)
    arguments = parser.parse_args(given)
    if arguments.log is not None and not _open_log(arguments.log):
        return BAD_USAGE
    try:
        return int(arguments.run(arguments))
    except KeyboardInterrupt:
        return INTERRUPTED
    except Exception as error:
        return _report_internal_error(arguments.command, error)


def build_parser(commands: Sequence[CommandSpec]) -> argparse.ArgumentParser:
    """Build the argument parser for the given commands."""
    parser = argparse.ArgumentParser(
        prog="notcharch",
        description="A scheduler for agent programs, between callers and engines.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--log", metavar="FILE", help="write the log to FILE; - is standard error"
    )
    names = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in commands:
        command_parser = names.add_parser(
            command.name,
            help=command.summary,
            description=command.summary,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.configure(command_parser)
        command_parser.set_defaults(run=command.run)
    return parser


def load_commands(argv: Sequence[str]) -> Iterator[CommandSpec]:
    """Yield the command that `argv` names, or all commands if it names none.

    A command that cannot be loaded is reported on standard error and skipped, so
    that the other commands remain usable.
    """
    entry_points = command_entry_points()
    named = _named_command(argv)
    if named in entry_points:
        entry_points = {named: entry_points[named]}
    for entry_point in entry_points.values():
        try:
            yield entry_point.load()
        except Exception as error:
            emit(CommandNotLoaded(entry_point.value, traceback.format_exc()))
            sys.stderr.write(
                f"notcharch: command {entry_point.name} cannot be loaded: {error}\n"
            )


def command_entry_points() -> dict[str, importlib.metadata.EntryPoint]:
    """Return the entry points by name; built-in commands take precedence."""
    external = importlib.metadata.entry_points(group=ENTRY_POINT_GROUP)
    entry_points = {entry_point.name: entry_point for entry_point in external}
    for name, reference in BUILT_IN_COMMANDS.items():
        entry_points[name] = importlib.metadata.EntryPoint(
            name, reference, ENTRY_POINT_GROUP
        )
    return dict(sorted(entry_points.items()))


def _named_command(argv: Sequence[str]) -> str:
    parser = argparse.ArgumentParser(add_help=False, exit_on_error=False)
    parser.add_argument("--log")
    parser.add_argument("command", nargs="?", default="")
    try:
        named, _ = parser.parse_known_args(argv)
    except argparse.ArgumentError:
        return ""
    return str(named.command)


def _open_log(destination: str) -> bool:
    if destination == STANDARD_ERROR:
        eliot.to_file(sys.stderr)
        return True
    try:
        eliot.to_file(open(destination, "a", encoding="utf-8"))  # noqa: SIM115 - until exit
    except OSError as error:
        sys.stderr.write(f"notcharch: --log {destination}: {error.strerror}\n")
        return False
    return True


def _report_internal_error(command: str, error: Exception) -> int:
    emit(CommandFailed(command, str(error), traceback.format_exc()))
    summary = f"{type(error).__name__}: {error}".splitlines()[0]
    sys.stderr.write(f"notcharch {command}: internal error: {summary}\n")
    return INTERNAL_ERROR


if __name__ == "__main__":
    sys.exit(main())
