"""Days of one trouble: how they are made, and how their entries are read."""

import json
import tomllib
from pathlib import Path

import pytest

from deploy.troubles.day import all_names, trouble_day
from deploy.troubles.play import (
    KindFigures,
    Play,
    PlayedDay,
    Window,
    kinds_of,
    recorded,
    windows_of,
    worst_windows,
)
from deploy.troubles.report import page

SITE = """
[[day]]
name = "rough"
slot = "scale"

[[day]]
name = "calm"
slot = "quiet"
seed = 5
one = 1.02
zero = 0.6
closing = { kind = "kill_all" }
plan = [{ at = 1.5, kind = "hup" }]
faults = [{ at = 2.0, kind = "burst", x = 1.5 }]
traffic = [{ zone = "a", shape = { kind = "wave", swing = 0.15 }, users = 1 }]
"""
DIGEST = """
worth 0.880 = whole day 0.945 (weight 0.75), worst windows 0.861 (weight 0.15)

class                asked  in aim   late refused failed not owed  worth   p50 ms
small                 1475    1366     52       1     56        0  0.946    893.4
large                  442     402     35       0      5        0  0.943   4572.1

from second          asked  in aim   late refused failed not owed  worth   p50 ms
0                      111     111      0       0      0        0  1.000    947.6
2                      106     100      4       0      2        0  0.909    951.7

"""


@pytest.fixture
def site(tmp_path: Path) -> Path:
    path = tmp_path / "site.toml"
    path.write_text(SITE)
    return path


@pytest.mark.parametrize("name", all_names())
def test_a_day_has_the_quiet_traffic_and_only_its_troubles(
    site: Path, name: str
) -> None:
    day = tomllib.loads(trouble_day(site, name).text)
    assert day["traffic"] == tomllib.loads(SITE)["day"][1]["traffic"]
    assert (day["one"], day["zero"], day["plan"]) == (1.0, 0.0, [])
    assert "closing" not in day
    expected = 0 if name == "undisturbed" else name.count("+") + 1
    assert len(day["faults"]) == expected


def test_troubles_of_a_pair_follow_each_other(site: Path) -> None:
    day = tomllib.loads(trouble_day(site, "store-down+burst").text)
    assert [fault["at"] for fault in day["faults"]] == [8.0, 10.0]


def test_an_unknown_trouble_is_refused(site: Path) -> None:
    with pytest.raises(KeyError):
        trouble_day(site, "no-such-trouble")


def test_a_digest_is_read() -> None:
    assert worst_windows(DIGEST) == 0.861
    assert kinds_of(DIGEST) == [
        KindFigures("small", 1475, 1366, 52, 1, 56, 0.946),
        KindFigures("large", 442, 402, 35, 0, 5, 0.943),
    ]
    assert windows_of(DIGEST) == [Window(0.0, 1.0), Window(2.0, 0.909)]


def test_the_page_has_means_and_the_worst_seed(site: Path) -> None:
    played = [
        PlayedDay(
            play=Play(site, trouble_day(site, "burst"), seed),
            entry=f"20260101T000000-{seed}",
            worth=worth,
            worst_windows=0.5,
            served=0.9,
            refused=0.0,
            failed=0.1,
            rules=["LOST"] if seed == 2 else [],
            kinds=[KindFigures("small", 10, 8, 0, 0, 2, 0.8)],
            windows=[Window(0.0, 1.0), Window(8.0, 0.6)],
        )
        for seed, worth in ((1, 0.9), (2, 0.8))
    ]
    text = page(played)
    assert (
        "| burst (broken: LOST) | 0.850 | 0.800 | 0.500 | 0.900 | 0.100 "
        "| small 0.80 (2 of 10 failed) | 8 | 1, 2 |" in text
    )


def test_days_that_were_played_are_found_by_their_line(tmp_path, monkeypatch):
    journal = tmp_path / "journal"
    journal.mkdir()
    monkeypatch.chdir(tmp_path)
    shares = {"served": 0.9, "refused": 0.0, "failed": 0.1}
    played = {"name": "a day", "G": 0.7, "rules": {}} | shares
    for number, why in enumerate(
        (
            "round: waits: a-site-store-down+daemons-herd, seed 3",
            "round: waits: a-site-burst, seed 1",
            "another round: a-site-burst, seed 1",
            "round: waits",
        )
    ):
        what = {"id": str(number), "cmd": "run", "why": why}
        entry = what | {"days": [played], "digest": DIGEST}
        (journal / f"2026-{number}.json").write_text(json.dumps(entry))
    found = [
        (day.play.site.stem, day.play.day.name, day.play.seed, day.worth)
        for day in recorded("round: waits")
    ]
    assert found == [
        ("a-site", "store-down+daemons-herd", 3, 0.7),
        ("a-site", "burst", 1, 0.7),
    ]
