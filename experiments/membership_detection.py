"""How soon membership notices what happened, and whom it wrongly calls dead.

    python -m experiments.membership_detection [--members 4 20 75]

For each size it prints, in simulated seconds over `--trials` events each: how long
until the first and until every daemon has dropped a crashed one; until every daemon
knows a restarted one as a new process; and until all views agree again after a zone
was cut off for a minute. Then, for each loss of datagrams, how many live daemons a
view held dead within `--loss-seconds`, and how many were at the end.
"""

import argparse
import statistics
import sys
from collections.abc import Callable

from emulator.peers.faults import LinkFaults
from experiments.membership_region import ZONES, MembershipRegion
from notcharch.values.identifiers import DaemonName

STEP_SECONDS = 0.05
LONGEST_SECONDS = 300.0
JOIN_SECONDS = 30.0
CUT_SECONDS = 60.0


def seconds_until(region: MembershipRegion, condition: Callable[[], bool]) -> float:
    """Let time pass until the condition holds; gives how long that took."""
    passed = 0.0
    while not condition():
        if passed > LONGEST_SECONDS:
            raise TimeoutError("the condition never held")
        region.run(STEP_SECONDS)
        passed += STEP_SECONDS
    return passed


def crash_times(region: MembershipRegion) -> tuple[float, float, float]:
    """Crash and restart one daemon: first drop, last drop, known again."""
    victim = region.random.choice(sorted(region.services))
    region.crash(victim)
    first = seconds_until(
        region, lambda: any(victim not in region.view(name) for name in region.services)
    )
    last = first + seconds_until(region, lambda: not region.differing())
    region.restart(victim)
    return first, last, seconds_until(region, lambda: not region.differing())


def heal_seconds(region: MembershipRegion) -> float:
    """Cut one zone off for a minute; gives the time of agreement after it."""
    inside = region.fabric.names_in(ZONES[0])
    outside = [name for name in region.services if name not in inside]
    region.fabric.cut(inside, outside)
    region.run(CUT_SECONDS)
    region.fabric.heal()
    return seconds_until(region, lambda: not region.differing())


def wrong_deaths(count: int, loss: float, seconds: float) -> tuple[int, int]:
    """Count live daemons that views dropped under loss, and those at the end."""
    region = MembershipRegion(count)
    region.run(JOIN_SECONDS)
    region.fabric.plan.set_default(LinkFaults(loss=loss))
    held_dead: set[tuple[DaemonName, DaemonName]] = set()
    dropped = 0
    passed = 0.0
    while passed < seconds:
        region.run(1.0)
        passed += 1.0
        now_dead = {
            (name, other)
            for name in region.services
            for other in region.services.keys() - region.view(name)
        }
        dropped += len(now_dead - held_dead)
        held_dead = now_dead
    return dropped, len(held_dead)


def timing_row(count: int, trials: int) -> str:
    """Measure one size; give the row of the table."""
    region = MembershipRegion(count)
    region.run(JOIN_SECONDS)
    crashes = [crash_times(region) for _ in range(trials)]
    heals = [heal_seconds(region) for _ in range(max(1, trials // 4))]
    cells = [spread([times[part] for times in crashes]) for part in range(3)]
    return f"| {count} | {' | '.join([*cells, spread(heals)])} |"


def spread(values: list[float]) -> str:
    """Write the median and the greatest value."""
    return f"{statistics.median(values):.1f} / {max(values):.1f}"


def main() -> int:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[4, 20, 75])
    parser.add_argument("--trials", type=int, default=20)
    parser.add_argument("--losses", type=float, nargs="+", default=[0.01, 0.05, 0.2])
    parser.add_argument("--loss-seconds", type=float, default=300.0)
    arguments = parser.parse_args()
    print("Seconds, median / greatest:\n")
    print("| members | first drop | last drop | restart known | agreed after a cut |")
    print("|---|---|---|---|---|")
    for count in arguments.members:
        print(timing_row(count, arguments.trials), flush=True)
    print("\n| members | loss | wrongly dropped (pairs) | at the end |")
    print("|---|---|---|---|")
    for count in arguments.members:
        for loss in arguments.losses:
            dropped, left = wrong_deaths(count, loss, arguments.loss_seconds)
            print(f"| {count} | {loss:.0%} | {dropped} | {left} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
