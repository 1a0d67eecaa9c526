"""Runs the region machine for longer than CI does.

    python -m tests.stateful.region.long_run --examples 200 --steps 60 --seed 7

Prints how much was tried; exit status 1 with the failing example otherwise.
"""

import argparse
import collections
import sys

import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.stateful.region.machine import RegionMachine

TRIED = collections.Counter()


class CountingMachine(RegionMachine):
    """Counts what was tried and what the callers were told."""

    def teardown(self):
        super().teardown()
        TRIED["examples"] += 1
        TRIED["programs"] += len(self.programs)
        TRIED["calls"] += len(self.calls)
        TRIED["requests"] += len(self.requests)
        for request in self.requests:
            TRIED[_kind_of(request.outcome)] += 1
        for fault in self.faults:
            TRIED[f"fault {fault}"] += 1
        TRIED["publications accepted"] += len(self.published)
        TRIED["publications tried"] += self.next_share - 1


def _kind_of(outcome):
    if outcome is None:
        return "told nothing: gateway crashed"
    if outcome.is_ok():
        return "told the answer"
    problem = outcome.err_value
    return f"told {problem.code}, ran {problem.ran.value}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=100)
    parser.add_argument("--steps", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--shrink", action="store_true", help="make a failing example small; slow"
    )
    arguments = parser.parse_args()
    phases = [Phase.generate, Phase.shrink] if arguments.shrink else [Phase.generate]
    machine = hypothesis.seed(arguments.seed)(CountingMachine)
    try:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=arguments.examples,
                stateful_step_count=arguments.steps,
                phases=phases,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
    finally:
        for name, count in sorted(TRIED.items()):
            print(f"{count:8d} {name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
