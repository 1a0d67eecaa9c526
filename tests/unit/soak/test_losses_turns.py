"""Turns that are denied or reach no engine are found, and what isn't owed passes."""

import pytest

from deploy.soak.losses.lost_turns import (
    configuration_gone,
    denied_turns,
    unreached_after_final_fault,
    unreached_turns,
)
from deploy.soak.losses.owed import certainly_fits
from deploy.soak.losses.records import Disruption, Evidence, PlayTurn, RouteProbe
from deploy.soak.observations import Asked, Run
from deploy.soak.oracle import Oracle

BACK_AT = 100.0
BUDGET, MOST = 920, 230


def a_try(name: str, at: float, *, status: int = 503, **more) -> Asked:
    fields = {"at": at, "sent_at": at, "ended_at": at + 0.1, "daemon": "d0"} | more
    asked = Asked(name, "/kept/x", b"", False, True, program="p", **fields)
    asked.status, asked.is_connected, asked.is_whole = status, True, True
    return asked


def turn(*tries: Asked, previous: str = "t", name: str = "turn", **more) -> PlayTurn:
    fields = {"aim": 1000.0, "previous_ended_at": 90.0} | more
    return PlayTurn(name, "p", previous=previous, tries=list(tries), **fields)


def evidence(
    *turns: PlayTurn, ran: tuple[str, ...] = (), others=(), **more
) -> Evidence:
    tries = [one for each in turns for one in each.tries] + list(others)
    runs = {name: [Run("e", "/kept/x", b"", -1, at=BACK_AT)] for name in ran}
    asked = {one.id: one for one in tries}
    return Evidence(BUDGET, MOST, 64, asked, runs, list(turns), **more)


def tries(count: int, first_at: float = 110.0, **more) -> list[Asked]:
    return [a_try(f"r{n}", first_at + n, **more) for n in range(count)]


def first_turn(*, reaches: bool) -> tuple[PlayTurn, tuple[str, ...]]:
    asked = a_try("first", 111.0, status=200)
    asked.program = "other"
    return turn(asked, previous="", name="first"), ("first",) if reaches else ()


# Configuration


@pytest.mark.parametrize(
    ("statuses", "found"),
    [([503, 200], []), ([200, 404], ["d0"]), ([503, 0], ["d0"]), ([404], ["d0"])],
)
def test_the_newest_route_is_served_after_the_final_fault(statuses, found):
    """Guards against acknowledged configuration that is lost."""
    probes = [RouteProbe("d0", 113.0, status) for status in statuses]
    judged = configuration_gone(evidence(probes=probes, back_at=BACK_AT))
    assert [violation.request for violation in judged.violations] == found


def test_probes_before_the_end_of_the_recovery_do_not_count():
    """Guards against findings while daemons are still coming back."""
    probes = [RouteProbe("d0", 111.9, 404)]
    assert configuration_gone(evidence(probes=probes, back_at=BACK_AT)).examined == 0


# Denied turns


@pytest.mark.parametrize(
    ("status", "count"), [(404, 1), (410, 1), (402, 0), (503, 0), (200, 0)]
)
def test_a_kept_turn_is_known(status, count):
    """Guards against kept turns that are answered as unknown, at any daemon."""
    kill = Disruption("", 109.0)
    seen = evidence(turn(a_try("r", 110.0, status=status)), disruptions=[kill])
    assert len(denied_turns(seen).violations) == count


def test_a_turn_may_be_unknown_after_its_retention():
    """Guards against findings for turns that need not be kept any more."""
    seen = evidence(turn(a_try("r", 150.0, status=404)))
    assert denied_turns(seen).examined == 0


# Turns that reach no engine in calm


def test_a_turn_that_reaches_no_engine_in_five_tries_is_found():
    """Guards against programs that are refused in calm for good."""
    assert len(unreached_turns(evidence(turn(*tries(5)))).violations) == 1


@pytest.mark.parametrize("status", [0, 402, 503])
def test_any_answer_counts_as_not_reaching_an_engine(status):
    """Guards against refusals that are hidden behind another status."""
    seen = evidence(turn(*tries(5, status=status)))
    assert len(unreached_turns(seen).violations) == 1


@pytest.mark.parametrize(
    ("turns", "more"),
    [
        ([turn(*tries(4))], {}),
        ([turn(*tries(6))], {"ran": ("r5",)}),
        ([turn(*tries(5), aim=112.0)], {}),
        ([turn(*tries(5), previous_ended_at=52.0)], {}),
        ([turn(*tries(5))], {"disruptions": [Disruption("d7", 109.0, 110.0)]}),
        (
            [turn(*tries(5))],
            {"disruptions": [Disruption("d0", 109.0, 110.0, is_planned=True)]},
        ),
        ([turn(*tries(5)), first_turn(reaches=False)[0]], {}),
        ([turn(*tries(5, previous="t"), previous="")], {}),
    ],
)
def test_what_the_rules_excuse_is_no_unreached_turn(turns, more):
    """Guards against findings for few or late tries, disruptions, and short service."""
    assert unreached_turns(evidence(*turns, **more)).violations == []


def test_a_turn_that_is_refused_after_it_has_run_once_is_found():
    """Guards against an excuse for turns whose first stream was broken off."""
    seen = evidence(turn(*tries(6)), ran=("r0",))
    assert len(unreached_turns(seen).violations) == 1


def test_a_planned_stop_elsewhere_excuses_no_unreached_turn():
    """Guards against excuses by planned work at other daemons."""
    stop = Disruption("d7", 109.0, 110.0, is_planned=True)
    seen = evidence(turn(*tries(5)), disruptions=[stop])
    assert len(unreached_turns(seen).violations) == 1


def test_engines_that_are_half_full_excuse_an_unreached_turn():
    """Guards against findings while engines have no room."""
    others = [a_try(f"o{n}", 100.0, ended_at=120.0) for n in range(32)]
    for other in others:
        other.program = f"p{other.id}"
    ran = tuple(other.id for other in others)
    full = evidence(turn(*tries(5)), others=others, ran=ran)
    assert unreached_turns(full).violations == []
    less = evidence(turn(*tries(5)), others=others[1:], ran=ran[1:])
    assert len(unreached_turns(less).violations) == 1


# Turns after the final fault


def after_fault(*turns: PlayTurn, **more) -> Evidence:
    return evidence(
        *turns,
        final_fault_at=98.9,
        back_at=BACK_AT,
        disruptions=[Disruption("", 98.9, BACK_AT)],
        **more,
    )


@pytest.mark.parametrize("status", [0, 402, 503])
def test_a_turn_reaches_an_engine_after_the_final_fault(status):
    """Guards against programs that are refused for good after all daemons were lost."""
    seen = after_fault(turn(*tries(11, 101.0, status=status)))
    assert len(unreached_after_final_fault(seen).violations) == 1


@pytest.mark.parametrize(
    ("turns", "ran"),
    [
        ([turn(*tries(11, 101.0))], ("r9",)),
        ([turn(*tries(5, 101.0))], ()),
        ([turn(*tries(3, 109.0))], ()),
        ([turn(*tries(11, 101.0), previous_ended_at=51.0)], ()),
    ],
)
def test_turns_that_are_served_or_not_owed_pass_after_the_final_fault(turns, ran):
    """Guards against findings for turns that were served, not asked for, or too old."""
    assert unreached_after_final_fault(after_fault(*turns, ran=ran)).violations == []


def test_a_turn_that_runs_only_before_the_last_seconds_is_found():
    """Guards against an early run that hides refusals until the end of the recovery."""
    seen = after_fault(turn(*tries(11, 101.0)), ran=("r0",))
    assert len(unreached_after_final_fault(seen).violations) == 1


# What is owed


@pytest.mark.parametrize(
    ("events", "ended_at", "fits"),
    [(69, 105.0, True), (70, 105.0, False), (0, 0.0, True), (0, 120.0, True)],
)
def test_only_what_certainly_fits_is_owed(events, ended_at, fits):
    """Guards against findings for programs whose budgets may be spent."""
    asked = a_try("r", 110.0)
    other = a_try("o", 104.0, ended_at=ended_at, events=[b"e"] * events)
    assert certainly_fits(evidence(turn(asked), others=[other]), asked) is fits


def test_calls_in_flight_count_at_their_most():
    """Guards against findings while other calls hold what is left of a budget."""
    asked = a_try("r", 110.0)
    others = [a_try(f"o{n}", 109.0, ended_at=120.0) for n in range(4)]
    assert not certainly_fits(evidence(turn(asked), others=others), asked)
    assert certainly_fits(evidence(turn(asked), others=others[:3]), asked)


@pytest.mark.parametrize(("events", "rules"), [(115, []), (116, ["BUDGET"])])
def test_callers_get_no_more_than_the_budget_and_one_turn(events, rules):
    """Guards against budgets that are exceeded by more than one turn."""
    oracle = Oracle(allowed_tokens=BUDGET + MOST)
    data = [b"r:%d:v1" % number for number in range(events)]
    oracle.asked["r"] = a_try("r", 110.0, status=200, events=data)
    oracle.lengths["r"] = events
    assert [violation.rule for violation in oracle.violations()] == rules
