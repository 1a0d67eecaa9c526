"""`notcharch experiment plot`: plots of a results file."""

import argparse
import sys
from pathlib import Path

import msgspec

from experiments.comparison.plots import write_plots
from experiments.comparison.summary import Results
from notcharch.cli.command import CommandSpec


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("results", type=Path, help="file of `experiment compare`")
    parser.add_argument("directory", type=Path, help="where the plots go")


def run(arguments: argparse.Namespace) -> int:
    """Write one plot for each workload."""
    results = msgspec.json.decode(arguments.results.read_bytes(), type=Results)
    for path in write_plots(results, arguments.directory):
        sys.stdout.write(f"{path}\n")
    return 0


COMMAND = CommandSpec(
    name="plot",
    summary="plot the results of a comparison",
    configure=configure,
    run=run,
)
