"""Bytes for one peer, passed to its transport in pieces so that they can be counted."""

from collections import deque
from collections.abc import Callable

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from notcharch.http.buffered_bytes import RESUME_BYTES
from notcharch.http.reactor import FlowControlledTransport

TRANSPORT_BYTES = 24 * 1024
"""Bytes that the transport gets in small steps.

Transports only tell when all their bytes are sent, so this is the step of the count: a
connection that was behind catches up with an eighth to a half of its limit left.
"""
MAX_TRANSPORT_BYTES = 128 * 1024
"""Most bytes that an empty transport gets at once; Twisted sends no more in a turn.

Smaller pieces of a large body would each wait for a turn of a busy reactor.
"""
SMALL_BYTES = 4 * 1024
"""Shorter writes are joined while they wait: each one alone takes 230 bytes more than its
content, which is twice an event of a stream."""
MAX_PIECES = 64
"""Writes that a transport holds of such small ones, for the same reason."""


def transport_room(queued: int, in_transport: int) -> int:
    """Return how many queued bytes the transport may get now.

    An empty one gets all but those with which a connection has caught up.
    """
    if in_transport:
        return TRANSPORT_BYTES - in_transport
    return min(max(queued - RESUME_BYTES, TRANSPORT_BYTES), MAX_TRANSPORT_BYTES)


@implementer(IPullProducer)
class SendBuffer:
    """Writes to a transport; the count falls each time the transport is empty."""

    def __init__(
        self, transport: FlowControlledTransport, on_change: Callable[[int], None]
    ) -> None:
        """Call `on_change` with the number of bytes after each change."""
        self._transport = transport
        self._on_change = on_change
        self._queue: deque[memoryview] = deque()
        self._tail = bytearray()
        """Small writes that follow the queue."""
        self._queued = 0
        self._in_transport = 0
        self._pieces = 0
        """Writes that the transport got since it was empty."""
        self._is_registered = False
        self._closes_when_sent = False
        self._is_closed = False

    @property
    def buffered(self) -> int:
        """Number of bytes that the peer has not taken yet, as far as is known."""
        return self._queued + self._in_transport

    @property
    def in_transport(self) -> int:
        """Number of bytes that the transport has copies of."""
        return self._in_transport

    def write(self, data: bytes) -> None:
        """Send bytes after those before; nothing once the buffer is closed."""
        if self._is_closed or not data:
            return
        self._append(data)
        self._queued += len(data)
        self._fill_transport()
        self._on_change(self.buffered)

    def _append(self, data: bytes) -> None:
        if len(data) < SMALL_BYTES:
            self._tail += data
            if len(self._tail) >= SMALL_BYTES:
                self._queue_tail()
            return
        self._queue_tail()
        self._queue.append(memoryview(data))

    def _queue_tail(self) -> None:
        if self._tail:
            self._queue.append(memoryview(bytes(self._tail)))
            self._tail.clear()

    def _fill_transport(self) -> None:
        if not self._is_registered:
            # A pull producer is asked at once: it has nothing in the transport yet.
            self._is_registered = True
            self._transport.registerProducer(self, False)
        has_many = self._pieces >= MAX_PIECES
        if self._in_transport and has_many and not self._queue:
            return  # further small writes are joined until the transport is empty
        room = transport_room(self._queued, self._in_transport)
        while self._queued and room > 0:
            room -= self._write_piece(room)

    def _write_piece(self, most: int) -> int:
        if not self._queue:
            self._queue_tail()
        data = self._queue.popleft()
        piece = data[:most]
        if len(piece) < len(data):
            self._queue.appendleft(data[most:])
        self._queued -= len(piece)
        self._in_transport += len(piece)
        self._pieces += 1
        self._transport.write(bytes(piece))
        return len(piece)

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Continue: the transport has sent all its bytes."""
        if not self._in_transport or self._is_closed:
            return
        self._in_transport = 0
        self._pieces = 0
        if self._queued:
            self._fill_transport()
        else:
            self._unregister()
            self._close_if_sent()
        self._on_change(self.buffered)

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Discard the rest: the connection is lost."""
        self.discard()

    def _unregister(self) -> None:
        if self._is_registered:
            self._is_registered = False
            self._transport.unregisterProducer()

    def lose_connection(self) -> None:
        """Close the connection once everything is sent."""
        self._closes_when_sent = True
        self._close_if_sent()

    def _close_if_sent(self) -> None:
        if self._closes_when_sent and not self._queued:
            self._unregister()
            self._transport.loseConnection()

    def discard(self) -> None:
        """Discard what the transport does not have, and everything written later."""
        if self._is_closed:
            return
        self._is_closed = True
        self._queue.clear()
        self._tail.clear()
        self._queued = 0
        self._in_transport = 0
        self._on_change(0)
