"""The text by which a daemon is a member of the owners' group."""

import msgspec

from notcharch.values.identifiers import DaemonName

SEPARATOR = "|"
PARTS = 3


class OwnerName(msgspec.Struct, frozen=True):
    """A process that may own partitions, and where it listens for peers."""

    daemon: DaemonName
    address: str
    """`host:port`."""
    incarnation: int

    def text(self) -> str:
        """Give the member's text."""
        return SEPARATOR.join((self.daemon, self.address, str(self.incarnation)))


def read_owner(text: str) -> OwnerName | None:
    """Read a member's text; None if it is not one of ours."""
    parts = text.split(SEPARATOR)
    if len(parts) != PARTS or not parts[2].isdigit():
        return None
    return OwnerName(DaemonName(parts[0]), parts[1], int(parts[2]))
