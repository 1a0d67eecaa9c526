"""Messages between daemons about the freshness of the active table."""

from notcharch.scheduling.zone_drains import DrainedZones
from notcharch.wire.messages.base import Message


class AskTable(Message, frozen=True):
    """Requests the newest table that a peer knows. Reply: `TableSeen`."""

    version: int
    """The requester's version; negative if it has none."""


class TableSeen(Message, frozen=True):
    """The table of the responding daemon, and the age of its confirmation."""

    version: int
    """Negative if the daemon has no confirmed table."""
    age_seconds: float = 0.0
    """Age of the confirmation when this response was sent."""
    table: bytes = b""
    """The table as it was published, if it is newer than the requester's."""
    drained: DrainedZones = DrainedZones()
    """The known drained zones, with the log position at which they were read."""
