"""`notcharch experiment compare`: workloads × loads × policies × seeds, and the page."""

import argparse
import sys
from pathlib import Path

import msgspec

from experiments.comparison.goals import goal_results
from experiments.comparison.matrix import run_matrix
from experiments.comparison.page import results_page
from experiments.comparison.summary import Results, summarise
from experiments.policies.catalogue import BASELINES, NOTCHARCH, POLICIES
from experiments.policies.variant import ABLATIONS
from experiments.run_command import load_name
from experiments.simulation.run import BURST, CellName
from experiments.simulation.workload import built_in_workload, workload_names
from notcharch.cli.command import CommandSpec

LOADS = ("0.5", "0.8", "0.95", "1.1", BURST)
ABLATION_LOADS = ("0.95",)
MAIN_POLICIES = (*(spec.name for spec in BASELINES), NOTCHARCH)
GOALS_UNMET_STATUS = 1


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("--workloads", default=",".join(workload_names()))
    parser.add_argument("--loads", default=",".join(LOADS))
    parser.add_argument("--policies", default=",".join(MAIN_POLICIES))
    parser.add_argument("--ablation-loads", default=",".join(ABLATION_LOADS))
    parser.add_argument("--seeds", type=int, default=5, help="seeds 1 … so many")
    parser.add_argument(
        "--other-seeds", type=int, default=5, help="at loads without ablations"
    )
    parser.add_argument("--ablation-seeds", type=int, default=1)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--most-seconds", type=float, default=120.0, help="of a cell")
    parser.add_argument(
        "--from-results", type=Path, help="run nothing, write the page of this file"
    )
    parser.add_argument("--notes", type=Path, help="Markdown to put after the goals")
    parser.add_argument("--results", type=Path, help="write the summary, as JSON")
    parser.add_argument("--page", type=Path, help="write the page, as Markdown")


def run(arguments: argparse.Namespace) -> int:
    """Run all cells; status 1 when a goal is not met."""
    results = _results(arguments)
    notes = arguments.notes.read_text(encoding="utf-8") if arguments.notes else ""
    page = results_page(results, notes)
    if arguments.page:
        arguments.page.write_text(page, encoding="utf-8")
    else:
        sys.stdout.write(page)
    met = all(goal.met for goal in goal_results(results))
    return 0 if met else GOALS_UNMET_STATUS


def _results(arguments: argparse.Namespace) -> Results:
    """Run all cells, or read what was run before."""
    if arguments.from_results:
        document = arguments.from_results.read_bytes()
        return msgspec.json.decode(document, type=Results)
    cells = run_matrix(
        _names(arguments),
        processes=arguments.processes,
        most_real_seconds=arguments.most_seconds,
    )
    results = Results(
        _command(arguments), _impatient(arguments.workloads), summarise(cells)
    )
    if arguments.results:
        arguments.results.write_bytes(msgspec.json.encode(results) + b"\n")
    return results


def _names(arguments: argparse.Namespace) -> list[CellName]:
    names: list[CellName] = []
    policies = _listed(arguments.policies)
    for workload in _listed(arguments.workloads):
        built_in_workload(workload).unwrap()
        for load in _listed(arguments.loads):
            with_ablations = load in _listed(arguments.ablation_loads)
            seeds = arguments.seeds if with_ablations else arguments.other_seeds
            chosen = (*policies, *(ABLATIONS if with_ablations else ()))
            names += [
                CellName(workload, load_name(load), policy, seed)
                for policy in chosen
                for seed in range(1, _seeds(policy, seeds, arguments) + 1)
                if policy in POLICIES
            ]
    return names


def _seeds(policy: str, seeds: int, arguments: argparse.Namespace) -> int:
    ablation_seeds: int = arguments.ablation_seeds
    return ablation_seeds if policy in ABLATIONS else seeds


def _impatient(workloads: str) -> dict[str, str]:
    """Give each workload's service of highest priority, the impatient one."""
    chosen = {}
    for name in _listed(workloads):
        services = built_in_workload(name).unwrap().services
        chosen[name] = min(services, key=lambda service: service.priority).name
    return chosen


def _command(arguments: argparse.Namespace) -> str:
    return (
        "notcharch experiment compare"
        f" --workloads {arguments.workloads} --loads {arguments.loads}"
        f" --policies {arguments.policies}"
        f" --ablation-loads {arguments.ablation_loads} --seeds {arguments.seeds}"
        f" --other-seeds {arguments.other_seeds}"
        f" --ablation-seeds {arguments.ablation_seeds}"
    )


def _listed(text: str) -> tuple[str, ...]:
    return tuple(part for part in text.split(",") if part)


COMMAND = CommandSpec(
    name="compare",
    summary="compare scheduling policies over workloads, loads and seeds",
    configure=configure,
    run=run,
)
