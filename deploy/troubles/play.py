"""Plays days on the users' bench and reads what its journal entries say of them."""

import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from deploy.pages.entries import JOURNAL, Entry, read_entry
from deploy.troubles.day import TroubleDay, all_names

DAYS_FOLDER = Path("target/troubles")
BENCH_LOST = "no journal entry"
DAY_NAMES = "|".join(re.escape(name) for name in all_names())
RECORDED_WHY = re.compile(
    rf"(?P<why>.*): (?P<site>\S+?)-(?P<day>{DAY_NAMES}), seed (?P<seed>\d+)"
)


class Play(msgspec.Struct, frozen=True):
    """One day to play."""

    site: Path
    day: TroubleDay
    seed: int


class KindFigures(msgspec.Struct, frozen=True):
    """One kind of request."""

    name: str
    asked: int
    in_aim: int
    late: int
    refused: int
    failed: int
    worth: float


class Window(msgspec.Struct, frozen=True):
    """Two seconds of a day."""

    second: float
    worth: float


class PlayedDay(msgspec.Struct, frozen=True):
    """The figures of one played day."""

    play: Play
    entry: str
    """Its journal entry."""
    worth: float
    worst_windows: float
    served: float
    refused: float
    failed: float
    rules: list[str]
    """Rules that were broken."""
    kinds: list[KindFigures]
    windows: list[Window]


class Bench(msgspec.Struct, frozen=True):
    """How the bench is called."""

    program: Path
    why: str
    jobs: int
    """Number of days played concurrently."""


def play_all(bench: Bench, plays: list[Play]) -> list[PlayedDay]:
    """Play days side by side."""
    DAYS_FOLDER.mkdir(parents=True, exist_ok=True)
    subprocess.run([bench.program, "build"], check=True, capture_output=True)
    with ThreadPoolExecutor(bench.jobs) as pool:
        return list(pool.map(lambda play: play_one(bench, play), plays))


def play_one(bench: Bench, play: Play) -> PlayedDay:
    """Play a day; its entry is found by a text that only this play has."""
    name = f"{play.site.stem}-{play.day.name}"
    file = DAYS_FOLDER / f"{name}.toml"
    file.write_text(play.day.text)
    why = f"{bench.why}: {name}, seed {play.seed}"
    days = [str(bench.program), "run", str(play.site), str(file)]
    options = ["--seed", str(play.seed), "--jobs", "1", "--why", why]
    said = subprocess.run(
        [*days, *options], check=False, capture_output=True, text=True
    )
    entry = entry_of(why)
    if entry is None:
        raise LookupError(f"{BENCH_LOST}: {why}\n{said.stdout}{said.stderr}")
    return played_day(play, entry)


def entry_of(why: str) -> Path | None:
    """Give the newest journal entry with a text of ours, if there is one."""
    for path in sorted(JOURNAL.glob("*.json"), reverse=True):
        if read_entry(path).why == why:
            return path
    return None


def recorded(why: str) -> list[PlayedDay]:
    """Give the days that were played with a line for the journal, in their order."""
    found: list[PlayedDay] = []
    for path in sorted(JOURNAL.glob("*.json")):
        name = RECORDED_WHY.fullmatch(read_entry(path).why or "")
        if name is None or name["why"] != why:
            continue
        site = Path(name["site"])
        play = Play(site, TroubleDay(name["day"], ""), int(name["seed"]))
        found.append(played_day(play, path))
    return sorted(found, key=lambda day: day.play.site.stem)


def played_day(play: Play, path: Path) -> PlayedDay:
    """Read the figures of a day."""
    entry: Entry = read_entry(path)
    day = entry.days[0]
    return PlayedDay(
        play=play,
        entry=path.stem,
        worth=day.worth,
        worst_windows=worst_windows(entry.digest),
        served=day.served,
        refused=day.refused,
        failed=day.failed,
        rules=sorted(day.rules),
        kinds=kinds_of(entry.digest),
        windows=windows_of(entry.digest),
    )


def worst_windows(digest: str) -> float:
    """Give the share of credit in the worst seconds."""
    found = re.search(r"worst windows ([\d.]+) \(weight", digest)
    return float(found.group(1)) if found else 0.0


def table_rows(digest: str, heading: str) -> list[list[str]]:
    """Give the rows below a heading, up to an empty line."""
    _, _, rest = digest.partition(f"\n{heading}")
    rows = rest.split("\n\n")[0].split("\n")[1:]
    return [row.split() for row in rows if row and row[0] != " "]


def kinds_of(digest: str) -> list[KindFigures]:
    """Give the figures of each kind of request."""
    return [
        KindFigures(
            name=row[0],
            asked=int(row[1]),
            in_aim=int(row[2]),
            late=int(row[3]),
            refused=int(row[4]),
            failed=int(row[5]),
            worth=float(row[7]),
        )
        for row in table_rows(digest, "class ")
    ]


def windows_of(digest: str) -> list[Window]:
    """Give the worth of each two seconds."""
    return [
        Window(float(row[0]), float(row[7]))
        for row in table_rows(digest, "from second")
        if row[0].isdigit()
    ]
