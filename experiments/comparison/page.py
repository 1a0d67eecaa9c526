"""The results page, in Markdown, from a results file."""

from experiments.comparison.goals import GOAL_LOAD, goal_results
from experiments.comparison.summary import Results
from experiments.comparison.tables import (
    CACHE_HEADINGS,
    SERVICE_HEADINGS,
    as_markdown,
    cache_row,
    service_rows,
)
from experiments.policies.catalogue import BASELINES, NOTCHARCH

MAIN = (*(spec.name for spec in BASELINES), NOTCHARCH)

HEAD = """# Results

Written by one command; only the notes after the goals are written by hand:

```
{command} \\
  --results docs/results/results.json --notes docs/results/notes.md --page docs/results.md
notcharch experiment plot docs/results/results.json docs/results
```

Each table says how many seeds its cells ran with; figures are means over them, with
the least and the greatest in parentheses. All of it is a simulation on virtual time over our own model
of the engines ([emulator.md](emulator.md)); no real engine was measured.
[design/experiments.md](design/experiments.md) says what runs, how capacity is computed
and what each figure means. In short: latency is from a program's first call to its
last answer, in seconds; a program that failed or did not end counts with the time so
far and its caller's patience on top; *wasted cache* is tokens evicted unused and tokens
filled twice; *with given back* adds what ended programs released unused; *share* is the
work received over that entitled to while calls of the service waited; *longest wait* is
the greatest of all seeds. Incomplete cells: {incomplete}. Wrong answers: {wrong}.

"""


def results_page(results: Results, notes: str = "") -> str:
    """Write the whole page, with notes after the goals."""
    summaries = results.summaries
    head = HEAD.format(
        command=results.command,
        incomplete=sum(summary.incomplete for summary in summaries),
        wrong=sum(summary.wrong_answers for summary in summaries),
    )
    parts = [head, _goals(results), notes + "\n" if notes else ""]
    for workload in results.impatient:
        parts.append(f"## Workload `{workload}`\n\n")
        parts.append(f"![{workload}](results/{workload}.png)\n\n")
        loads = dict.fromkeys(s.load for s in summaries if s.workload == workload)
        parts += [_load_part(results, workload, load) for load in loads]
    return "".join(parts)


def _goals(results: Results) -> str:
    judged = goal_results(results)
    rows = [
        (goal.workload, goal.goal, goal.measured, "yes" if goal.met else "**no**")
        for goal in judged
    ]
    headings = ("workload", "goal", "measured", "met")
    title = f"## Goals at load {GOAL_LOAD}\n\n"
    seeds = max(
        (len(s.seeds) for s in results.summaries if s.load == GOAL_LOAD), default=0
    )
    text = f"{seeds} seeds. "
    text += "Ratios of notcharch to the baseline, of means over the seeds.\n\n"
    return title + text + as_markdown(headings, rows) + "\n"


def _load_part(results: Results, workload: str, load: str) -> str:
    chosen = [s for s in results.summaries if (s.workload, s.load) == (workload, load)]
    service = [
        row
        for summary in chosen
        if summary.policy in MAIN
        for row in service_rows(summary)
    ]
    seeds = {summary.policy: len(summary.seeds) for summary in chosen}
    counts = ", ".join(f"{policy} {count}" for policy, count in seeds.items())
    return (
        f"### Load {load}\n\nSeeds: {counts}.\n\n"
        + as_markdown(CACHE_HEADINGS, [cache_row(summary) for summary in chosen])
        + "\n"
        + as_markdown(SERVICE_HEADINGS, service)
        + "\n"
    )
