"""Cut requests around planned work are found, and those that are excused pass."""

import pytest

from deploy.soak.losses.cuts import (
    closed_kept_connections,
    cut_around_configuration,
    cut_around_reload,
    cut_around_stop,
    cut_in_store_trouble,
)
from deploy.soak.losses.records import (
    Disruption,
    Evidence,
    PlannedStop,
    Published,
    Reload,
)
from deploy.soak.observations import Asked, Run
from deploy.soak.settings import CALL_SECONDS


def evidence(*asked: Asked, ran: tuple[str, ...] = ("r",), **more) -> Evidence:
    runs = {name: [Run("e", "/kept/x", b"", -1)] for name in ran}
    return Evidence(920, 230, 64, {one.id: one for one in asked}, runs, **more)


def cut(name: str = "r", *, is_stream: bool = True, **more) -> Asked:
    """Make a request to d0 that is cut half a second after it was sent at 100."""
    fields = {"at": 100.0, "sent_at": 100.0, "ended_at": 100.5} | more
    asked = Asked(name, "/kept/x", b"", False, is_stream, daemon="d0", **fields)
    asked.is_connected = True
    return asked


def answered(name: str = "r", **more) -> Asked:
    return cut(name, is_whole=True, status=200, **more)


KILL = Disruption("d1", 99.0, 99.8)
STORE = Disruption("", 99.0, 101.0, is_store=True)
AROUND = {
    cut_around_stop: {"stops": [PlannedStop("d0", 100.2)]},
    cut_around_reload: {"reloads": [Reload("d0", 100.2)]},
    cut_around_configuration: {"published": [Published(2, 100.2)]},
}


@pytest.mark.parametrize(("way", "work"), AROUND.items())
def test_a_request_that_is_cut_around_planned_work_is_found(way, work):
    """Guards against planned work that loses requests unnoticed."""
    judged = way(evidence(cut(), **work))
    assert [found.request for found in judged.violations] == ["r"]
    assert judged.examined == 1


@pytest.mark.parametrize(("way", "work"), AROUND.items())
def test_a_whole_answer_around_planned_work_passes(way, work):
    """Guards against false findings for requests that were served."""
    judged = way(evidence(answered(), **work))
    assert (judged.violations, judged.examined) == ([], 1)


@pytest.mark.parametrize(("way", "work"), AROUND.items())
@pytest.mark.parametrize(
    "asked",
    [
        cut(ended_at=100.0 + CALL_SECONDS),
        cut(lost_by_caller=True),
    ],
)
def test_the_deadline_and_the_caller_excuse_a_cut(way, work, asked):
    """Guards against false findings where the rules excuse a cut."""
    assert way(evidence(asked, **work)).violations == []


@pytest.mark.parametrize(("way", "work"), AROUND.items())
def test_an_unplanned_disruption_excuses_a_cut(way, work):
    """Guards against findings next to kills, and against excuses that last too long."""
    assert way(evidence(cut(), disruptions=[KILL], **work)).examined == 0
    old = Disruption("d1", 90.0, 96.9)
    assert len(way(evidence(cut(), disruptions=[old], **work)).violations) == 1


@pytest.mark.parametrize(("way", "work"), AROUND.items())
@pytest.mark.parametrize(("is_stream", "count"), [(True, 0), (False, 1)])
def test_trouble_of_the_store_excuses_only_streams(way, work, is_stream, count):
    """Guards against an oracle that excuses plain requests for trouble of the store."""
    seen = evidence(cut(is_stream=is_stream), disruptions=[STORE], **work)
    assert len(way(seen).violations) == count
    assert len(cut_in_store_trouble(seen).violations) == count


def test_without_trouble_of_the_store_nothing_is_laid_to_it():
    """Guards against cuts that are reported under two ways."""
    seen = evidence(cut(is_stream=False), stops=[PlannedStop("d0", 100.2)])
    assert cut_in_store_trouble(seen).examined == 0
    assert cut_in_store_trouble(seen).violations == []


@pytest.mark.parametrize(
    ("seconds", "ran", "count"), [(0.1, False, 0), (0.1, True, 1), (0.3, False, 1)]
)
def test_a_request_that_crosses_a_close_passes(seconds, ran, count):
    """Guards against findings for requests that nobody read."""
    asked = cut(ended_at=100.0 + seconds)
    stops = [PlannedStop("d0", 99.9)]
    seen = evidence(asked, ran=("r",) if ran else (), stops=stops)
    assert len(cut_around_stop(seen).violations) == count


@pytest.mark.parametrize(
    ("way", "work"),
    [
        (cut_around_stop, {"stops": [PlannedStop("d1", 100.2)]}),
        (cut_around_stop, {"stops": [PlannedStop("d0", 91.0)]}),
        (cut_around_reload, {"reloads": [Reload("d1", 100.2)]}),
        (cut_around_reload, {"reloads": [Reload("d0", 97.9)]}),
        (cut_around_configuration, {"published": [Published(2, 97.0)]}),
    ],
)
def test_planned_work_elsewhere_or_long_ago_makes_no_finding(way, work):
    """Guards against cuts that are laid to work that has nothing to do with them."""
    assert way(evidence(cut(), **work)).examined == 0


def test_work_in_the_last_sixth_of_the_grace_period_is_excused():
    """Guards against findings for engines that were at work when the grace ended."""
    stops = [PlannedStop("d0", 98.0)]
    asked = cut(sent_at=103.0, at=103.0, ended_at=105.0)
    assert len(cut_around_stop(evidence(asked, stops=stops)).violations) == 1
    asked = cut(sent_at=101.0, at=101.0, ended_at=103.9)
    stops = [PlannedStop("d0", 97.0)]
    assert len(cut_around_stop(evidence(asked, stops=stops)).violations) == 1
    stops = [PlannedStop("d0", 98.0)]
    asked = cut(sent_at=101.0, at=101.0, ended_at=104.7)
    assert cut_around_stop(evidence(asked, stops=stops)).violations == []


def test_cuts_beside_a_configuration_count_when_they_are_more_frequent():
    """Guards against findings where a daemon cuts as often at other times."""
    beside = [cut("a"), *(answered(f"b{n}") for n in range(9))]
    other = [cut("c", sent_at=50.0, at=50.0, ended_at=50.5)]
    other += [
        answered(f"d{n}", sent_at=50.0, at=50.0, ended_at=50.5) for n in range(39)
    ]
    work = {"published": [Published(2, 100.2)]}
    seen = evidence(*beside, *other, ran=("a", "c"), **work)
    assert [one.request for one in cut_around_configuration(seen).violations] == ["a"]
    seen = evidence(*beside, *other[:20], ran=("a", "c"), **work)
    assert cut_around_configuration(seen).violations == []


def test_a_request_that_has_used_its_time_passes_beside_a_configuration():
    """Guards against findings for requests that were nearly out of time."""
    asked = cut(ended_at=100.0 + 0.75 * CALL_SECONDS)
    seen = evidence(asked, published=[Published(2, 100.2)])
    assert cut_around_configuration(seen).violations == []


@pytest.mark.parametrize(
    ("count", "more", "found"),
    [
        (4, {}, ["d0"]),
        (3, {}, []),
        (4, {"status": 200}, []),
        (4, {"is_on_kept_connection": False}, []),
    ],
)
def test_kept_connections_are_closed_under_three_requests_at_most(count, more, found):
    """Guards against daemons that close kept connections under running requests."""
    asked = [
        cut(f"r{n}", **({"is_on_kept_connection": True} | more)) for n in range(count)
    ]
    seen = evidence(*asked, ran=tuple(one.id for one in asked))
    judged = closed_kept_connections(seen)
    assert [violation.request for violation in judged.violations] == found


def test_kept_connections_of_daemons_out_of_touch_pass():
    """Guards against findings for daemons that were killed or told to stop."""
    asked = [cut(f"r{n}", is_on_kept_connection=True) for n in range(4)]
    ran = tuple(one.id for one in asked)
    stop = Disruption("d0", 98.0, 99.0, is_planned=True)
    assert closed_kept_connections(evidence(*asked, ran=ran, disruptions=[stop])) == (
        closed_kept_connections(evidence())
    )
