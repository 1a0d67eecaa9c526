"""Who else is there, as far as the owners of partitions show it."""

from collections.abc import Sequence

from notcharch.journal.owner_directory import OwnerDirectory


class KnownDaemons:
    """The daemons that own a partition, seen from one of them."""

    def __init__(self, own: str, directory: OwnerDirectory) -> None:
        """Look at a directory of owners."""
        self.local_daemon = own
        self._directory = directory

    def members(self) -> Sequence[str]:
        """Give the names of all owners, in order."""
        return self._directory.peers()

    def known_seconds(self) -> float:
        """Give for how long any of them has been known."""
        return self._directory.known_seconds()
