"""The tables of a scale run, as Markdown."""

from collections.abc import Iterable

from experiments.scale_figures import (
    LossFigures,
    PhaseFigures,
    RegionFigures,
    ScaleResults,
)


def report(results: ScaleResults) -> str:
    """Write every table of a run."""
    parts = [
        f"{results.real_seconds:.0f} s, {len(results.regions)} regions",
        convergence_table(results.regions),
        loss_table(results.regions),
        phase_table(results.regions),
        message_table(results.regions),
    ]
    return "\n\n".join(parts) + "\n"


def convergence_table(regions: Iterable[RegionFigures]) -> str:
    """Write how long starts and table changes took, virtual seconds."""
    rows = [
        [
            region.daemons,
            region.engines,
            region.seed,
            seconds(region.start_membership_seconds),
            seconds(region.start_leaders_seconds),
            seconds(region.start_stewards_seconds),
            seconds(region.table_seconds),
            seconds(region.table_log_down_seconds),
            f"{region.resident_bytes_per_daemon / 1e6:.2f}",
        ]
        for region in regions
    ]
    heading = (
        "daemons",
        "engines",
        "seed",
        "start: members s",
        "leaders s",
        "stewards s",
        "table s",
        "table, log down s",
        "MB a daemon",
    )
    return table(heading, rows)


def loss_table(regions: Iterable[RegionFigures]) -> str:
    """Write how long after a loss each thing held again, virtual seconds."""
    heading = (
        "daemons",
        "seed",
        "lost",
        "members s",
        "leaders s",
        "stewards s",
        "bytes a daemon",
        "core s a daemon",
    )
    rows = [
        [region.daemons, region.seed, *_loss(loss)]
        for region in regions
        for loss in region.losses
    ]
    return table(heading, rows)


def _loss(loss: LossFigures) -> list[object]:
    return [
        f"{loss.name} ({loss.daemons_lost})",
        seconds(loss.membership_seconds),
        seconds(loss.leaders_seconds),
        seconds(loss.stewards_seconds),
        f"{loss.bytes_per_daemon:.0f}",
        f"{loss.core_seconds_per_daemon:.2f}",
    ]


def phase_table(regions: Iterable[RegionFigures]) -> str:
    """Write the cost of idleness and of the loads, for each daemon and second."""
    heading = (
        "daemons",
        "seed",
        "phase",
        "calls/s",
        "answered",
        "failed",
        "messages/s",
        "B/s",
        "B/s of the busiest",
        "core %",
    )
    rows = [
        [region.daemons, region.seed, *_phase(phase)]
        for region in regions
        for phase in region.phases
    ]
    return table(heading, rows)


def _phase(phase: PhaseFigures) -> list[object]:
    return [
        phase.name,
        phase.calls_per_daemon_second,
        phase.calls_answered,
        phase.calls_failed,
        f"{phase.messages:.2f}",
        f"{phase.bytes:.0f}",
        f"{phase.busiest_daemon_bytes:.0f}",
        f"{phase.core_percent:.3f}",
    ]


def message_table(regions: Iterable[RegionFigures]) -> str:
    """Write the messages of each phase of the last region."""
    *_, last = regions
    rows = [
        [
            phase.name,
            phase.calls_per_daemon_second,
            rate.name,
            f"{rate.messages:.2f}",
            f"{rate.bytes:.0f}",
        ]
        for phase in last.phases
        for rate in phase.rates
    ]
    return table(("phase", "calls/s", "message", "messages/s", "B/s"), rows)


def seconds(value: float | None) -> str:
    """Write a time; "no" when it did not come within the limit."""
    return "no" if value is None else f"{value:.2f}"


def table(heading: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Write a Markdown table."""
    names = list(heading)
    lines = [names, ["---"] * len(names), *[list(map(str, row)) for row in rows]]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)
