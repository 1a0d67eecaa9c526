"""Validation of cells and rows: every finding, with its place."""

import pytest
from result import Err

from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.table.schema import check_table, read_cell, read_row

ROW = {"service": "guide", "tenant": "studio", "pool": "org/small:v1"}


@pytest.mark.parametrize(
    ("cell", "value"),
    [
        ("share", 0),
        ("share", -1.0),
        ("share", float("nan")),
        ("share", float("inf")),
        ("share", "2"),
        ("share", True),
        ("priority", -1),
        ("priority", 10),
        ("priority", 1.5),
        ("budget_tokens", 0),
        ("budget_tokens", 10**13),
        ("concurrency", 0),
        ("calls_per_program", 0),
        ("max_answer_tokens", 0),
        ("max_answer_tokens", 1_000_001),
        ("idle_seconds", 0),
        ("idle_seconds", float("nan")),
        ("max_age_seconds", -1),
        ("max_age_seconds", float("inf")),
        ("max_wait_seconds", -0.1),
        ("max_wait_seconds", float("nan")),
        ("paused", 1),
        ("tenant", ""),
        ("tenant", "a/b"),
        ("pool", " small"),
        ("colour", "red"),
    ],
)
def test_a_wrong_cell_is_one_finding_at_its_place(cell, value):
    read = read_row({**ROW, cell: value}, "rows[guide]")
    assert isinstance(read, Err)
    assert [finding.place for finding in read.err_value] == [f"rows[guide].{cell}"]


@pytest.mark.parametrize(
    ("cell", "value"),
    [("share", 0.001), ("priority", 0), ("priority", 9), ("max_wait_seconds", 0)],
)
def test_bounds_are_allowed(cell, value):
    assert getattr(read_row({**ROW, cell: value}, "p").unwrap(), cell) == value


def test_all_findings_of_a_row_come_together():
    findings = read_row({"service": "", "share": 0, "x": 1}, "rows[2]").unwrap_err()
    assert [finding.place for finding in findings] == [
        "rows[2].tenant",
        "rows[2].pool",
        "rows[2].x",
        "rows[2].service",
        "rows[2].share",
    ]


def test_text_is_converted_only_where_asked():
    assert read_cell("paused", "true", "p", from_text=True).unwrap() is True
    assert read_cell("share", "2.5", "p", from_text=True).unwrap() == 2.5
    assert read_cell("share", "2.5", "p").is_err()


def test_repeated_rows_and_keys_are_findings():
    row = ServiceRow("guide", "studio", "small")
    key = TenantKey("studio", "a" * 64)
    bad = TenantKey("studio", "A" * 64)
    places = [item.place for item in check_table([row, row], [key, key, bad])]
    assert places == [
        "rows[guide]",
        f"keys[{'a' * 12}]",
        f"keys[{'A' * 12}].key_sha256",
    ]
