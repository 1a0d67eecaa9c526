"""Bytes that wait for callers and engines, and whose connection is cut above the limit.

Cut is who has not read for longest. One whose socket still takes bytes is never cut for
what it was given: its bytes wait for the reactor's next turn, not for the peer.
"""

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import msgspec

from notcharch.http.buffered_bytes import (
    CUT_DOWN_SHARE,
    DEFAULT_TOTAL_BYTES,
    BufferHolder,
    connection_bytes,
)

Peer = TypeVar("Peer")
CHECK_SHARE = 1 / 64
"""Share of the limit by which the total grows above it before sockets are asked again."""
CHECK_CHANGES = 64
"""Changes above the limit after which sockets are asked again.

Each check asks the socket of every connection that holds bytes, so it is not done for each
change while all of them still take some.
"""


class PeerConnection(BufferHolder, Protocol):
    """A connection whose bytes are counted."""

    @property
    def takes_bytes(self) -> bool:
        """Whether its socket would take more bytes now."""


class HeldForPeer(msgspec.Struct, Generic[Peer], frozen=True):
    """What one connection holds."""

    peer: Peer
    unread: int
    """Bytes for the peer that it has not taken."""
    received: int
    """Bytes of the peer's requests that have no room, or follow one in process."""
    takes_bytes: bool
    """Whether its socket would take more bytes now, so that nothing is unread."""

    @property
    def is_stalled(self) -> bool:
        """Whether it has not read all that it was given."""
        return self.unread > 0 and not self.takes_bytes

    @property
    def size(self) -> int:
        """Bytes that are held because of the peer."""
        return self.received + (self.unread if self.is_stalled else 0)


def peers_to_cut(held: Iterable[HeldForPeer[Peer]], limit: int) -> list[Peer]:
    """Return whose end brings the total within the limit.

    `held` begins with the peer that has not read for longest. Of those that don't read, it
    is cut first; then come those that have sent most, for what they have sent alone.
    """
    known = list(held)
    total = sum(one.size for one in known)
    if total <= limit:
        return []
    stalled = [one for one in known if one.is_stalled]
    senders = [one for one in known if one.received and not one.is_stalled]
    senders.sort(key=lambda one: -one.received)
    chosen: list[Peer] = []
    for one in [*stalled, *senders]:
        if total <= limit * CUT_DOWN_SHARE:
            break
        chosen.append(one.peer)
        total -= one.size
    return chosen


class _Counted(msgspec.Struct):
    unread: int
    received: int


class PeerBuffers:
    """Counts the bytes that connections hold, and cuts some above the limit."""

    def __init__(self, limit: int = DEFAULT_TOTAL_BYTES) -> None:
        """Allow `limit` bytes in total."""
        self._limit = limit
        self._check_above = limit
        """The total above which sockets are asked whether they take bytes."""
        self._changes = 0
        """Changes above the limit since sockets were asked."""
        self._counted: dict[PeerConnection, _Counted] = {}
        """The peer that has not read for longest is first."""
        self.total = 0

    @property
    def connection_bytes(self) -> int:
        """Bytes at which a connection is behind now."""
        return connection_bytes(self.total, self._limit)

    def changed(self, peer: PeerConnection, unread: int, received: int = 0) -> None:
        """Set what a connection holds now; nothing when it is closed.

        Fewer unread bytes than before mean that the peer has read.
        """
        before = self._counted.get(peer)
        if before is not None:
            self.total -= before.unread + before.received
            if _has_read_all(before) or unread < before.unread:
                del self._counted[peer]
        if unread or received:
            self._counted[peer] = _Counted(unread, received)
        self.total += unread + received
        if self._must_check():
            self._cut()

    def _must_check(self) -> bool:
        """Return whether sockets are to be asked now."""
        if self.total <= self._limit:
            self._check_above = self._limit
            return False
        self._changes += 1
        return self.total > self._check_above or self._changes >= CHECK_CHANGES

    def _cut(self) -> None:
        held = [
            HeldForPeer(peer, one.unread, one.received, _takes_bytes(peer, one))
            for peer, one in self._counted.items()
        ]
        for peer in peers_to_cut(held, self._limit):
            counted = self._counted.pop(peer)
            size = counted.unread + counted.received
            self.total -= size
            peer.cut(size)
        self._changes = 0
        step = int(self._limit * CHECK_SHARE)
        self._check_above = (
            self.total + step if self.total > self._limit else self._limit
        )


def _has_read_all(counted: _Counted) -> bool:
    return not counted.unread


def _takes_bytes(peer: PeerConnection, counted: _Counted) -> bool:
    return not counted.unread or peer.takes_bytes
