"""Bytes that are held for slow callers, and of answers: when to stop reading, what to cut.

A daemon has 128 MB on the smallest machine, and a caller that does not read costs the
daemon whatever is written to it. Reading from the engine stops for a caller that is
behind, so one connection holds little. The total is bounded (`peer_buffers`), and so is
what is held of engines' answers, where the one that holds most gives way.
"""

from collections.abc import Mapping
from typing import Protocol, TypeVar

CONNECTION_BYTES = 64 * 1024
"""Bytes at which a connection is behind.

It is many seconds of a stream of events, so a caller that reads at all stays below it.
"""
RESUME_BYTES = CONNECTION_BYTES // 2
"""Bytes down to which a connection that was behind has to drain."""
MIN_CONNECTION_BYTES = 16 * 1024
"""The same while the memory is short: more than an event of a stream, or one small answer."""
FREE_SHARE = 1 / 32
"""Share of what is free of the total that one connection may hold, up to the above.

Engines wait for their slow callers before connections have to be cut.
"""
MEMORY_SHARE = 1 / 16
"""Share of the memory limit that connections may hold together, and that answers may."""
DEFAULT_TOTAL_BYTES = 8 * 1024 * 1024
"""The total where the memory limit is unknown: that of a limit of 128 MB."""
CUT_DOWN_SHARE = 7 / 8
"""Share of the total that remains after a cut, so that not each write causes one."""


class BufferHolder(Protocol):
    """A connection or an answer whose bytes are counted."""

    def cut(self, buffered: int) -> None:
        """Hold nothing any more, or soon; must not call back."""


Holder = TypeVar("Holder")


def total_limit(memory_bytes: int) -> int:
    """Return how many bytes all may hold together; 0 means an unknown limit."""
    return int(memory_bytes * MEMORY_SHARE) or DEFAULT_TOTAL_BYTES


def connection_bytes(total: int, limit: int) -> int:
    """Return the bytes at which a connection is behind while all hold `total`."""
    free_share = int((limit - total) * FREE_SHARE)
    return min(max(free_share, MIN_CONNECTION_BYTES), CONNECTION_BYTES)


def is_behind(
    was_behind: bool, buffered: int, most_bytes: int = CONNECTION_BYTES
) -> bool:
    """Return whether reading for a connection must stop or remain stopped."""
    if was_behind:
        return buffered > most_bytes * RESUME_BYTES // CONNECTION_BYTES
    return buffered > most_bytes


def holders_to_cut(buffered: Mapping[Holder, int], limit: int) -> list[Holder]:
    """Return the holders of most bytes whose end brings the total within the limit."""
    total = sum(buffered.values())
    if total <= limit:
        return []
    chosen: list[Holder] = []
    for holder, size in sorted(buffered.items(), key=lambda item: -item[1]):
        if total <= limit * CUT_DOWN_SHARE:
            break
        chosen.append(holder)
        total -= size
    return chosen


class BufferedBytes:
    """Counts the bytes that answers hold, and cuts the largest above the limit."""

    def __init__(self, limit: int = DEFAULT_TOTAL_BYTES) -> None:
        """Allow `limit` bytes in total."""
        self._limit = limit
        self._buffered: dict[BufferHolder, int] = {}
        self.total = 0

    def changed(self, holder: BufferHolder, buffered: int) -> None:
        """Set what an answer holds now; 0 when it is over."""
        self.total += buffered - self._buffered.get(holder, 0)
        if buffered:
            self._buffered[holder] = buffered
        else:
            self._buffered.pop(holder, None)
        if self.total > self._limit:
            self._cut()

    def _cut(self) -> None:
        for holder in holders_to_cut(self._buffered, self._limit):
            size = self._buffered.pop(holder)
            self.total -= size
            holder.cut(size)
