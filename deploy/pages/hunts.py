"""docs/hunts.md: the days with other luck that were played to find broken rules."""

from deploy.pages.entries import Day, Entry

HEAD = """# Hunts

Written by `python -m deploy.pages` from the journal of the users' bench: each hunt that
was played to its end. What hunts found is in [findings.md](findings.md).

| entry (code) | deployment | days | with a rule broken | gates failed | worst worth, its day |
|---|---|---|---|---|---|
"""


def hunts_page(hunts: list[Entry]) -> str:
    """Give the page: a row a hunt, the oldest first."""
    return HEAD + "".join(hunt_row(hunt) for hunt in hunts)


def hunt_row(hunt: Entry) -> str:
    """Give the row of a hunt."""
    worst = min(hunt.days, key=lambda day: day.worth)
    broken = sum(bool(day.rules) for day in hunt.days)
    failed = sum(not day.gate for day in hunt.days)
    cells = [hunt.label, hunt.site or "", str(len(hunt.days)), str(broken)]
    cells += [str(failed), day_cell(worst)]
    return "| " + " | ".join(cells) + " |\n"


def day_cell(day: Day) -> str:
    """Give a day's worth, and by what it is played again."""
    return f"{day.worth:.3f}, {day.name}"
