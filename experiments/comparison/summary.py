"""Sums cells of the same workload, load and policy up over their seeds."""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from experiments.simulation.measures import ServiceFigures
from experiments.simulation.run import ALL, CellFigures

DIGITS = 4


class Spread(msgspec.Struct, frozen=True, array_like=True):
    """A figure over the seeds: mean, least and greatest."""

    mean: float
    least: float
    greatest: float


class ServiceSummary(msgspec.Struct, frozen=True):
    """One service over the seeds; seconds, but for counts and ratios."""

    programs: Spread
    done_part: Spread
    latency_p50: Spread
    latency_p95: Spread
    latency_p99: Spread
    tool_seconds: Spread
    slowdown_p50: Spread
    slowdown_p95: Spread
    first_token_p95: Spread
    between_tokens_p95: Spread
    refusals: Spread
    share_received: Spread | None
    """Over the seeds in which the service was backlogged; None: in none."""

    longest_wait: Spread


class Summary(msgspec.Struct, frozen=True):
    """One workload, load and policy over the seeds; cache figures in tokens."""

    workload: str
    load: str
    policy: str
    seeds: tuple[int, ...]
    services: dict[str, ServiceSummary]
    wasted: Spread
    wasted_or_released: Spread
    refilled: Spread
    prefilled: Spread
    wrong_answers: int
    incomplete: int
    """Cells that were cut short by the limit of real time."""

    def whole_mix(self) -> ServiceSummary:
        """Give the figures of all services of the model pool together."""
        return self.services[ALL]


class Results(msgspec.Struct, frozen=True):
    """A results file. `impatient` is the impatient service of each workload."""

    command: str
    impatient: dict[str, str]
    summaries: tuple[Summary, ...]

    def find(self, workload: str, load: str, policy: str) -> Summary | None:
        """Give one summary, if it was run."""
        wanted = (workload, load, policy)
        for summary in self.summaries:
            if (summary.workload, summary.load, summary.policy) == wanted:
                return summary
        return None


def summarise(cells: Iterable[CellFigures]) -> tuple[Summary, ...]:
    """Group cells, in the order in which each group first comes."""
    groups: dict[tuple[str, str, str], list[CellFigures]] = {}
    for cell in cells:
        key = (cell.name.workload, cell.name.load, cell.name.policy)
        groups.setdefault(key, []).append(cell)
    return tuple(_summary(group) for group in groups.values())


def spread(values: Sequence[float]) -> Spread:
    """Sum values up; there is at least one."""
    figures = (sum(values) / len(values), min(values), max(values))
    return Spread(*(float(f"{value:.{DIGITS}g}") for value in figures))


def _summary(cells: Sequence[CellFigures]) -> Summary:
    name = cells[0].name
    return Summary(
        name.workload,
        name.load,
        name.policy,
        tuple(cell.name.seed for cell in cells),
        {
            service: _service([cell.services[service] for cell in cells])
            for service in cells[0].services
        },
        spread([cell.cache.wasted for cell in cells]),
        spread([cell.cache.wasted_or_released for cell in cells]),
        spread([cell.cache.refilled for cell in cells]),
        spread([cell.cache.prefilled for cell in cells]),
        sum(cell.wrong_answers for cell in cells),
        sum(not cell.complete for cell in cells),
    )


def _service(figures: Sequence[ServiceFigures]) -> ServiceSummary:
    def over(value: Callable[[ServiceFigures], float]) -> Spread:
        return spread([value(one) for one in figures])

    shares = [f.share_received for f in figures if f.share_received is not None]
    return ServiceSummary(
        programs=over(lambda f: f.programs),
        done_part=over(lambda f: f.done / f.programs if f.programs else 1.0),
        latency_p50=over(lambda f: f.latency.p50),
        latency_p95=over(lambda f: f.latency.p95),
        latency_p99=over(lambda f: f.latency.p99),
        tool_seconds=over(lambda f: f.tool_seconds),
        slowdown_p50=over(lambda f: f.slowdown.p50),
        slowdown_p95=over(lambda f: f.slowdown.p95),
        first_token_p95=over(lambda f: f.first_token.p95),
        between_tokens_p95=over(lambda f: f.between_tokens.p95),
        refusals=over(lambda f: f.refusals),
        share_received=spread(shares) if shares else None,
        longest_wait=over(lambda f: f.longest_wait),
    )
