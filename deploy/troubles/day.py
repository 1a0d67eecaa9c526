"""Days of one trouble, made from a deployment's own quiet day."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from deploy.troubles.kinds import (
    AT_SECONDS,
    PAIR_GAP_SECONDS,
    PAIRS,
    TROUBLES,
    Field,
    Trouble,
)

UNDISTURBED = "undisturbed"
QUIET = "quiet"
OWN_FIELDS = {
    "slot": "trouble",
    "one": 1.0,
    "zero": 0.0,
    "plan": [],
    "light": False,
    "closing": None,
    "small": None,
}
"""What a day of one trouble has of its own; None leaves the quiet day's field out."""


class TroubleDay(msgspec.Struct, frozen=True):
    """A day to be played."""

    name: str
    text: str
    """The day as the bench reads it (TOML)."""


def faults_of(name: str) -> list[dict[str, Field]]:
    """Give the entries of a day by its name: a trouble, or two joined by `+`."""
    if name == UNDISTURBED:
        return []
    known = {trouble.name: trouble for trouble in TROUBLES}
    troubles: list[Trouble] = [known[part] for part in name.split("+")]
    return [
        trouble.entry(AT_SECONDS + number * PAIR_GAP_SECONDS)
        for number, trouble in enumerate(troubles)
    ]


def all_names() -> list[str]:
    """Give every day's name: undisturbed, each trouble alone, the pairs."""
    alone = [trouble.name for trouble in TROUBLES]
    return [UNDISTURBED, *alone, *("+".join(pair) for pair in PAIRS)]


def quiet_day(site: Path) -> dict[str, Any]:
    """Give the first quiet day of a site file."""
    days: list[dict[str, Any]] = tomllib.loads(site.read_text())["day"]
    return next(day for day in days if day["slot"] == QUIET)


def trouble_day(site: Path, name: str) -> TroubleDay:
    """Put the troubles of a name on the traffic of a site's quiet day."""
    own = {**OWN_FIELDS, "name": name, "faults": faults_of(name)}
    fields = {**quiet_day(site), **own}
    lines = [
        f"{key} = {toml_value(value)}"
        for key, value in fields.items()
        if value is not None
    ]
    return TroubleDay(name, "\n".join(lines) + "\n")


def toml_value(value: Any) -> str:
    """Write a value of a TOML document."""
    if isinstance(value, dict):
        fields = (f"{key} = {toml_value(part)}" for key, part in value.items())
        return "{ " + ", ".join(fields) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(part) for part in value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return msgspec.json.encode(value).decode()
    return str(value)
