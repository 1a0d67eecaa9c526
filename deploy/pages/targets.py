"""The targets of deployments beside the newest results, for docs/CAPACITY.md."""

import tomllib
from pathlib import Path

import msgspec

from deploy.pages.entries import Day, Entry

TARGETS = Path(__file__).parent / "targets.toml"
HEAD = """
## Targets

Mean worth of the standard days with trouble, in the newest score that played all of them.
A target that is not reached is no failed test.

| deployment | days | target of the users | own target | mean worth | lowest day | entry (code) |
|---|---|---|---|---|---|---|
"""
STANDARD_DAYS = ("trouble-", "scale-")


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a deployment is to reach."""

    site: str
    days: int
    """Number of its standard days with trouble."""
    users: float
    """Target of the deployment's users, a mean worth."""
    own: float
    """Target of this project, a mean worth."""


def read_targets() -> list[Target]:
    """Read the targets."""
    tables = tomllib.loads(TARGETS.read_text())["target"]
    return msgspec.convert(tables, list[Target])


def target_table(scores: list[Entry], targets: list[Target]) -> str:
    """Return the section; empty if no score played all days of any target."""
    rows = [row for target in targets if (row := _row(scores, target))]
    return HEAD + "".join(rows) if rows else ""


def _row(scores: list[Entry], target: Target) -> str:
    for entry in reversed(scores):
        days = _trouble_days(entry)
        if entry.site == target.site and len(days) >= target.days:
            return _cells(entry, days, target)
    return ""


def _trouble_days(entry: Entry) -> list[Day]:
    return [day for day in entry.days if day.name.startswith(STANDARD_DAYS)]


def _cells(entry: Entry, days: list[Day], target: Target) -> str:
    worths = [day.worth for day in days]
    cells = [
        target.site,
        str(len(days)),
        f"{target.users:.2f}",
        f"{target.own:.2f}",
        f"{sum(worths) / len(worths):.3f}",
        f"{min(worths):.3f}",
        entry.label,
    ]
    return "| " + " | ".join(cells) + " |\n"
