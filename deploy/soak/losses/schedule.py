"""When daemons are killed, stopped, reloaded and configured in a play. Pure."""

import enum
from random import Random

import msgspec

KILLED_AT_ONCE = 2
KILL_DOWN_SECONDS = 0.8
LEAST_STOPPED, MOST_STOPPED = 2, 8
LEAST_PLANNED_PAUSE_SECONDS = 1.5
MOST_PLANNED_PAUSE_SECONDS = 4.0
ALL_STOPPED_PAUSE_SECONDS = 9.0
"""Longer than a grace period, so that each process has ended and begun again."""
STORE_PAUSE_SECONDS = 6.0
LEAST_STORE_SECONDS, MOST_STORE_SECONDS = 0.5, 2.0
MOST_RELOADED = 4


class StepKind(enum.Enum):
    """What is done to daemons."""

    KILL = "kill"
    STOP = "stop"
    RELOAD = "reload"
    CONFIGURE = "configure"
    STORE = "store"
    """The store refuses calls."""


PLANNED_KINDS = (StepKind.STOP, StepKind.STOP, StepKind.RELOAD, StepKind.CONFIGURE)


class PlaySize(msgspec.Struct, frozen=True):
    """What a play has, and what it does."""

    daemons: int = 12
    programs: int = 24
    kills: int = 0
    budget_calls: float = 4.0
    """The budget of each program, in turns of the greatest length."""
    seconds: float = 30.0
    history_seconds: float = 60.0
    """How long the store keeps records."""
    is_planned: bool = False
    is_all_stopped: bool = False
    has_store_trouble: bool = False


class Step(msgspec.Struct, frozen=True):
    """One thing that is done, and to which daemons."""

    at: float
    """Seconds since the first program began."""
    kind: StepKind
    daemons: tuple[int, ...] = ()
    seconds: float = 0.0
    """How long killed daemons are down, or the store refuses."""


def draw_schedule(random: Random, size: PlaySize) -> list[Step]:
    """Draw all steps of a play before its final fault, in order of time."""
    steps = _kills(random, size)
    if size.is_planned:
        steps += _planned(random, size)
    if size.is_all_stopped:
        steps += _all_stopped(size)
    if size.has_store_trouble:
        steps += _store_troubles(random, size)
    return sorted(steps, key=lambda step: step.at)


def _kills(random: Random, size: PlaySize) -> list[Step]:
    """Spread the kills over the time, with some seconds before and between them."""
    gap = size.seconds / (size.kills + 1)
    steps = []
    for number in range(size.kills):
        at = gap * (number + 1 + random.uniform(-0.1, 0.1))
        struck = _draw(random, size, min(KILLED_AT_ONCE, size.daemons))
        steps.append(Step(at, StepKind.KILL, struck, KILL_DOWN_SECONDS))
    return steps


def _planned(random: Random, size: PlaySize) -> list[Step]:
    steps = []
    at = LEAST_PLANNED_PAUSE_SECONDS
    while at < size.seconds:
        kind = random.choice(PLANNED_KINDS)
        steps.append(Step(at, kind, _draw_planned(random, size, kind)))
        at += random.uniform(LEAST_PLANNED_PAUSE_SECONDS, MOST_PLANNED_PAUSE_SECONDS)
    return steps


def _draw_planned(random: Random, size: PlaySize, kind: StepKind) -> tuple[int, ...]:
    if kind is StepKind.CONFIGURE:
        return ()
    if kind is StepKind.RELOAD:
        return _draw(random, size, random.randint(1, min(MOST_RELOADED, size.daemons)))
    most = min(MOST_STOPPED, size.daemons - 1)
    return _draw(random, size, random.randint(min(LEAST_STOPPED, most), most))


def _draw(random: Random, size: PlaySize, count: int) -> tuple[int, ...]:
    return tuple(sorted(random.sample(range(size.daemons), count)))


def _all_stopped(size: PlaySize) -> list[Step]:
    count = int(size.seconds / ALL_STOPPED_PAUSE_SECONDS)
    everyone = tuple(range(size.daemons))
    return [
        Step((number + 0.5) * ALL_STOPPED_PAUSE_SECONDS, StepKind.STOP, everyone)
        for number in range(count)
    ]


def _store_troubles(random: Random, size: PlaySize) -> list[Step]:
    count = int(size.seconds / STORE_PAUSE_SECONDS)
    return [
        Step(
            (number + 0.5) * STORE_PAUSE_SECONDS,
            StepKind.STORE,
            seconds=random.uniform(LEAST_STORE_SECONDS, MOST_STORE_SECONDS),
        )
        for number in range(count)
    ]
