"""The demo's report, as text."""

from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from emulator.http.control_server import EmulatorSnapshot
from experiments.load_client import ClientCounters
from experiments.workloads import Kind, WorkloadResult

LONGEST_MILLISECONDS = 3_600_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)
SHOWN_FAILURES = 5


def report_text(
    result: WorkloadResult,
    counters: ClientCounters,
    snapshot: EmulatorSnapshot,
    seconds: float,
) -> str:
    """Give the report."""
    lines = [
        "",
        f"programs   {result.programs_done} of {result.programs_begun} done,"
        f" {result.programs_failed} failed, in {seconds:.1f} s",
        f"calls      {result.calls_done} answered, {result.wrong_answers} wrong",
        *(_latency_line(kind, result.latencies[kind]) for kind in Kind),
        _cache_line(snapshot),
        f"requests   {counters.requests} sent, {counters.lost_requests} lost,"
        f" {counters.broken_streams} broken streams",
        f"refusals   {_refusals(counters)}",
        f"memory     {_held_blocks(snapshot)} blocks still held on the engines",
    ]
    lines += [f"failed     {text}" for text in result.failures[:SHOWN_FAILURES]]
    return "\n".join(lines)


def percentiles(seconds: Sequence[float]) -> tuple[float, ...]:
    """Give p50, p95 and p99 in seconds."""
    histogram = HdrHistogram(1, LONGEST_MILLISECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, round(value * 1000)))
    return tuple(histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES)


def _latency_line(kind: Kind, seconds: Sequence[float]) -> str:
    label = f"latency    {kind.value:<10}"
    if not seconds:
        return f"{label} no program ended"
    p50, p95, p99 = percentiles(seconds)
    count = len(seconds)
    return f"{label} p50 {p50:.2f} s, p95 {p95:.2f} s, p99 {p99:.2f} s ({count})"


def _cache_line(snapshot: EmulatorSnapshot) -> str:
    counters = [engine.counters for engine in snapshot.engines]
    cached = sum(c.tokens_cached for c in counters)
    prefilled = sum(c.tokens_prefilled for c in counters)
    refilled = sum(c.tokens_refilled for c in counters)
    wasted = sum(
        c.tokens_evicted_unused + c.tokens_released_unused + c.tokens_lost_unused
        for c in counters
    )
    share = 100 * wasted / prefilled if prefilled else 0.0
    return (
        f"cache      {cached} prompt tokens spared, {prefilled} filled,"
        f" {refilled} filled again, {wasted} wasted ({share:.1f} % of the filled)"
    )


def _refusals(counters: ClientCounters) -> str:
    pairs = sorted(counters.refusals.items())
    return ", ".join(f"{code} {count}" for code, count in pairs) or "none"


def _held_blocks(snapshot: EmulatorSnapshot) -> int:
    return sum(sum(engine.blocks_by_program.values()) for engine in snapshot.engines)
