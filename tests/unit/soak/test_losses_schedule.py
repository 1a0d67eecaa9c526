"""The steps of a play are drawn as its options ask."""

from itertools import pairwise
from random import Random

import pytest

from deploy.soak.losses.command import read_arguments, size_of
from deploy.soak.losses.schedule import (
    KILL_DOWN_SECONDS,
    PlaySize,
    StepKind,
    draw_schedule,
)

SEEDS = range(5)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_daemons_are_killed_each_time(seed):
    """Guards against plays that kill fewer daemons than they report."""
    steps = draw_schedule(Random(seed), PlaySize(kills=6))
    assert [step.kind for step in steps] == [StepKind.KILL] * 6
    assert all(len(set(step.daemons)) == 2 for step in steps)
    assert all(step.seconds == KILL_DOWN_SECONDS for step in steps)
    pauses = [later.at - step.at for step, later in pairwise(steps)]
    assert min(pauses) > 2.0


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_work_stops_two_to_eight_daemons_at_once(seed):
    """Guards against planned work that strikes one daemon after another."""
    steps = draw_schedule(Random(seed), PlaySize(seconds=120.0, is_planned=True))
    assert {step.kind for step in steps} == {
        StepKind.STOP,
        StepKind.RELOAD,
        StepKind.CONFIGURE,
    }
    stops = [len(step.daemons) for step in steps if step.kind is StepKind.STOP]
    assert min(stops) >= 2
    assert max(stops) <= 8
    assert max(stops) > 4


def test_all_daemons_are_stopped_at_once_again_and_again():
    """Guards against a play in which one daemon is always left."""
    steps = draw_schedule(Random(1), PlaySize(is_all_stopped=True))
    assert len(steps) > 1
    assert all(step.daemons == tuple(range(12)) for step in steps)


def test_the_store_is_in_trouble_only_when_it_is_asked_for():
    """Guards against trouble of the store that excuses other findings."""
    steps = draw_schedule(Random(1), PlaySize(has_store_trouble=True))
    assert {step.kind for step in steps} == {StepKind.STORE}
    assert draw_schedule(Random(1), PlaySize()) == []


def test_the_command_line_gives_the_size_of_a_play():
    """Guards against options that have no effect."""
    line = "--daemons 6 --programs 5 --kills 2 --budget-calls 10 --planned "
    line += "--all-stopped --store-trouble --history 12 --seconds 7"
    assert size_of(read_arguments(line.split())) == PlaySize(
        daemons=6,
        programs=5,
        kills=2,
        budget_calls=10.0,
        seconds=7.0,
        history_seconds=12.0,
        is_planned=True,
        is_all_stopped=True,
        has_store_trouble=True,
    )
