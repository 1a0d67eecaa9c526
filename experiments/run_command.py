"""`notcharch experiment run`: one workload at one load under some policies."""

import argparse
import sys
from pathlib import Path

import msgspec
from result import Err, Result

from experiments.comparison.summary import summarise
from experiments.comparison.tables import (
    CACHE_HEADINGS,
    SERVICE_HEADINGS,
    as_text,
    cache_row,
    service_rows,
)
from experiments.policies.catalogue import NOTCHARCH, POLICIES
from experiments.simulation.run import BURST, CellFigures, CellName, run_cell
from experiments.simulation.workload import Workload, built_in_workload, load_workload
from notcharch.cli.command import CommandSpec
from notcharch.errors import Finding

FINDINGS_STATUS = 2
FIRST_LINE = "virtual time; latencies in seconds, failed programs with a penalty\n\n"


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("workload", help="name of a built-in workload, or a TOML file")
    parser.add_argument("--load", default="0.95", type=load_name)
    parser.add_argument(
        "--policies", default=NOTCHARCH, help=f"comma-separated: {', '.join(POLICIES)}"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--most-seconds", type=float, default=600.0)
    parser.add_argument("--json", type=Path, help="write all figures to this file")


def run(arguments: argparse.Namespace) -> int:
    """Run and print."""
    loaded = _load(arguments.workload)
    unknown = [name for name in arguments.policies.split(",") if name not in POLICIES]
    findings = loaded.err_value if isinstance(loaded, Err) else ()
    findings += tuple(Finding("--policies", f"unknown: {name}") for name in unknown)
    if findings or isinstance(loaded, Err):
        for finding in findings:
            sys.stderr.write(f"{finding.place}: {finding.message}\n")
        return FINDINGS_STATUS
    cells = [
        _run_one(loaded.ok_value, policy, arguments)
        for policy in arguments.policies.split(",")
    ]
    sys.stdout.write(FIRST_LINE + _tables(cells))
    if arguments.json:
        arguments.json.write_bytes(msgspec.json.encode(cells))
    return 0


def load_name(text: str) -> str:
    """Check a load: a fraction of the capacity, or `burst`."""
    if text != BURST and not 0 < float(text) <= 10:
        raise argparse.ArgumentTypeError(f"neither {BURST} nor in 0 … 10: {text}")
    return text


def _run_one(
    workload: Workload, policy: str, arguments: argparse.Namespace
) -> CellFigures:
    def show(part: float) -> None:
        sys.stderr.write(f"\r{policy}: {part:.0%}   ")
        sys.stderr.flush()

    name = CellName(workload.name, arguments.load, policy, arguments.seed)
    figures = run_cell(
        workload, name, most_real_seconds=arguments.most_seconds, progress=show
    )
    sys.stderr.write("\n" if figures.complete else " cut short by --most-seconds\n")
    return figures


def _load(name: str) -> Result[Workload, tuple[Finding, ...]]:
    path = Path(name)
    if path.suffix == ".toml" and path.exists():
        return load_workload(path.read_text(encoding="utf-8"), path.stem)
    return built_in_workload(name)


def _tables(cells: list[CellFigures]) -> str:
    summaries = summarise(cells)
    rows = [row for summary in summaries for row in service_rows(summary)]
    cache_rows = [cache_row(summary) for summary in summaries]
    return as_text(SERVICE_HEADINGS, rows) + "\n" + as_text(CACHE_HEADINGS, cache_rows)


COMMAND = CommandSpec(
    name="run",
    summary="run a workload under scheduling policies on virtual time",
    configure=configure,
    run=run,
)
