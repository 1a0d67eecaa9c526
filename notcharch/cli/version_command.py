"""`notcharch version`."""

import argparse
import importlib.metadata
import platform
import sys

from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import DONE

DISTRIBUTION = "notcharch"
EXAMPLES = """examples:
  notcharch version
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the examples."""
    parser.epilog = EXAMPLES


def run(arguments: argparse.Namespace) -> int:
    """Print the versions of notcharch and of Python."""
    version = importlib.metadata.version(DISTRIBUTION)
    sys.stdout.write(f"notcharch {version} (Python {platform.python_version()})\n")
    return DONE


COMMAND = CommandSpec(
    name="version",
    summary="print the version",
    configure=configure,
    run=run,
)
