"""The zones of a soak: which are drained, when their engines are cold, who may go where."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

ZONES = ("zone-a", "zone-b")
REGION_OF = {"zone-a": "north", "zone-b": "south"}
HOME_REGION = "north"
"""Where calls of the route with residence may be served."""
EVACUATION_SECONDS = 4.0
"""A drained zone's engines get nothing after this time from connected daemons."""
COLD_SECONDS = 2.0
COLD_PER_SECOND = 4.0
COLD_FACTOR = 1.5
COLD_SLACK = 4.0
MOST_AT_A_COLD_ENGINE = COLD_PER_SECOND * COLD_FACTOR + COLD_SLACK
"""Calls within any second."""


class Drain(msgspec.Struct):
    """A zone that is drained, or was."""

    zone: str
    acknowledged_at: float
    given_back_at: float | None = None

    def covers(self, zone: str, at: float) -> bool:
        """Tell whether a call must not have come to a zone any more."""
        is_over = self.given_back_at is not None and at >= self.given_back_at
        is_late = at > self.acknowledged_at + EVACUATION_SECONDS
        return zone == self.zone and is_late and not is_over


class Drains:
    """Every drain of a soak."""

    def __init__(self) -> None:
        """Begin without any."""
        self.all: list[Drain] = []

    def in_force(self) -> list[Drain]:
        """Give those that were not taken back yet."""
        return [drain for drain in self.all if drain.given_back_at is None]

    def forbid(self, zone: str, at: float) -> bool:
        """Tell whether a call must not have come to a zone any more."""
        return any(drain.covers(zone, at) for drain in self.all)


class Arrival(msgspec.Struct, frozen=True):
    """A call at a cold engine."""

    engine: str
    at: float


def crowds(arrivals: Iterable[Arrival]) -> list[tuple[str, int]]:
    """Give the cold engines that got more than they bear in one second, and how much."""
    times: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        times[arrival.engine].append(arrival.at)
    most = {engine: most_in_a_second(sorted(at)) for engine, at in times.items()}
    return [
        (engine, count)
        for engine, count in most.items()
        if count > MOST_AT_A_COLD_ENGINE
    ]


def most_in_a_second(times: list[float]) -> int:
    """Give the most of some sorted times that lie within one second."""
    first = most = 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
