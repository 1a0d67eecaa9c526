"""Which daemons hold the state of something that has a name. Pure.

The holders follow on a ring of hashes after the name's own, so daemons with the same
view of the members agree without a message, and a changed view moves little.
"""

from bisect import bisect_right
from collections.abc import Sequence

import xxhash


def _point(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


class HolderRing:
    """The ring of hashes of one view of the members."""

    def __init__(self, members: Sequence[str]) -> None:
        """Order the members by their hashes."""
        self.members = members
        points = sorted((_point(member), member) for member in members)
        self._hashes = [point for point, _ in points]
        self._names = [member for _, member in points]

    def after(self, name: str, count: int, own: str = "") -> list[str]:
        """Return the first `count` members after a name's hash, without `own`."""
        names = self._names
        start = bisect_right(self._hashes, _point(name))
        found: list[str] = []
        for offset in range(len(names)):
            member = names[(start + offset) % len(names)]
            if member != own:
                found.append(member)
            if len(found) == count:
                break
        return found
