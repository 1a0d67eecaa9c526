"""How many callers' connections a listener keeps, and what becomes of those above it.

Above the bound the connections that have been idle for longest are closed, as their idle
time-out would do later. If none is idle, a new connection is answered with 503 and closed:
its request is not read.
"""

from typing import Protocol as Interface

from prometheus_client import Counter, Gauge
from twisted.internet.interfaces import IDelayedCall, IReactorTime, ITCPTransport
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from notcharch.values.memory_pool import PoolHolder, unbounded_holder

CONNECTION_BYTES = 5 * 1024
"""Memory of a connection at rest; measured: 3.0 to 4.1 KB, and 5.1 KB with a part of a
head of 1 KB."""
DEFAULT_MAX_CONNECTIONS = 64
"""Connections of a listener without a bound of its own: probes need a few."""
MIN_CALLERS_CONNECTIONS = 128
"""Callers' connections that have memory beside the pool: others never cut callers off."""
MIN_IDLE_SECONDS = 1.0
"""A connection that was idle for less time is not closed to make room."""
CLOSED_SHARE = 1 / 16
"""Share of the connections that are closed at once, so that not each new one searches."""
MAX_REFUSED = 256
"""Connections that are being answered with 503; further ones are closed at once."""
REFUSED_SECONDS = 0.5
"""How long the rest of a refused request is read, so that the answer is not reset."""
REFUSED_WAIT_SECONDS = 3.0
"""How long a refused connection is kept for its request."""
REFUSAL_BODY = b'{"error":"no memory for it now"}'
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: %d\r\n"
    b"Retry-After: 0.500\r\n"
    b"Connection: close\r\n\r\n%b"
) % (len(REFUSAL_BODY), REFUSAL_BODY)

OPEN = Gauge("notcharch_http_connections", "Open connections of callers and probes")
CLOSED_IDLE = Counter(
    "notcharch_http_idle_closed", "Idle connections closed to make room for others"
)
REFUSED = Counter(
    "notcharch_http_connections_refused",
    "New connections answered with 503 or closed, as all others were in use",
)


class IdleConnection(Interface):
    """A caller's connection that may be idle."""

    @property
    def idle_since(self) -> float | None:
        """Since when it has nothing to read, serve or send; None if it is in use."""

    def close_if_idle(self) -> None:
        """Close the connection if it has no request in flight."""


class ConnectionRoom:
    """The connections of one listener."""

    def __init__(
        self,
        max_connections: float = DEFAULT_MAX_CONNECTIONS,
        held: PoolHolder | None = None,
        max_refused: int = MAX_REFUSED,
    ) -> None:
        """Keep so many connections, and no more than `held` has room for.

        Of those above, `max_refused` at a time are answered.
        """
        self._max_connections = max_connections
        self._max_refused = max_refused
        self._held = held or unbounded_holder()
        self._open: set[IdleConnection] = set()
        self._closing: set[IdleConnection] = set()
        """Connections that were told to close."""
        self.refused = 0
        """Number of connections that are being refused."""

    def opened(self, connection: IdleConnection) -> None:
        """Count a connection."""
        self._open.add(connection)
        self._held.change(CONNECTION_BYTES, is_small=True)
        OPEN.inc()

    def closed(self, connection: IdleConnection) -> None:
        """Count a connection no more."""
        if connection in self._open:
            self._open.discard(connection)
            self._closing.discard(connection)
            self._held.change(-CONNECTION_BYTES, is_small=True)
            OPEN.dec()

    def has_room(self, now: float) -> bool:
        """Return whether one more may be opened; close idle ones if need be."""
        if self._is_within():
            return True
        idle = [
            (since, connection)
            for connection in self._open - self._closing
            if (since := connection.idle_since) is not None
            and now - since >= MIN_IDLE_SECONDS
        ]
        idle.sort(key=lambda item: item[0])
        count = max(1, int(len(self._open) * CLOSED_SHARE))
        for _, connection in idle[:count]:
            self._closing.add(connection)
            connection.close_if_idle()
            CLOSED_IDLE.inc()
        return bool(idle)

    def _is_within(self) -> bool:
        closing = len(self._closing)
        if len(self._open) - closing >= self._max_connections:
            return False
        more = CONNECTION_BYTES * (1 - closing)
        return self._held.has_room(more, is_small=True)

    def may_refuse(self) -> bool:
        """Return whether another connection may be answered with 503."""
        REFUSED.inc()
        return self.refused < self._max_refused


class RefusedConnection(Protocol):
    """A connection that is answered with 503 once its request begins."""

    transport: ITCPTransport

    def __init__(self, room: ConnectionRoom, clock: IReactorTime) -> None:
        """Count as refused in `room` until it is closed."""
        self._room = room
        self._clock = clock
        self._timer: IDelayedCall | None = None
        self._is_answered = False

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Wait for the request."""
        self._room.refused += 1
        self._timer = self._clock.callLater(REFUSED_WAIT_SECONDS, self._close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Answer the first bytes, and discard all."""
        if self._is_answered:
            return
        self._is_answered = True
        self.transport.write(REFUSAL)
        if self._timer is not None:
            self._timer.reset(REFUSED_SECONDS)

    def _close(self) -> None:
        self._timer = None
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Count no more."""
        self._room.refused -= 1
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
