"""`notcharch experiment NAME`: measurements, each in its own module.

A subcommand is a `CommandSpec` named `COMMAND` in `experiments/<name>_command.py`;
it is found by its entry in `SUBCOMMANDS`.
"""

import argparse
import importlib

from notcharch.cli.command import CommandSpec

SUBCOMMANDS: tuple[str, ...] = ("faults",)
"""Names of subcommands; `faults` is `experiments.faults_command`."""

EXAMPLES = """examples:
  notcharch experiment faults
  notcharch experiment NAME --help
"""


def subcommands() -> tuple[CommandSpec, ...]:
    """Load all subcommands."""
    return tuple(
        importlib.import_module(f"experiments.{name}_command").COMMAND
        for name in SUBCOMMANDS
    )


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands."""
    parser.epilog = EXAMPLES
    names = parser.add_subparsers(dest="experiment", required=True, metavar="NAME")
    for spec in subcommands():
        subparser = names.add_parser(
            spec.name,
            help=spec.summary,
            description=spec.summary,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        spec.configure(subparser)
        subparser.set_defaults(run_experiment=spec.run)


def run(arguments: argparse.Namespace) -> int:
    """Run the chosen experiment; gives its exit status."""
    status: int = arguments.run_experiment(arguments)
    return status


COMMAND = CommandSpec(
    name="experiment",
    summary="measure something on this machine",
    configure=configure,
    run=run,
)
