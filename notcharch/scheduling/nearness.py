"""The distance between zones: same zone, same region or another region. Pure."""

import enum
from collections.abc import Mapping


class Distance(enum.IntEnum):
    """The distance between two zones; a shorter one has the smaller value."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Nearness:
    """Distances from one zone."""

    def __init__(self, zone: str, region_of: Mapping[str, str] | None = None) -> None:
        """`region_of` maps zones to regions; without it all zones are in one region."""
        self._zone = zone
        self._region_of = region_of or {}
        self._region = self._region_of.get(zone)

    def distance(self, zone: str) -> Distance:
        """Return the distance to a zone."""
        if zone == self._zone:
            return Distance.SAME_ZONE
        if self._region_of.get(zone) == self._region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
