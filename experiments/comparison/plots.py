"""Plots of a comparison: latency and wasted cache over the load."""

from collections.abc import Callable
from pathlib import Path

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from experiments.comparison.summary import Results, Spread, Summary
from experiments.policies.catalogue import BASELINES, NOTCHARCH
from experiments.simulation.run import ALL, BURST

mpl.use("Agg")

POLICIES = (*(spec.name for spec in BASELINES), NOTCHARCH)
SIZE_INCHES = (12, 4)
DOTS_PER_INCH = 70


def write_plots(results: Results, directory: Path) -> list[Path]:
    """Write a PNG for each workload; gives their paths."""
    directory.mkdir(parents=True, exist_ok=True)
    return [_write_plot(results, name, directory) for name in results.impatient]


def _write_plot(results: Results, workload: str, directory: Path) -> Path:
    impatient = results.impatient[workload]
    figure = Figure(figsize=SIZE_INCHES, dpi=DOTS_PER_INCH, layout="constrained")
    panels = figure.subplots(1, 3)
    _draw(
        panels[0],
        results,
        workload,
        f"p95 latency of {impatient}, s",
        lambda summary: summary.services[impatient].latency_p95,
    )
    _draw(
        panels[1],
        results,
        workload,
        "p95 latency of the whole mix, s",
        lambda summary: summary.services[ALL].latency_p95,
    )
    _draw(
        panels[2],
        results,
        workload,
        "wasted cache, tokens",
        lambda summary: summary.wasted,
    )
    panels[0].legend()
    figure.suptitle(workload)
    path = directory / f"{workload}.png"
    figure.savefig(path)
    return path


def _draw(
    axes: Axes,
    results: Results,
    workload: str,
    title: str,
    value: Callable[[Summary], Spread],
) -> None:
    """Draw a line with the spread over the seeds for each policy."""
    for policy in POLICIES:
        chosen = [
            summary
            for summary in results.summaries
            if (summary.workload, summary.policy) == (workload, policy)
            and summary.load != BURST
        ]
        loads = [float(summary.load) for summary in chosen]
        spreads = [value(summary) for summary in chosen]
        line = axes.plot(loads, [s.mean for s in spreads], marker="o", label=policy)
        axes.fill_between(
            loads,
            [s.least for s in spreads],
            [s.greatest for s in spreads],
            alpha=0.2,
            color=line[0].get_color(),
        )
    axes.set_title(title)
    axes.set_xlabel("load")
    axes.set_yscale("log")
