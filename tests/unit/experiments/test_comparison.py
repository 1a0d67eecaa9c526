"""Sums over seeds, the judging of goals, and the page."""

import msgspec
import pytest

from experiments.comparison.goals import goal_results
from experiments.comparison.page import results_page
from experiments.comparison.plots import write_plots
from experiments.comparison.summary import Results, Spread, Summary, spread, summarise
from experiments.simulation.measures import Percentiles, ServiceFigures
from experiments.simulation.run import ALL, CacheFigures, CellFigures, CellName

NONE = Percentiles(0.0, 0.0, 0.0)


def service(p95: float, share: float | None = None) -> ServiceFigures:
    return ServiceFigures(
        programs=10,
        done=9,
        gave_up=1,
        refused=0,
        unfinished=0,
        latency=Percentiles(1.0, p95, p95),
        tool_seconds=0.5,
        slowdown=NONE,
        first_token=NONE,
        between_tokens=NONE,
        refusals=2,
        share_received=share,
        longest_wait=3.0,
    )


def cell(policy: str, p95: float, wasted: int, share: float | None = None):
    return CellFigures(
        CellName("w", "0.95", policy, 1),
        {"hasty": service(p95, share), ALL: service(p95)},
        CacheFigures(1000, 0, wasted, 0, 5, 0),
        0,
        True,
    )


def results(own, least, hashing) -> Results:
    return Results("command", {"w": "hasty"}, summarise([own, least, hashing]))


@pytest.mark.parametrize(
    ("own", "missed"),
    [
        ((10.0, 100, 0.9), set()),
        ((10.1, 100, 0.9), {"p95 of `hasty`"}),
        ((15.1, 100, None), {"p95 of `hasty`", "p95 of the who"}),
        ((10.0, 101, None), {"wasted cache a"}),
        ((10.0, 100, 0.89), {"no service und"}),
        ((20.0, 100, None), {"p95 of `hasty`", "p95 of the who", "better than pr"}),
    ],
)
def test_goals_are_judged_by_their_limits(own, missed):
    found = goal_results(
        results(
            cell("notcharch", *own),
            cell("least-loaded", 30.0, 400),
            cell("prefix-hashing", 20.0, 200),
        )
    )
    assert {goal.goal[:14] for goal in found if not goal.met} == missed


def test_a_spread_has_mean_and_both_ends():
    assert spread([1.0, 2.0, 6.0]) == Spread(3.0, 1.0, 6.0)


def test_cells_are_summed_up_over_their_seeds():
    first = cell("notcharch", 10.0, 100)
    second = msgspec.structs.replace(
        cell("notcharch", 20.0, 300), name=CellName("w", "0.95", "notcharch", 2)
    )
    (summary,) = summarise([first, second])
    assert summary.seeds == (1, 2)
    assert summary.wasted == Spread(200.0, 100.0, 300.0)
    assert summary.services["hasty"].latency_p95 == Spread(15.0, 10.0, 20.0)
    assert summary.services["hasty"].share_received is None


def test_page_and_plots_come_from_a_results_file(tmp_path):
    found = results(
        cell("notcharch", 10.0, 100),
        cell("least-loaded", 30.0, 400),
        cell("prefix-hashing", 20.0, 200),
    )
    again = msgspec.json.decode(msgspec.json.encode(found), type=Results)
    assert again == found
    assert isinstance(again.summaries[0], Summary)
    page = results_page(again)
    assert (
        "| w | p95 of `hasty` at most a third of least-loaded's | 0.33 | yes |" in page
    )
    assert [path.name for path in write_plots(again, tmp_path)] == ["w.png"]
