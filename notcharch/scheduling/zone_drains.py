"""The drained zones, whose engines receive no new calls. Pure.

A set of drained zones is read from a log, or received from a peer that read it. Its
version is the log position up to which it was read, so the set with the higher position
is the newer one, regardless of its source.
"""

from collections.abc import Iterable

import msgspec

UNKNOWN_POSITION = -1


class DrainedZones(msgspec.Struct, frozen=True):
    """The zones that were drained at a position of the log."""

    zones: frozenset[str] = frozenset()
    position: int = UNKNOWN_POSITION
    """Negative before anything was read."""


class DrainChange(msgspec.Struct, frozen=True):
    """The difference that a newer set makes."""

    drained: frozenset[str]
    cancelled: frozenset[str]

    @property
    def has_changes(self) -> bool:
        """Whether the newer set differs."""
        return bool(self.drained or self.cancelled)


class ZoneDrains:
    """The newest known set of drained zones."""

    def __init__(self) -> None:
        """Start without a set."""
        self.current = DrainedZones()
        self._since: dict[str, float] = {}
        """Clock time at which each drained zone was first seen."""

    @property
    def are_known(self) -> bool:
        """Whether any set was read."""
        return self.current.position > UNKNOWN_POSITION

    def update(self, newer: DrainedZones, now: float) -> DrainChange | None:
        """Apply a set; return None if it is older than the current one.

        An older set comes from a peer, or from a log that was compacted and returns old
        records.
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
        """Return whether the engines of a zone receive no new calls."""
        return zone in self.current.zones

    def longest_drain_seconds(self, zones: Iterable[str], now: float) -> float:
        """Return how long the longest drained of some zones has been; 0 if none is."""
        known = (now - self._since[zone] for zone in zones if zone in self._since)
        return max(known, default=0.0)
