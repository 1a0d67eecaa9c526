"""What played days say, as a page: a table of the days, and plots of their windows."""

from collections import defaultdict
from pathlib import Path
from statistics import mean

from deploy.troubles.play import KindFigures, PlayedDay

HEAD = (
    "| day | worth | worst seed | worst windows | served | failed | weakest kind "
    "| seconds below 0.7 of their credit | entries |\n"
    "|---|---|---|---|---|---|---|---|---|\n"
)
POOR_WINDOW = 0.7
WINDOW_SECONDS = 2.0


def group_by_day(played: list[PlayedDay]) -> dict[tuple[str, str], list[PlayedDay]]:
    """Put the plays of one day of one site together, whatever their seed."""
    groups: dict[tuple[str, str], list[PlayedDay]] = defaultdict(list)
    for day in played:
        groups[(day.play.site.stem, day.play.day.name)].append(day)
    return dict(groups)


def page(played: list[PlayedDay]) -> str:
    """Give one table a site."""
    parts: list[str] = []
    site = ""
    for (site_name, day), plays in group_by_day(played).items():
        if site_name != site:
            site = site_name
            parts.append(f"\n### {site}\n\n{HEAD}")
        parts.append(row(day, plays))
    return "".join(parts)


def row(name: str, plays: list[PlayedDay]) -> str:
    """Give the row of a day: means over its seeds, and its worst one."""
    broken = sorted({rule for play in plays for rule in play.rules})
    label = f"{name} (broken: {', '.join(broken)})" if broken else name
    cells = [
        label,
        f"{mean(play.worth for play in plays):.3f}",
        f"{min(play.worth for play in plays):.3f}",
        f"{mean(play.worst_windows for play in plays):.3f}",
        f"{mean(play.served for play in plays):.3f}",
        f"{mean(play.failed for play in plays):.3f}",
        weakest_kind([kind for play in plays for kind in play.kinds]),
        poor_seconds(plays),
        ", ".join(play.entry.rpartition("-")[2] for play in plays),
    ]
    return "| " + " | ".join(cells) + " |\n"


def weakest_kind(kinds: list[KindFigures]) -> str:
    """Name the kind of request that earned the smallest share of its credit."""
    if not kinds:
        return ""
    worst = min(kinds, key=lambda kind: kind.worth)
    return f"{worst.name} {worst.worth:.2f} ({worst.failed} of {worst.asked} failed)"


def poor_seconds(plays: list[PlayedDay]) -> str:
    """Give the seconds that earned little on most seeds."""
    worths: dict[float, list[float]] = defaultdict(list)
    for play in plays:
        for window in play.windows:
            worths[window.second].append(window.worth)
    poor = [at for at, found in sorted(worths.items()) if mean(found) < POOR_WINDOW]
    return ", ".join(f"{at:.0f}" for at in poor)


def plot(played: list[PlayedDay], path: Path) -> None:
    """Draw the worth of each two seconds, a panel a day."""
    # Loaded here: only the plots need it, and it takes a second.
    from matplotlib.figure import Figure

    groups = group_by_day(played)
    figure = Figure(figsize=(9.0, 1.5 * len(groups)), layout="constrained")
    panels = figure.subplots(len(groups), 1, sharex=True, squeeze=False)
    for panel, ((site, day), plays) in zip(panels[:, 0], groups.items(), strict=True):
        for play in plays:
            seconds = [window.second for window in play.windows]
            worths = [window.worth for window in play.windows]
            panel.step(seconds, worths, where="post", linewidth=0.9)
        panel.set_ylim(0.0, 1.05)
        panel.set_title(f"{site}: {day}", fontsize=8, loc="left")
    panels[-1, 0].set_xlabel("seconds since the traffic began")
    figure.savefig(path, dpi=100)
