"""What all connections with peers hold together, beside the bound of each one."""

from typing import Protocol

from notcharch.values.memory_pool import PoolHolder, unbounded_holder

SMALL_BYTES = 4 * 1024
"""Frames of this size have room when larger ones have none: they settle calls, renew views
and keep connections alive."""
RESERVED_SHARE = 1 / 4
"""Share of each bound that only small frames may use."""
SMALL_PART_BYTES = 64 * 1024
"""Up to here an unfinished frame counts as a small one: its connection, which carries small
frames as well, is not closed for a full pool. The whole frame may still be refused."""
RESERVED_FRAMES_BYTES = 512 * 1024
"""What small frames that wait have beside the pool: one of 1.4 KB for each of 300 peers."""
RESERVED_REQUESTS_BYTES = 768 * 1024
"""What small requests have beside the pool: 300 of 200 bytes, with what an answer takes."""
RESERVED_PARTS_BYTES = 768 * 1024
"""What small parts of frames have beside the pool: one of 2.5 KB for each of 300 peers."""
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
        self,
        outgoing: PoolHolder | None = None,
        incoming: PoolHolder | None = None,
        parts: PoolHolder | None = None,
    ) -> None:
        """`outgoing` bounds frames that wait, `incoming` requests, `parts` parts of frames.

        Parts count as incoming if they have no bound of their own.
        """
        self._outgoing = outgoing or unbounded_holder()
        self._incoming = incoming or unbounded_holder()
        self._unfinished = parts or self._incoming
        self._parts: dict[FrameHolder, int] = {}
        """Bytes of the frame that each connection is receiving."""

    def take_outgoing(self, size: int) -> bool:
        """Hold a frame that is to be sent; return whether there is room for it."""
        return _take(self._outgoing, size, is_small=size <= SMALL_BYTES)

    def release_outgoing(self, size: int) -> None:
        """Hold a frame no more."""
        self._outgoing.change(-size, is_small=size <= SMALL_BYTES)

    def change_transport(self, size: int) -> None:
        """Hold so many bytes more, or less, that a transport has taken."""
        self._outgoing.change(size)

    def take_request(self, size: int) -> bool:
        """Hold a peer's request while it is answered; return whether there is room."""
        is_small = size <= SMALL_BYTES
        return _take(self._incoming, request_bytes(size), is_small=is_small)

    def release_request(self, size: int) -> None:
        """Hold a request no more."""
        self._incoming.change(-request_bytes(size), is_small=size <= SMALL_BYTES)

    def part_received(self, connection: FrameHolder, size: int) -> None:
        """Count what a connection has of an unfinished frame; 0 when it is complete.

        If there is no room, the connection with the largest part gives way, but for none
        that may be a small frame.
        """
        former = self._parts.pop(connection, 0)
        holder = self._unfinished
        holder.change(-former, is_small=former <= SMALL_PART_BYTES)
        if not size:
            return
        self._parts[connection] = size
        is_small = size <= SMALL_PART_BYTES
        has_room = size <= former or holder.has_room(size, is_small=is_small)
        holder.change(size, is_small=is_small)
        if has_room:
            return
        largest = max(self._parts, key=self._parts.__getitem__)
        if self._parts[largest] > SMALL_BYTES:
            largest.give_way()


def _take(holder: PoolHolder, size: int, *, is_small: bool) -> bool:
    reserved = 0.0 if is_small else holder.limit_bytes * RESERVED_SHARE
    room = size + int(min(reserved, 1 << 62))
    if not holder.has_room(room, is_small=is_small):
        return False
    holder.change(size, is_small=is_small)
    return True


def request_bytes(size: int) -> int:
    """Return how much memory a request of `size` bytes takes while it is answered."""
    return ANSWER_BYTES + COPIES * size
