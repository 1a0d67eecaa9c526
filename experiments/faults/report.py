"""The report of a run, as text and as JSON."""

from collections.abc import Sequence

import msgspec

from experiments.demo_report import percentiles
from experiments.faults.checks import Check
from experiments.faults.facts import CallerFacts, CutCause


class FaultReport(msgspec.Struct, frozen=True):
    """Everything that a run has measured; times are in seconds."""

    seed: int
    seconds: float
    steps: tuple[str, ...]
    checks: tuple[Check, ...]
    programs_begun: int
    programs_done: int
    calls_answered: int
    unknown_outcomes: int
    lost_answers: int
    not_run: int
    budgets_exhausted: int
    cuts: dict[str, int]
    cut_details: tuple[str, ...]
    unreachable: int
    timed_out: int
    refusals: dict[str, int]
    broken_streams: dict[str, int]
    calm_calls: int
    calm_call_seconds: tuple[float, ...]
    """p50, p95, p99 of calls that were answered at the first try."""

    calm_create_seconds: tuple[float, ...]
    """p50, p95, p99 of creating a program at the first try: HTTP and one commit."""

    disturbed_programs: int
    longest_wait_p50: float
    longest_wait_max: float
    release_seconds: float
    planned_stop_seconds: tuple[float, ...]
    stale_epochs_refused: int
    accepted_while_leaving: int
    last_accepted_leaving_seconds: float

    @property
    def passed(self) -> bool:
        """Whether every count that must be 0 is 0, and calls were answered."""
        return self.calls_answered > 0 and all(not c.count for c in self.checks)


def median(values: Sequence[float]) -> float:
    """Give the middle value, 0 for none."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0


def calm_percentiles(seconds: Sequence[float]) -> tuple[float, ...]:
    """Give p50, p95 and p99 of undisturbed requests; empty for none."""
    return percentiles(seconds) if seconds else ()


def cuts_of(facts: CallerFacts) -> dict[str, int]:
    """Give the cuts by cause, causes without any too."""
    return {cause.value: facts.cuts[cause] for cause in CutCause}


def report_text(report: FaultReport) -> str:
    """Give the report for a reader."""
    create = ", ".join(f"{value * 1000:.0f}" for value in report.calm_create_seconds)
    calm = ", ".join(f"{value:.2f}" for value in report.calm_call_seconds)
    stops = ", ".join(f"{value:.1f}" for value in report.planned_stop_seconds)
    lines = [
        "",
        f"seed {report.seed}, {report.seconds:.0f} s, steps: {', '.join(report.steps)}",
        f"programs        {report.programs_done} of {report.programs_begun} done,"
        f" {report.calls_answered} calls answered",
        f"calls           {report.calm_calls} undisturbed, p50/p95/p99 {calm} s",
        f"commits         p50/p95/p99 {create} ms to create a program (HTTP, 1 commit)",
        f"longest wait    p50 {report.longest_wait_p50:.1f} s,"
        f" max {report.longest_wait_max:.1f} s, of {report.disturbed_programs}"
        " disturbed programs",
        f"cut requests    {_counts(report.cuts)}",
        f"tries           {report.unreachable} found nobody,"
        f" {report.timed_out} timed out",
        f"refusals        {_counts(report.refusals)}",
        f"broken streams  {_counts(report.broken_streams)}",
        f"final refusals  {report.unknown_outcomes} outcome unknown,"
        f" {report.lost_answers} ran and lost their answers,"
        f" {report.not_run} not run, {report.budgets_exhausted} budgets exhausted",
        f"planned stops   {stops or 'none'} s",
        f"release         {report.release_seconds:.1f} s after the last end",
        f"fencing         {report.stale_epochs_refused} requests refused by engines",
        f"leaving engines {report.accepted_while_leaving} requests accepted, the last"
        f" after {report.last_accepted_leaving_seconds:.1f} s",
        "",
        "must be 0:",
    ]
    for check in report.checks:
        lines.append(f"  {check.count:4d}  {check.name}")
        lines += [f"          {text}" for text in check.found]
    lines += [f"cut: {text}" for text in report.cut_details]
    lines.append("passed" if report.passed else "FAILED")
    return "\n".join(lines)


def _counts(counts: dict[str, int]) -> str:
    pairs = sorted(counts.items())
    return ", ".join(f"{name} {count}" for name, count in pairs if count) or "none"
