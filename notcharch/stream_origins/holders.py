"""Which daemons hold the origin of a stream. Pure.

The holders follow on a ring of hashes after the stream's own, so daemons with the same
view of the members agree without a message, and a changed view moves few streams.
"""

from bisect import bisect_right
from collections.abc import Sequence

import xxhash

HOLDERS = 3
"""Daemons that hold the origin of a stream, beside the one that began it. The origin of a
stream is lost only if all of them are lost within the seconds in which it is resumed."""
ASKED = 2 * HOLDERS
"""Daemons asked for it: more than hold it, as views of the members differ after losses."""


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

    def after(self, stream: str, count: int, own: str) -> list[str]:
        """Return the first `count` members after a stream's hash, without `own`."""
        names = self._names
        start = bisect_right(self._hashes, _point(stream))
        found: list[str] = []
        for offset in range(len(names)):
            name = names[(start + offset) % len(names)]
            if name != own:
                found.append(name)
            if len(found) == count:
                break
        return found
