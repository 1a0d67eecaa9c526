"""docs/results.md: the scores and the worth of the deployments' standard days."""

from collections import defaultdict
from pathlib import Path

from deploy.pages.entries import Day, Entry

HEAD = """# Results

Written by `python -m deploy.pages` from the journal of the users' bench. A score is the
place of a day's worth between its two marks; most days stand above their upper mark, so
the worth says more. Days of one trouble are in [deciding.md](deciding.md).

![Scores by run](results/scores.png)
"""
DAY_HEAD = (
    "| day | score | worth | served | failed | rules broken | largest daemon, MB |\n"
    "|---|---|---|---|---|---|---|\n"
)
RUN_HEAD = "| entry (code) | score | days without a rule broken |\n|---|---|---|\n"
KILOBYTES = 1024
FRESH = "fresh-"


def by_site(entries: list[Entry]) -> dict[str, list[Entry]]:
    """Put the entries of one site together, in their order."""
    sites: dict[str, list[Entry]] = defaultdict(list)
    for entry in entries:
        if entry.site and entry.score is not None:
            sites[entry.site].append(entry)
    return dict(sites)


def results_page(entries: list[Entry]) -> str:
    """Give the page: for each site the newest run's days, then all runs."""
    parts = [HEAD]
    for site, runs in sorted(by_site(entries).items()):
        newest = runs[-1]
        parts.append(f"\n## {site}\n\nThe newest run, {newest.label}:\n\n{DAY_HEAD}")
        parts.extend(day_row(day) for day in newest.days)
        parts.append(f"\nAll runs:\n\n{RUN_HEAD}")
        parts.extend(run_row(run) for run in runs)
    return "".join(parts)


def day_row(day: Day) -> str:
    """Give the row of a day."""
    is_fresh = day.name.startswith(FRESH)
    cells = [
        f"{day.name} (drawn; not in the score)" if is_fresh else day.name,
        "" if day.score is None else f"{day.score:.2f}",
        f"{day.worth:.3f}",
        f"{day.served:.3f}",
        f"{day.failed:.3f}",
        ", ".join(sorted(day.rules)),
        "" if day.kilobytes is None else f"{day.kilobytes / KILOBYTES:.1f}",
    ]
    return "| " + " | ".join(cells) + " |\n"


def run_row(run: Entry) -> str:
    """Give the row of a run."""
    whole = sum(not day.rules for day in run.days)
    return f"| {run.label} | {run.score:.3f} | {whole} of {len(run.days)} |\n"


def plot_scores(entries: list[Entry], path: Path) -> None:
    """Draw each site's scores, run by run."""
    # Loaded here: only the picture needs it, and it takes a second.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9.0, 3.5), layout="constrained")
    axes = figure.subplots()
    for site, runs in sorted(by_site(entries).items()):
        scores = [run.score or 0.0 for run in runs]
        axes.plot(range(1, len(runs) + 1), scores, marker="o", label=site)
    axes.set_xlabel("run")
    axes.set_ylabel("score")
    axes.legend(fontsize=8)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
