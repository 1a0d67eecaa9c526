"""The digests of the other members, as they were last heard."""

from notcharch.membership.datagrams import Digest
from notcharch.membership.effects import DigestHeard
from notcharch.values.identifiers import DaemonName, Member

DigestKey = tuple[DaemonName, str]


class HeardDigests:
    """The latest value of each daemon and key, and whose process it was."""

    def __init__(self) -> None:
        """Begin with none."""
        self._heard: dict[DigestKey, tuple[Member, int]] = {}

    def hear(self, sender: Member, digests: tuple[Digest, ...]) -> list[DigestHeard]:
        """Take in a member's digests; gives those that are new or changed."""
        news = []
        for digest in digests:
            key = (sender.daemon, digest.key)
            heard = (sender, digest.value)
            if self._heard.get(key) != heard:
                self._heard[key] = heard
                news.append(DigestHeard(sender, digest.key, digest.value))
        return news
