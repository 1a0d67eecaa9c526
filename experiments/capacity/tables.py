"""The tables of the capacity page, from the measurements."""

from experiments.capacity.background import BackgroundItem
from experiments.capacity.design_size import DesignSize
from experiments.capacity.measurement import Fit, Measurement, fit
from experiments.scale_figures import PhaseFigures, RegionFigures
from experiments.scale_report import table

CHANGES = "changes"
Points = list[tuple[float, float]]


def slope_row(name: str, measured: str, points: Points, per: str) -> list[object]:
    """Give a row of the table of slopes."""
    line = fit(points)
    shown = ", ".join(f"({x:g}, {y:g})" for x, y in points)
    return [
        name,
        f"`{measured}`",
        shown,
        f"{line.slope:.4g} {per}",
        f"{line.intercept:.4g}",
        f"{line.r_squared:.4f}",
    ]


def background_table(items: list[BackgroundItem], size: DesignSize) -> str:
    """Write the sum of control against its limits."""
    rows: list[list[object]] = [
        [
            item.name,
            f"{item.a_second:.3g}",
            f"{item.bytes_each:.0f}",
            f"{item.bytes_per_second:.0f}",
            "in the polls"
            if item.core_microseconds_each is None
            else f"{item.core_percent:.3f}",
            item.source,
        ]
        for item in items
    ]
    total_bytes = sum(item.bytes_per_second for item in items)
    total_core = sum(item.core_percent for item in items)
    rows.append(
        ["**sum**", "", "", f"**{total_bytes:.0f}**", f"**{total_core:.3f}**", ""]
    )
    rows.append(
        [
            "limit",
            "",
            "",
            f"{size.control_bytes_per_second:.0f}",
            f"{size.control_core_percent}",
            "plan",
        ]
    )
    return table(
        ("background", "a second", "bytes each", "B/s", "core %", "file"), rows
    )


def memory_table(programs: Measurement, size: DesignSize, base: float) -> str:
    """Write the memory of a daemon's programs by the mean history of programs."""
    rows = []
    for turns, held in programs.points("turns", "held bytes"):
        all_held = held * size.daemon_programs
        whole = all_held + base
        rows.append(
            [
                f"{turns:g}",
                f"{held:.0f}",
                f"{all_held / 1e6:.1f}",
                f"{whole / 1e6:.1f}",
                "yes" if whole <= size.memory_bytes else "**no**",
            ]
        )
    heading = (
        "mean turns",
        "bytes a program",
        "MB of programs a daemon",
        "with the process, MB",
        "within 128 MB",
    )
    return table(heading, rows)


def call_phases(region: RegionFigures) -> list[PhaseFigures]:
    """Give the phases that differ in their calls alone."""
    return [phase for phase in region.phases if phase.name != CHANGES]


def call_fits(region: RegionFigures) -> tuple[Fit, Fit, Fit]:
    """Fit messages, bytes and core % of a daemon to the calls that it answered."""
    phases = call_phases(region)
    calls = [phase.calls_answered / phase.seconds / region.daemons for phase in phases]
    return (
        fit(list(zip(calls, (p.messages for p in phases), strict=True))),
        fit(list(zip(calls, (p.bytes for p in phases), strict=True))),
        fit(list(zip(calls, (p.core_percent for p in phases), strict=True))),
    )
