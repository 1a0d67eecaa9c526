"""The other daemons, as known from the owners of partitions."""

from collections.abc import Sequence

from notcharch.journal.owner_directory import OwnerDirectory


class KnownDaemons:
    """The daemons that own a partition, as one daemon knows them."""

    def __init__(self, own: str, directory: OwnerDirectory) -> None:
        """Read the daemons from a directory of owners."""
        self.local_daemon = own
        self._directory = directory

    def members(self) -> Sequence[str]:
        """Return the sorted names of all owners."""
        return self._directory.peers()

    def known_seconds(self) -> float:
        """Return for how long any owner has been known, in seconds."""
        return self._directory.known_seconds()
