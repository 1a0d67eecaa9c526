"""Reading printed tables, fitting lines, and the page that is made of them."""

import sys

import msgspec
import pytest

from experiments.capacity import page
from experiments.capacity.background import (
    BackgroundItem,
    background,
    poll_seconds_that_fit,
)
from experiments.capacity.design_size import DesignSize
from experiments.capacity.measurement import (
    Measurement,
    TextTable,
    fit,
    load,
    read_output,
    save,
)
from experiments.capacity.page import fill
from experiments.capacity.tables import memory_table

OUTPUT = """some words: not a figure at all
| members | kind | B/s |
|---|---|---|
| 4 | quiet | 10 |
| 4 | busy | 20 |
| 20 | quiet | 42 |
| 20 | busy | |

a waiting call: 1149 bytes
"""


def measurement(columns, rows, figures=None):
    table = TextTable(tuple(columns), tuple(rows))
    return Measurement("m", "run it", 1, "3", 0.0, 0.0, (table,), figures or {})


def test_printed_tables_and_figures_are_read():
    tables, figures = read_output(OUTPUT)
    read = Measurement("m", "run it", 1, "3", 0.0, 0.0, tables, figures)
    assert figures == {"a waiting call": 1149.0}
    assert read.points("members", "B/s", {"kind": "quiet"}) == [(4, 10), (20, 42)]
    assert read.points("members", "B/s", {"kind": "busy"}) == [(4, 20)]
    with pytest.raises(LookupError):
        read.points("members", "no such column")


def test_a_measurement_survives_its_file(tmp_path):
    kept = measurement(("x", "y"), [(1.0, "a"), (2.0, 3.0)], {"f": 1.5})
    save(kept, tmp_path)
    assert load("m", tmp_path) == kept


@pytest.mark.parametrize(
    ("points", "slope", "intercept", "r_squared"),
    [
        ([(0, 1), (1, 3), (2, 5)], 2, 1, 1),
        ([(0, 4), (1, 4), (5, 4)], 0, 4, 1),
        ([(0, 0), (1, 1), (2, 0)], 0, 1 / 3, 0),
        ([(1, 2), (2, 3), (3, 5), (4, 4)], 0.8, 1.5, 0.64),
    ],
)
def test_lines_of_least_squares(points, slope, intercept, r_squared):
    line = fit(points)
    assert line.slope == pytest.approx(slope)
    assert line.intercept == pytest.approx(intercept)
    assert line.r_squared == pytest.approx(r_squared)
    assert line.at(10) == pytest.approx(intercept + 10 * slope)


@pytest.mark.parametrize("points", [[], [(1, 1)], [(2, 1), (2, 3)]])
def test_a_line_needs_two_places(points):
    with pytest.raises(ValueError, match="two different places"):
        fit(points)


def test_a_page_takes_exactly_the_figures_that_it_names():
    assert fill("a {{x}} b {{y_1}}", {"x": "1", "y_1": "2"}) == "a 1 b 2"
    with pytest.raises(LookupError):
        fill("{{x}} {{z}}", {"x": "1"})
    with pytest.raises(ValueError, match="not on the page"):
        fill("{{x}}", {"x": "1", "z": "2"})


def test_control_counts_both_directions_and_headers():
    membership = measurement(
        ("members", "region", "B/s", "core %"),
        [(75.0, "restarts", 100.0, ""), (75.0, "sockets", "", 0.5)],
    )
    polls = measurement(
        ("poll", "sent bytes", "received bytes", "core µs"),
        [
            (name, 10.0, 20.0, 1000.0)
            for name in (
                "engine load",
                "engine cache events",
                "machine list",
                "log read",
            )
        ],
    )
    table = measurement(("rows", "edit µs", "edit record bytes"), [(1.0, 50.0, 70.0)])
    items = {
        item.name: item
        for item in background(DesignSize(), membership, polls, table, 96.0)
    }
    assert items["membership, both directions"].bytes_per_second == 200.0
    assert items["membership, both directions"].core_percent == pytest.approx(0.5)
    load_poll = items["engine load, each second"]
    assert load_poll.bytes_per_second == pytest.approx(4.5 * (10 + 20 + 104))
    assert load_poll.core_percent == pytest.approx(0.45)


def test_the_time_between_polls_that_fits():
    items = [
        BackgroundItem("a, each second", 4.5, 1000.0, 1.0, "polls"),
        BackgroundItem("rest", 1.0, 500.0, None, "scale"),
    ]
    assert poll_seconds_that_fit(items, DesignSize()) == pytest.approx(3.0)


def test_memory_says_where_it_does_not_fit():
    size = msgspec.structs.replace(DesignSize(), programs=600)
    programs = measurement(("turns", "held bytes"), [(1.0, 60e6), (2.0, 70e6)])
    *_, fits, too_much = memory_table(programs, size, 64e6).splitlines()
    assert fits.endswith("| 124.0 | yes |")
    assert too_much.endswith("| 134.0 | **no** |")


def test_the_check_sees_a_stale_page(tmp_path, monkeypatch):
    monkeypatch.setattr(page, "PAGE", tmp_path / "CAPACITY.md")
    check = ["page", "--check"]
    monkeypatch.setattr(sys, "argv", check)
    assert page.main() == 1
    monkeypatch.setattr(sys, "argv", check[:1])
    assert page.main() == 0
    monkeypatch.setattr(sys, "argv", check)
    assert page.main() == 0
    text = page.PAGE.read_text(encoding="utf-8")
    page.PAGE.write_text(text.replace("1", "2", 1), encoding="utf-8")
    assert page.main() == 1
