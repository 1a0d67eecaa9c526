"""The digests of the other members, as they were last received."""

from notcharch.membership.datagrams import Digest
from notcharch.membership.effects import DigestChanged
from notcharch.values.identifiers import DaemonName, Member

DigestKey = tuple[DaemonName, str]


class ReceivedDigests:
    """The latest value of each daemon and key, and whose process it was."""

    def __init__(self) -> None:
        """Begin with none."""
        self._latest: dict[DigestKey, tuple[Member, int]] = {}

    def merge(self, sender: Member, digests: tuple[Digest, ...]) -> list[DigestChanged]:
        """Store a member's digests; return those that are new or changed."""
        news = []
        for digest in digests:
            key = (sender.daemon, digest.key)
            latest = (sender, digest.value)
            if self._latest.get(key) != latest:
                self._latest[key] = latest
                news.append(DigestChanged(sender, digest.key, digest.value))
        return news
