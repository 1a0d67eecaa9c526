"""Pages come from journal entries, whatever order or gaps these have."""

import json
from pathlib import Path

from deploy.pages.capacity import capacity_page
from deploy.pages.entries import Entry, read_entries, read_sweep
from deploy.pages.hunts import hunts_page
from deploy.pages.results import plot_scores, results_page
from deploy.pages.targets import Target, target_table

SWEEP = """sweep-100  99/1002  0.97  0.967

middle / busiest or longest, by own machines
                              10              30             100  power  at 998
notcharch: memory MB  30.1 / 32.4     29.2 / 30.3     29.2 / 30.1  -0.03  30.1
leaving in force, ms  0.00 / 0.00     0.00 / 0.00      0.00 / 366   0.88  2753
config acked, ms      31.0 / 31.0     36.0 / 38.0     63.0 / 64.0   0.11  82.2
power: the busiest grows as machines to this power
"""


def day(name: str, worth: float, **changes: object) -> dict[str, object]:
    fields = {
        "G": worth,
        "name": name,
        "served": 1.0,
        "failed": 0.0,
        "score": 0.5,
        "rules": {},
        "balancers": 11,
        "servers": 37,
        "kb_an_instance": 30720,
        "prices": [
            ["machine-seconds", 100.0, 0.01],
            ["processor seconds", 4.0, 0.01],
            ["cloud calls", 250.0, 0.01],
            ["new connections to servers", 50.0, 0.01],
        ],
    }
    return fields | changes


def write(journal: Path, id: str, command: str, **changes: object) -> None:
    fields = {
        "id": id,
        "cmd": command,
        "head": "0123456789",
        "site": "place",
        "score": 0.75,
        "days": [day("quiet-1", 0.9), day("trouble-1", 0.4, rules={"LOST": 1})],
        "digest": "",
    }
    text = json.dumps(fields | changes, separators=(",", ":"))
    (journal / f"{id}.json").write_text(text)


def test_entries_of_other_commands_and_unfinished_ones_are_left_out(tmp_path):
    write(tmp_path, "1", "run")
    write(tmp_path, "2", "score", site=None, days=[])
    write(tmp_path, "3", "score")
    assert [entry.id for entry in read_entries("score", tmp_path)] == ["3"]


def test_an_entry_of_days_that_did_not_start_is_read(tmp_path):
    """The bench gives no worth to a price that it could not judge."""
    write(tmp_path, "1", "score", days=[day("q", 0.0, prices=[["duties", 0.0, None]])])
    (entry,) = read_entries("score", tmp_path)
    assert entry.days[0].amount("duties") == 0.0


def test_results_show_the_newest_days_and_all_runs(tmp_path):
    write(tmp_path, "1", "score", score=0.5)
    write(tmp_path, "2", "score")
    text = results_page(list(read_entries("score", tmp_path)))
    assert "The newest run, 2 (01234567):" in text
    assert "| trouble-1 | 0.50 | 0.400 | 1.000 | 0.000 | LOST | 30.0 |" in text
    assert "| 1 (01234567) | 0.500 | 1 of 2 |" in text
    assert "| 2 (01234567) | 0.750 | 1 of 2 |" in text


def test_capacity_has_slopes_and_the_load_of_one_machine(tmp_path):
    write(tmp_path, "1", "score")
    write(tmp_path, "2", "sweep", digest=SWEEP)
    sweeps = list(read_entries("sweep", tmp_path))
    text = capacity_page(list(read_entries("score", tmp_path)), sweeps)
    assert "| place | 11 | 37 | 30.0 | 4.0% | 2.50 | 0.50 | 1 (01234567) |" in text
    steepest = text.index("- leaving in force, ms: power 0.88, 0.00 / 366 at 100")
    assert steepest < text.index("- config acked, ms: power 0.11")
    assert "- notcharch: memory MB" not in text


def test_a_sweep_without_a_table_is_left_out():
    entry = Entry("1", "sweep", digest="gave up")
    assert read_sweep(entry) is None
    assert "## Sweep" not in capacity_page([], [entry])


def test_scores_are_drawn(tmp_path):
    write(tmp_path, "1", "score")
    plot_scores(list(read_entries("score", tmp_path)), tmp_path / "new" / "scores.png")
    assert (tmp_path / "new" / "scores.png").stat().st_size > 1000


def test_a_hunt_shows_what_was_broken_and_its_worst_day(tmp_path):
    days = [
        day("mix --seed 7", 0.31, gate=False),
        day("quiet-1 --seed 8", 0.9),
        day("trouble-1 --seed 9", 0.5, rules={"LOST": 2}, gate=False),
    ]
    write(tmp_path, "1", "hunt", days=days)
    write(tmp_path, "2", "hunt", site=None, days=[])
    rows = hunts_page(list(read_entries("hunt", tmp_path))).splitlines()
    assert rows[-1] == "| 1 (01234567) | place | 3 | 1 | 2 | 0.310, mix --seed 7 |"
    assert sum(row.startswith("| 1 ") for row in rows) == 1
    assert not any(row.startswith("| 2 ") for row in rows)


def test_targets_stand_beside_the_newest_score_of_all_days(tmp_path):
    """A quick score has too few days to say whether a target is reached."""
    days = [day("quiet-1", 0.9), day("trouble-1", 0.6), day("scale-1", 0.8)]
    write(tmp_path, "1", "score", days=days)
    write(tmp_path, "2", "score", days=days[:2])
    scores = list(read_entries("score", tmp_path))
    targets = [Target("place", 2, 0.72, 0.85), Target("elsewhere", 2, 0.7, 0.8)]
    table = target_table(scores, targets)
    assert "| place | 2 | 0.72 | 0.85 | 0.700 | 0.600 | 1 (01234567) |" in table
    assert "elsewhere" not in table
    assert target_table(scores, targets[1:]) == ""
