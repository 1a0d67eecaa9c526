"""Runs one play of losses, and tells which of the ways to lose a turn it found."""

import argparse
import sys
import tempfile
from pathlib import Path
from random import SystemRandom
from typing import Any

import msgspec
from twisted.internet import reactor as default_reactor

from deploy.soak.losses.play import Play
from deploy.soak.losses.schedule import PlaySize

DONE, BROKEN = 0, 1


def read_arguments(arguments: list[str] | None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="deploy.soak.losses", description=__doc__)
    parser.add_argument("--daemons", type=int, default=12)
    parser.add_argument("--programs", type=int, default=24, help="at once")
    parser.add_argument(
        "--kills", type=int, default=0, help="so often two daemons are killed"
    )
    parser.add_argument(
        "--budget-calls",
        type=float,
        default=4.0,
        help="budget of each program, in turns of the greatest length",
    )
    parser.add_argument(
        "--planned", action="store_true", help="stops, reloads, configurations"
    )
    parser.add_argument(
        "--all-stopped", action="store_true", help="all daemons get SIGTERM at once"
    )
    parser.add_argument(
        "--store-trouble", action="store_true", help="the store refuses now and then"
    )
    parser.add_argument(
        "--history", type=float, default=60.0, help="seconds, 12 to 300, of the store"
    )
    parser.add_argument("--seconds", type=float, default=30.0, help="of steps")
    parser.add_argument("--seed", type=int, help="drawn when absent")
    parser.add_argument("--keep", type=Path, help="folder for the logs")
    return parser.parse_args(arguments)


def size_of(options: argparse.Namespace) -> PlaySize:
    """Return the size that the options ask for."""
    return PlaySize(
        daemons=options.daemons,
        programs=options.programs,
        kills=options.kills,
        budget_calls=options.budget_calls,
        seconds=options.seconds,
        history_seconds=options.history,
        is_planned=options.planned,
        is_all_stopped=options.all_stopped,
        has_store_trouble=options.store_trouble,
    )


def main(arguments: list[str] | None = None) -> int:
    """Run one play; 0 if nothing was lost and every other promise held."""
    options = read_arguments(arguments)
    seed = SystemRandom().randrange(10**6) if options.seed is None else options.seed
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        reactor: Any = default_reactor
        play = Play(reactor, size_of(options), seed, folder)
        reactor.callWhenRunning(play.start)
        try:
            reactor.run()
        finally:
            play.stop()
        report = play.report()
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(report)).decode() + "\n")
    sys.stdout.write(f"seed {seed}: {report.verdict}\n")
    return DONE if report.is_kept else BROKEN
