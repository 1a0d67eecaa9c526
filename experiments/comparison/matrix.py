"""Runs many cells in a few processes, with a progress line and a limit of time."""

import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context

from experiments.simulation.run import CellFigures, CellName, run_cell
from experiments.simulation.workload import built_in_workload


def run_matrix(
    names: Sequence[CellName], *, processes: int, most_real_seconds: float
) -> list[CellFigures]:
    """Run cells, each for at most so long; gives them in the order of `names`."""
    begun = time.monotonic()
    figures: dict[CellName, CellFigures] = {}
    # Spawned, so that a cell does not depend on what ran before it.
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        running = {pool.submit(run_named, name, most_real_seconds) for name in names}
        for future in as_completed(running):
            done = future.result()
            figures[done.name] = done
            _show_progress(len(figures), len(names), time.monotonic() - begun)
    sys.stderr.write("\n")
    return [figures[name] for name in names]


def run_named(name: CellName, most_real_seconds: float) -> CellFigures:
    """Run one cell of a built-in workload."""
    workload = built_in_workload(name.workload).unwrap()
    return run_cell(workload, name, most_real_seconds=most_real_seconds)


def _show_progress(done: int, cells: int, seconds: float) -> None:
    left = seconds / done * (cells - done)
    sys.stderr.write(f"\r{done}/{cells} cells, {seconds:.0f} s, {left:.0f} s to go  ")
    sys.stderr.flush()
