"""The text by which a daemon is a member of the owners' group.

A restarted process has the text of the one before it, so it goes on with that one's
partitions without waiting for a lease to run out.
"""

import msgspec

from notcharch.values.identifiers import DaemonName

SEPARATOR = "|"


class OwnerName(msgspec.Struct, frozen=True):
    """A daemon that may own partitions, and where it listens for peers."""

    daemon: DaemonName
    address: str
    """`host:port`."""

    def member_id(self) -> str:
        """Give the member's text."""
        return f"{self.daemon}{SEPARATOR}{self.address}"


def parse_owner_name(text: str) -> OwnerName | None:
    """Read a member's text; None if it is not one of ours."""
    daemon, separator, address = text.partition(SEPARATOR)
    return OwnerName(DaemonName(daemon), address) if separator else None
