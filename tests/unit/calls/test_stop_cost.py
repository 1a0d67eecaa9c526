"""A check of a planned stop takes one pass over the calls, however many routes they have.

With 250 routes and 4,000 calls a check took 0.9 s of the reactor, ten times a second.
"""

import pytest
from twisted.internet.task import Clock

from notcharch.calls.interface import Route
from notcharch.calls.planned_stop import REFRESH_SECONDS, CallTimer, PlannedStop
from notcharch.scheduling.call_durations import EndedCall

CALLS = 40


def route(name: str) -> Route:
    return Route(name, "h", "/", (), is_repeatable=True)


class RunningCall:
    """A call at an engine, which asks for a decision at each check."""

    looks = 0

    def __init__(self, clock, stop, name: str) -> None:
        self.stop = stop
        self.name = name
        self._timer = CallTimer(clock, name, stop)
        self._timer.sent()

    @property
    def timer(self):
        RunningCall.looks += 1
        return self._timer

    def refuse_if_late(self) -> None:
        self.decision = self.stop.decide(route(self.name), 1000.0)

    def end_for_stop(self) -> None:
        raise AssertionError("not at the end")


def running(routes: int):
    """Return a clock, a stop that has begun, and its calls."""
    clock = Clock()
    stop = PlannedStop(clock)
    for number in range(routes):
        for _ in range(3):
            stop.record(f"route-{number}", EndedCall(0.0, 0.1 * (number + 1)))
    calls = [
        RunningCall(clock, stop, f"route-{number % routes}") for number in range(CALLS)
    ]
    for call in calls:
        stop.started(call)
    stop.begin(7.0)
    return clock, stop, calls


@pytest.mark.parametrize("routes", [1, 20, CALLS])
def test_a_check_looks_at_each_call_once(routes):
    clock, stop, _ = running(routes)
    for _ in range(3):
        clock.advance(2 * REFRESH_SECONDS)
        RunningCall.looks = 0
        stop.refuse_late()
        assert RunningCall.looks == CALLS


def test_each_route_has_the_durations_of_its_own_calls():
    clock, stop, _ = running(4)
    clock.advance(0.35)
    stop.refuse_late()
    seconds = [
        stop._known(f"route-{n}", clock.seconds()).rare_seconds for n in range(4)
    ]
    # Calls that run for 0.35 s show that three of the four routes take longer now.
    assert seconds == pytest.approx([0.35, 0.35, 0.35, 0.4])


def test_calls_that_were_not_sent_or_whose_callers_are_slow_show_nothing():
    clock, stop, calls = running(1)
    calls[0]._timer.is_slowed = True
    for call in calls[1:]:
        call._timer.sent_at = None
    clock.advance(5.0)
    assert stop._known("route-0", clock.seconds()).rare_seconds == pytest.approx(0.1)


def test_durations_are_computed_anew_after_a_moment():
    clock, stop, _ = running(1)
    for _ in range(3):
        clock.advance(2 * REFRESH_SECONDS)
        known = stop._known("route-0", clock.seconds())
        assert known.rare_seconds == pytest.approx(max(0.1, clock.seconds()))
