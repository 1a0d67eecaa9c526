"""Longer random runs of the pure core, and the example behind a seed.

`python -m tests.stateful.replication.long_run --examples 200 --seed 1` runs
examples 1 to 200; `--break NAME` runs them with a deliberate break (see breaks).
"""

import argparse
import random
import sys
import time
from contextlib import contextmanager, nullcontext
from unittest.mock import patch

from notcharch.replication import leader, reconfiguration, transfer
from tests.stateful.replication.breaks import BREAKS
from tests.stateful.replication.oracle import PromiseBrokenError
from tests.stateful.replication.simulation import DAEMONS, NetworkFaults, Simulation

STEPS = 150
QUIET_SECONDS = (0.001, 0.002, 0.004, 0.1, 0.5, 1.0, 15.0)
LOSSES = (0.0, 0.0, 0.05, 0.3)
DELAYS = (0.002, 0.002, 0.1, 1.0)


@contextmanager
def small_limits():
    """Let rounds, chunks, logs and waits be small, so that their borders matter."""
    with (
        patch.object(leader, "ROUND_BYTES", 1),
        patch.object(leader, "DISCARD_ENTRIES", 1),
        patch.object(transfer, "CHUNK_BYTES", 100),
        patch.object(reconfiguration, "SETTLE_SECONDS", 0.1),
        patch.object(reconfiguration, "SETTLE_JITTER_SECONDS", 0.1),
    ):
        yield


class RandomRun:
    """One example: its seed fixes every choice."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        members = self.random.choice([3, 5])
        self.simulation = Simulation(seed, members, members)
        if self.random.random() < 0.3:
            self._steps = [
                (30, self.usurp),
                (self.random.choice([0, 10]), self.move_and_cut),
                (3, self.run),
                (1, self.simulation.heal),
            ]
            return
        self._steps = [
            (30, self.propose),
            (3, self.propose_much),
            (30, self.run),
            (8, self.usurp),
            (3, self.change_network),
            (2, self.crash_one),
            (4, self.restart_one),
            (3, self.pause_one),
            (4, self.resume_one),
            (4, self.isolate_some),
            (4, self.end_cuts),
            (3, self.suspect_one),
            (4, self.believe_one),
            (2, self.simulation.heal),
            (2, self.move),
        ]

    def play(self, steps: int = STEPS) -> None:
        """Take the steps, and check the end; in half of the runs with small limits."""
        if self.random.random() < 0.5:
            with small_limits():
                self._play(steps)
        else:
            self._play(steps)

    def _play(self, steps: int) -> None:
        self.simulation.run(0.5)
        weights = [weight for weight, _ in self._steps]
        actions = [action for _, action in self._steps]
        for action in self.random.choices(actions, weights, k=steps):
            action()
        self.simulation.check_end()

    def one(self):
        return self.random.choice(DAEMONS)

    def propose(self) -> None:
        for daemon in DAEMONS:
            if self.random.random() < 0.8:
                self.simulation.propose(daemon)

    def propose_much(self) -> None:
        for _ in range(30):
            self.propose()
        self.run()
        for daemon in DAEMONS:
            self.simulation.archive(daemon)

    def run(self) -> None:
        self.simulation.run(self.random.choice(QUIET_SECONDS))

    def usurp(self) -> None:
        """Let a leader reach few, cut it off, and let another one be elected."""
        simulation = self.simulation
        leader = self.newest_leader()
        if leader is None:
            return
        simulation.cut.clear()
        self.cut_partly(leader)
        if self.random.random() < 0.7:
            simulation.propose(leader)
        simulation.run(self.random.choice([0.0, 0.0015, 0.003, 0.005, 0.05]))
        simulation.cut.clear()
        simulation.isolate((leader,))
        if self.random.random() < 0.2:
            simulation.pause(leader)
        self.elect_another(leader)

    def elect_another(self, leader) -> None:
        """Let the nodes believe that a leader is gone and another one is first."""
        simulation = self.simulation
        placement = [daemon for daemon in DAEMONS if daemon != leader]
        self.random.shuffle(placement)
        simulation.placement = [*placement, leader]
        for daemon in placement:
            simulation.resume(daemon)
            simulation.believe_all(daemon)
            simulation.suspect(daemon, leader)
        simulation.run(self.random.choice([0.052, 0.054, 0.056, 0.058, 0.06, 0.6]))

    def newest_leader(self):
        groups = [node.group for node in self.simulation.nodes.values()]
        leading = [group.replica for group in groups if group.is_leading]
        newest = max(leading, key=lambda replica: replica.epoch, default=None)
        return None if newest is None else newest.own.daemon

    def cut_partly(self, leader) -> None:
        """Let a leader reach only some of the others."""
        others = [daemon for daemon in DAEMONS if daemon != leader]
        count = self.random.randint(0, len(others))
        for other in self.random.sample(others, count):
            self.simulation.cut.add(frozenset((leader, other)))

    def move(self) -> None:
        placement = list(DAEMONS)
        self.random.shuffle(placement)
        self.simulation.move(tuple(placement))

    def move_and_cut(self) -> None:
        """Cut a leader off amid a change of its configuration."""
        self.move()
        self.simulation.run(0.1 + self.random.random() * 0.1)
        leader = self.newest_leader()
        if leader is not None:
            self.cut_partly(leader)
            self.simulation.run(self.random.choice([0.001, 0.002, 0.003]))
            self.simulation.isolate((leader,))
            self.elect_another(leader)

    def change_network(self) -> None:
        self.simulation.faults = NetworkFaults(
            self.random.choice(LOSSES),
            self.random.choice([0.0, 0.2]),
            self.random.choice(DELAYS),
        )

    def crash_one(self) -> None:
        self.simulation.crash(self.one())

    def restart_one(self) -> None:
        self.simulation.restart(self.one())

    def pause_one(self) -> None:
        self.simulation.pause(self.one())

    def resume_one(self) -> None:
        self.simulation.resume(self.one())

    def isolate_some(self) -> None:
        count = self.random.choice([1, 1, 2])
        self.simulation.isolate(tuple(self.random.sample(DAEMONS, count)))

    def end_cuts(self) -> None:
        self.simulation.cut.clear()

    def suspect_one(self) -> None:
        self.simulation.suspect(self.one(), self.one())

    def believe_one(self) -> None:
        self.simulation.believe_all(self.one())


def first_violation(
    seeds: range, steps: int = STEPS
) -> tuple[int, PromiseBrokenError] | None:
    """Play examples until one breaks a promise; gives its seed."""
    for seed in seeds:
        try:
            RandomRun(seed).play(steps)
        except PromiseBrokenError as violation:
            return seed, violation
    return None


def main() -> int:
    """Play examples; exit status 1 at the first that breaks a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS)
    parser.add_argument("--break", dest="break_name", choices=sorted(BREAKS))
    arguments = parser.parse_args()
    broken = BREAKS.get(arguments.break_name)
    begun = time.monotonic()
    seeds = range(arguments.seed, arguments.seed + arguments.examples)
    with nullcontext() if broken is None else broken.applied():
        found = first_violation(seeds, arguments.steps)
    seconds = time.monotonic() - begun
    if found is None:
        sys.stdout.write(f"{arguments.examples} examples hold, {seconds:.1f} s\n")
        return 0
    seed, violation = found
    sys.stdout.write(f"seed {seed}: {violation} ({seconds:.1f} s)\n")
    return 1


if __name__ == "__main__":
    sys.exit(main())
