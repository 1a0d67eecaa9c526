"""What all connections with peers hold together, beside the bound of each one."""

from typing import Protocol

from notcharch.values.memory_pool import PoolHolder, unbounded_holder

SMALL_BYTES = 4 * 1024
"""Frames of this size have room when larger ones have none: they settle calls, renew views
and keep connections alive."""
RESERVED_SHARE = 1 / 4
"""Share of each bound that only small frames may use."""
ANSWER_BYTES = 2 * 1024
"""Memory of a request of a peer that is being answered, besides its message."""
COPIES = 2
"""Copies of a message that is being answered: its frame, then its fields and what its
handler makes of them."""


class FrameHolder(Protocol):
    """A connection that holds frames, or a part of one."""

    def give_way(self) -> None:
        """Close: of all connections this one holds most."""


class PeerMemory:
    """Bounds of what waits for all peers, and of what all of them have sent."""

    def __init__(
        self, outgoing: PoolHolder | None = None, incoming: PoolHolder | None = None
    ) -> None:
        """`outgoing` bounds frames that wait, `incoming` requests and parts of frames."""
        self._outgoing = outgoing or unbounded_holder()
        self._incoming = incoming or unbounded_holder()
        self._parts: dict[FrameHolder, int] = {}
        """Bytes of the frame that each connection is receiving."""

    def take_outgoing(self, size: int) -> bool:
        """Hold a frame that is to be sent; return whether there is room for it."""
        return self._take(self._outgoing, size)

    def change_outgoing(self, size: int) -> None:
        """Hold so many bytes of frames more, or less, in any case."""
        self._outgoing.change(size)

    def take_request(self, size: int) -> bool:
        """Hold a peer's request while it is answered; return whether there is room."""
        return self._take(self._incoming, request_bytes(size))

    def release_request(self, size: int) -> None:
        """Hold a request no more."""
        self._incoming.change(-request_bytes(size))

    def _take(self, holder: PoolHolder, size: int) -> bool:
        reserved = 0 if size <= SMALL_BYTES else holder.limit_bytes * RESERVED_SHARE
        if not holder.has_room(size + int(min(reserved, 1 << 62))):
            return False
        holder.change(size)
        return True

    def part_received(self, connection: FrameHolder, size: int) -> None:
        """Count what a connection has of an unfinished frame; 0 when it is complete.

        If there is no room, the connection with the largest part gives way.
        """
        former = self._parts.pop(connection, 0)
        self._incoming.change(size - former)
        if not size:
            return
        self._parts[connection] = size
        if size > former and not self._incoming.has_room(0):
            max(self._parts, key=self._parts.__getitem__).give_way()


def request_bytes(size: int) -> int:
    """Return how much memory a request of `size` bytes takes while it is answered."""
    return ANSWER_BYTES + COPIES * size
