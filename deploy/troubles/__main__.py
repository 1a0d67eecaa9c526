"""`python -m deploy.troubles`: plays days of one trouble and prints their table."""

import argparse
from pathlib import Path

from deploy.troubles.day import all_names, trouble_day
from deploy.troubles.play import Bench, Play, PlayedDay, play_all, recorded
from deploy.troubles.report import page, plot


def parser() -> argparse.ArgumentParser:
    """Give the command line."""
    words = argparse.ArgumentParser(prog="python -m deploy.troubles")
    words.add_argument(
        "--bench", type=Path, help="the users' bench; plays nothing if left out"
    )
    words.add_argument("--site", type=Path, action="append", default=[])
    words.add_argument("--days", default="", help="names, separated by commas; all")
    words.add_argument("--seeds", default="1", help="numbers, separated by commas")
    words.add_argument("--jobs", type=int, default=1, help="days at a time")
    words.add_argument("--why", required=True, help="a line for the journal")
    words.add_argument("--plot", type=Path, help="a picture of the worth over time")
    return words


def main() -> int:
    """Print the table of days that are played now, or that were with the same line."""
    words = parser().parse_args()
    played = recorded(words.why) if words.bench is None else play(words)
    print(page(played))
    if words.plot is not None:
        plot(played, words.plot)
    return 0


def play(words: argparse.Namespace) -> list[PlayedDay]:
    """Play the days that the command line names."""
    names = words.days.split(",") if words.days else all_names()
    plays = [
        Play(site, trouble_day(site, name), int(seed))
        for site in words.site
        for name in names
        for seed in words.seeds.split(",")
    ]
    return play_all(Bench(words.bench, words.why, words.jobs), plays)


if __name__ == "__main__":
    raise SystemExit(main())
