"""Faults of the links between daemons of the memory transport."""

from collections.abc import Iterable
from random import Random

import msgspec

from notcharch.values.identifiers import DaemonName

Link = tuple[DaemonName, DaemonName]
"""A direction: from the first daemon to the second."""


class LinkFaults(msgspec.Struct, frozen=True):
    """What a link does to a message; probabilities from 0 to 1, delays in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    reorder: float = 0.0
    """How often a message may overtake earlier ones; datagrams always may."""

    delay_min: float = 0.0005
    delay_max: float = 0.0015


class FaultPlan:
    """The present faults and cuts of all links."""

    def __init__(self, random: Random) -> None:
        """Begin with links that only delay."""
        self._random = random
        self._default = LinkFaults()
        self._links: dict[Link, LinkFaults] = {}
        self._cut_since: dict[Link, float] = {}
        self._last_arrival: dict[Link, float] = {}

    def set_default(self, faults: LinkFaults) -> None:
        """Give all links these faults, but those with faults of their own."""
        self._default = faults

    def set_link(self, link: Link, faults: LinkFaults) -> None:
        """Give one direction of a link faults of its own."""
        self._links[link] = faults

    def cut(self, links: Iterable[Link], now: float) -> None:
        """Let nothing pass these directions from now on."""
        for link in links:
            self._cut_since.setdefault(link, now)

    def heal(self) -> None:
        """End every cut; other faults stay."""
        self._cut_since.clear()

    def clear(self) -> None:
        """End every cut and fault."""
        self.heal()
        self._links.clear()
        self._default = LinkFaults()

    def cut_seconds(self, link: Link, now: float) -> float | None:
        """Give how long one or both directions have been cut, or None."""
        starts = [
            self._cut_since[direction]
            for direction in (link, (link[1], link[0]))
            if direction in self._cut_since
        ]
        return now - min(starts) if starts else None

    def arrivals(self, link: Link, now: float, *, ordered: bool) -> list[float]:
        """Draw the times at which copies of a message arrive; none if it is lost."""
        if link in self._cut_since:
            return []
        faults = self._links.get(link, self._default)
        if faults.loss and self._random.random() < faults.loss:
            return []
        copies = 1
        if faults.duplication and self._random.random() < faults.duplication:
            copies = 2
        return [self._arrival(link, faults, now, ordered) for _ in range(copies)]

    def _arrival(
        self, link: Link, faults: LinkFaults, now: float, ordered: bool
    ) -> float:
        delay = self._random.uniform(faults.delay_min, faults.delay_max)
        arrival = now + delay
        if not ordered or self._random.random() < faults.reorder:
            return arrival
        arrival = max(arrival, self._last_arrival.get(link, 0.0))
        self._last_arrival[link] = arrival
        return arrival
