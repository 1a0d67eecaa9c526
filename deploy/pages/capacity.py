"""docs/CAPACITY.md: how the load grows with the machines, from the bench's slopes."""

from deploy.pages.entries import Day, Entry, Sweep, read_sweep
from deploy.pages.store_price import price_table, read_prices
from deploy.pages.targets import read_targets, target_table

HEAD = """# Capacity

Written by `python -m deploy.pages` from the journal of the users' bench; no figure here
has another source, but for the price of a short history. Slopes come from
`fleetbench sweep`: one day at growing numbers of machines, *power* being the exponent with
which the busiest daemon, or the longest time, grows as the machines do. The column beyond
the largest size is carried on by the bench and was not played.
"""
SIZE_HEAD = """
## Sizes that were played

The quiet day of the newest score of each deployment; figures are of one machine.

| deployment | machines | engines | largest daemon, MB | processor | calls to the store a second | new connections to engines a second | entry (code) |
|---|---|---|---|---|---|---|---|
"""
WHAT_BREAKS = """
## What breaks first

Powers below 0 are shared out among the daemons: they don't bind. What has a power above
0 in the newest sweep, the steepest first:

"""
QUIET = "quiet"
KILOBYTES = 1024
MACHINE_SECONDS = "machine-seconds"
PROCESSOR = "processor seconds"
STORE_CALLS = "cloud calls"
CONNECTIONS = "new connections to servers"
POWER = "power"


def capacity_page(scores: list[Entry], sweeps: list[Entry]) -> str:
    """Give the page."""
    tables = [
        (entry, table) for entry in sweeps if (table := read_sweep(entry)) is not None
    ]
    parts = [HEAD]
    if tables:
        parts.append(WHAT_BREAKS)
        parts.extend(steepest_rows(tables[-1][1]))
    for entry, table in tables:
        parts.append(
            f"\n## Sweep of {entry.site}, {entry.label}\n\n{sweep_table(table)}"
        )
    parts.append(target_table(scores, read_targets()))
    parts.append(SIZE_HEAD)
    parts.extend(size_rows(scores))
    parts.append(price_table(read_prices()))
    return "".join(parts)


def sweep_table(sweep: Sweep) -> str:
    """Give a sweep's table."""
    head = "| measured | " + " | ".join(sweep.heading) + " |\n"
    line = "|---" * (len(sweep.heading) + 1) + "|\n"
    rows = (f"| {row.name} | " + " | ".join(row.cells) + " |\n" for row in sweep.rows)
    return head + line + "".join(rows)


def steepest_rows(sweep: Sweep) -> list[str]:
    """List what grows with the machines, the steepest first."""
    place = sweep.heading.index(POWER)
    target = sweep.heading[-1]
    growing = [row for row in sweep.rows if float(row.cells[place]) > 0]
    growing.sort(key=lambda row: float(row.cells[place]), reverse=True)
    return [
        f"- {row.name}: power {row.cells[place]}, {row.cells[place - 1]} at "
        f"{sweep.heading[place - 1]} machines, {row.cells[-1]} {target} (carried on)\n"
        for row in growing
    ]


def size_rows(scores: list[Entry]) -> list[str]:
    """Give a row for the newest quiet day of each deployment, the smallest first."""
    newest: dict[str, tuple[Entry, Day]] = {}
    for entry in scores:
        for day in entry.days:
            if entry.site and day.name.startswith(QUIET):
                newest[entry.site] = (entry, day)
    ordered = sorted(newest.values(), key=lambda pair: pair[1].machines)
    return [size_row(entry, day) for entry, day in ordered]


def size_row(entry: Entry, day: Day) -> str:
    """Give the row of a deployment."""
    seconds = day.amount(MACHINE_SECONDS) or 1.0
    cells = [
        entry.site or "",
        str(day.machines),
        str(day.engines),
        "" if day.kilobytes is None else f"{day.kilobytes / KILOBYTES:.1f}",
        f"{100 * day.amount(PROCESSOR) / seconds:.1f}%",
        f"{day.amount(STORE_CALLS) / seconds:.2f}",
        f"{day.amount(CONNECTIONS) / seconds:.2f}",
        entry.label,
    ]
    return "| " + " | ".join(cells) + " |\n"
