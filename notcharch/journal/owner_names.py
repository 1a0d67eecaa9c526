"""Member ids of daemons in the group of owners.

A process that is restarted at the same address has the same member id as its predecessor,
so it takes over the partitions without waiting for a lease to expire. One that listens on
another port, since its predecessor still drains, is a member beside it.
"""

import msgspec

from notcharch.values.identifiers import DaemonName

SEPARATOR = "|"


class OwnerName(msgspec.Struct, frozen=True):
    """A daemon that may own partitions, and its address for peers."""

    daemon: DaemonName
    address: str
    """Address for peer connections, as `host:port`."""

    def member_id(self) -> str:
        """Return the member id."""
        return f"{self.daemon}{SEPARATOR}{self.address}"


def parse_owner_name(text: str) -> OwnerName | None:
    """Parse a member id; None if it has another format."""
    daemon, separator, address = text.partition(SEPARATOR)
    return OwnerName(DaemonName(daemon), address) if separator else None
