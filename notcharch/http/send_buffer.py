"""Bytes for one peer, passed to its transport in pieces so that they can be counted."""

from collections import deque
from collections.abc import Callable

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from notcharch.http.buffered_bytes import CONNECTION_BYTES
from notcharch.http.reactor import FlowControlledTransport

TRANSPORT_BYTES = CONNECTION_BYTES // 4
"""Most bytes that the transport gets at once.

Transports only tell when all their bytes are sent, so this is the step of the count: a
connection that was behind catches up with a quarter to a half of its limit left.
"""


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
        self._queued = 0
        self._in_transport = 0
        self._is_registered = False
        self._closes_when_sent = False
        self._is_closed = False

    @property
    def buffered(self) -> int:
        """Number of bytes that the peer has not taken yet, as far as is known."""
        return self._queued + self._in_transport

    def write(self, data: bytes) -> None:
        """Send bytes after those before; nothing once the buffer is closed."""
        if self._is_closed or not data:
            return
        self._queue.append(memoryview(data))
        self._queued += len(data)
        self._fill_transport()
        self._on_change(self.buffered)

    def _fill_transport(self) -> None:
        if not self._is_registered:
            # A pull producer is asked at once: it has nothing in the transport yet.
            self._is_registered = True
            self._transport.registerProducer(self, False)
        while self._queue and self._in_transport < TRANSPORT_BYTES:
            self._write_piece(TRANSPORT_BYTES - self._in_transport)

    def _write_piece(self, most: int) -> None:
        data = self._queue.popleft()
        piece = data[:most]
        if len(piece) < len(data):
            self._queue.appendleft(data[most:])
        self._queued -= len(piece)
        self._in_transport += len(piece)
        self._transport.write(bytes(piece))

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Continue: the transport has sent all its bytes."""
        if not self._in_transport or self._is_closed:
            return
        self._in_transport = 0
        if self._queue:
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
        if self._closes_when_sent and not self._queue:
            self._unregister()
            self._transport.loseConnection()

    def discard(self) -> None:
        """Discard what the transport does not have, and everything written later."""
        if self._is_closed:
            return
        self._is_closed = True
        self._queue.clear()
        self._queued = 0
        self._in_transport = 0
        self._on_change(0)
