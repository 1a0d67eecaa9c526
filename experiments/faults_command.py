"""`notcharch experiment faults`: processes die, hang and restart under load."""

import argparse
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.task import react

from experiments.child_process import ChildError
from experiments.faults.report import FaultReport, report_text
from experiments.faults.run import FaultOptions, run_faults
from experiments.faults.schedule import STEP_NAMES
from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import DONE, FAILED

DEFAULT_SECONDS = 90.0
DEFAULT_PLAYERS = 24


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.epilog = "Exit status 0 only if every count that must be 0 is 0."
    parser.add_argument("--seed", type=int, default=1, help="seed of load and schedule")
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_SECONDS,
        help="no fault begins after so many seconds",
    )
    parser.add_argument(
        "--programs",
        type=int,
        default=DEFAULT_PLAYERS,
        help="programs under way at any time",
    )
    parser.add_argument(
        "--steps",
        default=",".join(STEP_NAMES),
        help=f"faults, comma-separated: {', '.join(STEP_NAMES)}",
    )
    parser.add_argument(
        "--keep", type=Path, metavar="DIR", help="keep settings and logs here"
    )
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the report")


def run(arguments: argparse.Namespace) -> int:
    """Run the experiment."""
    steps = tuple(arguments.steps.split(","))
    unknown = [name for name in steps if name not in STEP_NAMES]
    if unknown:
        sys.stderr.write(f"--steps: there is no step {', '.join(unknown)}\n")
        return FAILED
    options = FaultOptions(arguments.seed, arguments.seconds, arguments.programs, steps)
    reports: list[FaultReport] = []
    try:
        react(_main, (options, arguments.keep, reports.append))
    except SystemExit as end:
        # How `react` ends, also after an error, which it has reported.
        if end.code or not reports:
            return FAILED
    report = reports[0]
    if arguments.json is not None:
        arguments.json.write_bytes(msgspec.json.encode(report))
    _print(report_text(report))
    return DONE if report.passed else FAILED


async def _main(
    reactor: Any,
    options: FaultOptions,
    keep: Path | None,
    on_report: Callable[[FaultReport], None],
) -> None:
    with tempfile.TemporaryDirectory(prefix="notcharch-faults-") as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            on_report(await run_faults(reactor, options, folder, _print))
        except ChildError as error:
            _print(f"failed: {error}")


def _print(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


COMMAND = CommandSpec(
    name="faults",
    summary="kill, pause and restart daemons and stand-ins under load, and check",
    configure=configure,
    run=run,
)
