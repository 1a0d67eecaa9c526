"""Which zones are drained: their engines get no new call. Pure.

A set of drained zones is read from a log, or told by a peer that read it. It is named by
the position in the log up to which it was read, so of two sets the one with the higher
position is the newer, wherever they came from.
"""

from collections.abc import Iterable

import msgspec

UNKNOWN_POSITION = -1


class DrainedZones(msgspec.Struct, frozen=True):
    """The zones that were drained when the log had been read up to a position."""

    zones: frozenset[str] = frozenset()
    position: int = UNKNOWN_POSITION
    """Negative: nothing was read yet."""


class DrainChange(msgspec.Struct, frozen=True):
    """What a newer set changes."""

    drained: frozenset[str]
    cancelled: frozenset[str]

    @property
    def has_changes(self) -> bool:
        """Whether the newer set differs at all."""
        return bool(self.drained or self.cancelled)


class ZoneDrains:
    """The newest set of drained zones that is known."""

    def __init__(self) -> None:
        """Begin without a set."""
        self.current = DrainedZones()
        self._since: dict[str, float] = {}
        """Since when each zone is known to be drained, clock seconds."""

    @property
    def are_known(self) -> bool:
        """Whether any set was read."""
        return self.current.position > UNKNOWN_POSITION

    def update(self, newer: DrainedZones, now: float) -> DrainChange | None:
        """Take a set; None if it is older than the one that is known.

        An old one comes from a log that was compacted and answers behind its newest
        records, or from a peer.
        """
        if newer.position < self.current.position:
            return None
        former = self.current.zones
        self.current = newer
        change = DrainChange(newer.zones - former, former - newer.zones)
        for zone in change.drained:
            self._since[zone] = now
        for zone in change.cancelled:
            self._since.pop(zone, None)
        return change

    def is_drained(self, zone: str) -> bool:
        """Tell whether the engines of a zone get no new call."""
        return zone in self.current.zones

    def longest_drain_seconds(self, zones: Iterable[str], now: float) -> float:
        """Give for how long the longest drained of some zones has been; 0 if none is."""
        known = (now - self._since[zone] for zone in zones if zone in self._since)
        return max(known, default=0.0)
