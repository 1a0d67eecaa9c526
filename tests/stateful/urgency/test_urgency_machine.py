"""The order by urgency in random lives, and deliberate breaks that must be noticed."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.calls import call_urgency
from notcharch.calls.routing import Router
from notcharch.scheduling import urgency
from notcharch.scheduling.urgency import PriorityRank, Standing
from tests.stateful.runs import RUN, assert_caught
from tests.stateful.urgency.urgency_machine import UrgencyMachine

standing = urgency.standing


FIRST_FAILURE = settings(RUN, report_multiple_bugs=False, phases=(Phase.generate,))
"""Breaks need only one failure, and not the shortest."""


def random_life(run=RUN):
    run_state_machine_as_test(UrgencyMachine, settings=run)


def test_random_lives():
    random_life()


def priorities_are_ignored(monkeypatch):
    monkeypatch.setattr(Router, "priority_rank", lambda *_: PriorityRank())


def priorities_are_reversed(monkeypatch):
    def rank(router, route, service):
        return PriorityRank(2 - {1: 0, 4: 1, 7: 2}[route.priority], 3)

    monkeypatch.setattr(Router, "priority_rank", rank)


def bands_overlap(monkeypatch):
    monkeypatch.setattr(urgency, "LEVELS_PER_PRIORITY", 2)


def late_calls_are_last_of_all(monkeypatch):
    def level(priority, position):
        if position is Standing.LAST:
            return urgency.LAST_LEVEL
        return urgency.urgency_level(priority, position)

    monkeypatch.setattr(call_urgency, "urgency_level", level)


def beginnings_are_first(monkeypatch):
    def broken(call, usual):
        if call.is_under_way:
            return standing(call, usual)
        return Standing.SHORT

    monkeypatch.setattr(call_urgency, "standing", broken)


def slack_is_first(monkeypatch):
    def broken(call, usual):
        found = standing(call, usual)
        swap = {
            Standing.SHORT: Standing.UNDER_WAY,
            Standing.UNDER_WAY: Standing.SHORT,
        }
        return swap.get(found, found)

    monkeypatch.setattr(call_urgency, "standing", broken)


def short_time_is_ignored(monkeypatch):
    def broken(call, usual):
        return max(standing(call, usual), Standing.UNDER_WAY)

    monkeypatch.setattr(call_urgency, "standing", broken)


BREAKS = (
    priorities_are_ignored,
    priorities_are_reversed,
    bands_overlap,
    late_calls_are_last_of_all,
    beginnings_are_first,
    slack_is_first,
    short_time_is_ignored,
)


@pytest.mark.parametrize("break_it", BREAKS)
def test_a_break_is_caught(break_it, monkeypatch):
    assert_caught(break_it, lambda: random_life(FIRST_FAILURE), monkeypatch)
