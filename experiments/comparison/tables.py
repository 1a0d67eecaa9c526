"""Readable tables, as text for terminals and as Markdown."""

from collections.abc import Sequence

from experiments.comparison.summary import ServiceSummary, Spread, Summary
from experiments.simulation.run import ALL

Row = Sequence[str]

SERVICE_HEADINGS = (
    "policy",
    "service",
    "done",
    "latency p50",
    "p95",
    "p99",
    "tools",
    "slowdown p50",
    "p95",
    "first token p95",
    "between p95",
    "refusals",
    "share",
    "longest wait",
)
CACHE_HEADINGS = (
    "policy",
    "latency p95 of all",
    "done",
    "wasted cache",
    "with given back",
    "filled twice",
    "prefilled",
)


def service_rows(summary: Summary) -> list[Row]:
    """Give a row for each service; means over the seeds."""
    return [
        (summary.policy, name, *_service_cells(service))
        for name, service in summary.services.items()
    ]


def cache_row(summary: Summary) -> Row:
    """Give one row with mean (least to greatest) of the main figures."""
    whole = summary.services[ALL]
    return (
        summary.policy,
        _shown(whole.latency_p95, " s"),
        f"{whole.done_part.mean:.1%}",
        _shown_thousands(summary.wasted),
        _shown_thousands(summary.wasted_or_released),
        _shown_thousands(summary.refilled),
        _shown_thousands(summary.prefilled),
    )


def as_text(headings: Row, rows: Sequence[Row]) -> str:
    """Align columns for a terminal."""
    widths = [max(map(len, column)) for column in zip(headings, *rows, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in (headings, *rows)
    ]
    return "\n".join(line.rstrip() for line in lines) + "\n"


def as_markdown(headings: Row, rows: Sequence[Row]) -> str:
    """Give a Markdown table."""
    lines = [headings, ["---"] * len(headings), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _service_cells(service: ServiceSummary) -> Row:
    share = service.share_received
    return (
        f"{service.done_part.mean:.0%} of {service.programs.mean:.0f}",
        f"{service.latency_p50.mean:.1f}",
        f"{service.latency_p95.mean:.1f}",
        f"{service.latency_p99.mean:.1f}",
        f"{service.tool_seconds.mean:.1f}",
        f"{service.slowdown_p50.mean:.1f}",
        f"{service.slowdown_p95.mean:.1f}",
        f"{service.first_token_p95.mean:.2f}",
        f"{service.between_tokens_p95.mean * 1000:.0f} ms",
        f"{service.refusals.mean:.0f}",
        "" if share is None else f"{share.mean:.2f}",
        f"{service.longest_wait.greatest:.1f}",
    )


def _shown(value: Spread, unit: str) -> str:
    return f"{value.mean:.1f} ({value.least:.1f} to {value.greatest:.1f}){unit}"


def _shown_thousands(value: Spread) -> str:
    mean, least, greatest = (
        v / 1000 for v in (value.mean, value.least, value.greatest)
    )
    return f"{mean:.0f} k ({least:.0f} to {greatest:.0f})"
