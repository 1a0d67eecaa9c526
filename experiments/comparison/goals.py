"""Compares notcharch with the baselines at the load that the goals name."""

import msgspec

from experiments.comparison.summary import Results, Summary
from experiments.policies.catalogue import LEAST_LOADED, NOTCHARCH, PREFIX_HASHING
from experiments.simulation.run import ALL

GOAL_LOAD = "0.95"
INTERACTIVE_PART = 1 / 3
WHOLE_MIX_PART = 1 / 2
WASTE_PART = 1 / 4
LEAST_SHARE = 0.9


class GoalResult(msgspec.Struct, frozen=True):
    """One goal for one workload: what was measured and whether it is met."""

    workload: str
    goal: str
    measured: str
    met: bool


def goal_results(results: Results, load: str = GOAL_LOAD) -> list[GoalResult]:
    """Judge every workload that was run at this load under the three policies."""
    judged: list[GoalResult] = []
    for workload, impatient in results.impatient.items():
        own = results.find(workload, load, NOTCHARCH)
        least = results.find(workload, load, LEAST_LOADED)
        hashing = results.find(workload, load, PREFIX_HASHING)
        if own is not None and least is not None:
            judged += _against_least_loaded(own, least, impatient)
        if own is not None and hashing is not None:
            judged += _against_prefix_hashing(own, hashing)
        if own is not None:
            judged.append(_shares(own))
    return judged


def _against_least_loaded(
    own: Summary, least: Summary, impatient: str
) -> list[GoalResult]:
    interactive = _latency_ratio(own, least, impatient)
    whole = _latency_ratio(own, least, ALL)
    waste = _ratio(own.wasted.mean, least.wasted.mean)
    strict = _ratio(own.wasted_or_released.mean, least.wasted_or_released.mean)
    return [
        GoalResult(
            own.workload,
            f"p95 of `{impatient}` at most a third of least-loaded's",
            f"{interactive:.2f}",
            interactive <= INTERACTIVE_PART,
        ),
        GoalResult(
            own.workload,
            "p95 of the whole mix at most half of least-loaded's",
            f"{whole:.2f}",
            whole <= WHOLE_MIX_PART,
        ),
        GoalResult(
            own.workload,
            "wasted cache at most a quarter of least-loaded's",
            f"{waste:.2f} ({strict:.2f} with what ended programs gave back)",
            waste <= WASTE_PART,
        ),
    ]


def _against_prefix_hashing(own: Summary, hashing: Summary) -> list[GoalResult]:
    latency = _latency_ratio(own, hashing, ALL)
    waste = _ratio(own.wasted.mean, hashing.wasted.mean)
    strict = _ratio(own.wasted_or_released.mean, hashing.wasted_or_released.mean)
    return [
        GoalResult(
            own.workload,
            "better than prefix-hashing in p95 of the whole mix and wasted cache",
            f"{latency:.2f}; {waste:.2f} ({strict:.2f} with what was given back)",
            latency < 1 and waste < 1,
        )
    ]


def _shares(own: Summary) -> GoalResult:
    received = {
        name: service.share_received.least
        for name, service in own.services.items()
        if service.share_received is not None
    }
    worst = min(received.values(), default=1.0)
    shown = ", ".join(f"{name} {value:.2f}" for name, value in received.items())
    return GoalResult(
        own.workload,
        "no service under 90% of its share in any seed while it has work",
        shown or "no service was backlogged",
        worst >= LEAST_SHARE,
    )


def _latency_ratio(own: Summary, other: Summary, service: str) -> float:
    return _ratio(
        own.services[service].latency_p95.mean, other.services[service].latency_p95.mean
    )


def _ratio(own: float, other: float) -> float:
    return own / other if other else float("inf")
