"""`notcharch experiment scale`: regions of hollow daemons up to the design size.

Each region runs in a process of its own. Regions are cells: nothing but the table
passes between them, through the log, so that eight regions of 75 daemons stand for
600. What their log reads would cost the one log service is not simulated.
"""

import argparse
import os
import platform
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from experiments.scale_figures import RegionFigures, ScaleResults, Surroundings
from experiments.scale_region import ScaleSize
from experiments.scale_report import report
from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import DONE, FAILED

REGION_DAEMONS = 75
REGIONS = 8
ENGINES = 2_700
MOST_PROCESSES = 6
DEFAULT_DAEMONS = (20, 75)
EXAMPLES = """600 daemons run as 8 regions of 75, in a process each. Times in the
report are virtual; the processor time is real and includes the model engines.

examples:
  notcharch experiment scale
  notcharch experiment scale --daemons 600 --processes 4 --json results.json
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.epilog = EXAMPLES
    parser.add_argument(
        "--daemons",
        type=int,
        nargs="+",
        default=list(DEFAULT_DAEMONS),
        help="sizes; above 75 it is a multiple of 75 and runs as so many regions",
    )
    parser.add_argument(
        "--processes", type=int, default=2, help=f"at once, at most {MOST_PROCESSES}"
    )
    parser.add_argument("--partitions", type=int, default=64, help="of a region")
    parser.add_argument(
        "--cold", action="store_true", help="list the engines before the daemons start"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--most-seconds", type=float, default=330.0, help="real time of one region"
    )
    parser.add_argument("--json", type=Path, help="write all figures to this file")


def run(arguments: argparse.Namespace) -> int:
    """Run every size; exit status 1 when a region failed or ran out of time."""
    began, load_before = time.monotonic(), os.getloadavg()[0]
    sizes = [
        size
        for daemons in arguments.daemons
        for size in region_sizes(daemons, arguments)
    ]
    processes = max(1, min(arguments.processes, MOST_PROCESSES))
    with ThreadPoolExecutor(processes) as pool:
        runs = [pool.submit(run_region, s, arguments.most_seconds) for s in sizes]
        figures = [one.result() for one in runs]
    done = tuple(one for one in figures if one is not None)
    results = ScaleResults(
        _command(arguments),
        Surroundings(
            os.cpu_count() or 0,
            platform.python_version(),
            load_before,
            os.getloadavg()[0],
        ),
        max(arguments.daemons) > REGION_DAEMONS,
        done,
        time.monotonic() - began,
    )
    sys.stdout.write(report(results))
    if arguments.json:
        encoded = msgspec.json.format(msgspec.json.encode(results), indent=1)
        arguments.json.write_bytes(encoded + b"\n")
    return DONE if len(done) == len(sizes) else FAILED


def region_sizes(daemons: int, arguments: argparse.Namespace) -> Iterator[ScaleSize]:
    """Give the regions of a size, with their parts of the engines of the plan."""
    regions = max(1, daemons // REGION_DAEMONS)
    if daemons > REGION_DAEMONS and daemons % REGION_DAEMONS:
        raise SystemExit(f"{daemons} daemons are no multiple of {REGION_DAEMONS}")
    in_region = daemons // regions
    engines = ENGINES * daemons // (REGIONS * REGION_DAEMONS)
    for number in range(regions):
        share = engines // regions + (number < engines % regions)
        yield ScaleSize(
            in_region,
            share,
            partitions=arguments.partitions,
            seed=arguments.seed + number,
            cold=arguments.cold,
        )


def run_region(size: ScaleSize, most_seconds: float) -> RegionFigures | None:
    """Run a region in a child process; None when it failed or took too long."""
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        file.write(msgspec.json.encode(size))
        file.flush()
        command = [sys.executable, "-m", "experiments.scale", file.name]
        try:
            child = subprocess.run(
                command, stdout=subprocess.PIPE, timeout=most_seconds, check=False
            )
        except subprocess.TimeoutExpired:
            sys.stderr.write(f"{size} took more than {most_seconds} s\n")
            return None
    if child.returncode:
        sys.stderr.write(f"{size} failed\n")
        return None
    return msgspec.json.decode(child.stdout, type=RegionFigures)


def _command(arguments: argparse.Namespace) -> str:
    daemons = " ".join(map(str, arguments.daemons))
    return (
        f"notcharch experiment scale --daemons {daemons}"
        f" --processes {arguments.processes} --partitions {arguments.partitions}"
        f" --seed {arguments.seed}{' --cold' if arguments.cold else ''}"
    )


COMMAND = CommandSpec(
    name="scale",
    summary="hollow daemons at 20, 75 and 600: convergence, takeover, cost of control",
    configure=configure,
    run=run,
)
