"""How many callers' connections a listener keeps, and what becomes of those above it.

Above the bound the connections that have been idle for longest are closed, as their idle
time-out would do later. If none is idle, a new connection is answered with 503 and closed:
its request is not read.

A listener for probes refuses none: a probe that gets no 200 takes the daemon out. It closes
another connection instead, at first one that has sent no whole request so far.
"""

from collections import OrderedDict
from typing import Protocol as Interface

from prometheus_client import Counter, Gauge
from twisted.internet.interfaces import IDelayedCall, IReactorTime, ITCPTransport
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from notcharch.http.sockets import has_unread_bytes
from notcharch.values.memory_pool import PoolHolder, unbounded_holder

CONNECTION_BYTES = 5 * 1024
"""Memory of a connection at rest."""
DEFAULT_MAX_CONNECTIONS = 64
"""Connections of a listener without a bound of its own: probes need a few."""
MIN_CALLERS_CONNECTIONS = 128
"""Callers' connections that have memory beside the pool: others never cut callers off."""
MIN_IDLE_SECONDS = 1.0
"""A connection that was idle for less time is not closed to make room."""
NEW_CONNECTION_SECONDS = 0.3
"""A connection without a request so far is not idle for this time: its first one comes."""
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
CLOSED_FOR_PROBES = Counter(
    "notcharch_http_probes_closed",
    "Connections of probes, in use or just opened, that were closed to make room",
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

    def close_if_idle(self) -> bool:
        """Close the connection if it has no request in flight; return whether it closes."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether its socket has bytes that were not read yet."""

    def give_way(self) -> None:
        """Close the connection at once."""


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
        self._open: OrderedDict[IdleConnection, float] = OrderedDict()
        """When each was last used or found in use; the one that was so earliest is first."""
        self._closing: set[IdleConnection] = set()
        """Connections that were told to close."""
        self._refused: set[RefusedConnection] = set()
        """Connections that are being refused."""

    def opened(self, connection: IdleConnection, now: float) -> None:
        """Count a connection."""
        self._open[connection] = now
        self._held.change(CONNECTION_BYTES, is_small=True)
        OPEN.inc()

    def used(self, connection: IdleConnection, now: float) -> None:
        """Note the end of a response."""
        self._to_end(connection, now)

    def _to_end(self, connection: IdleConnection, now: float) -> None:
        if connection in self._open:
            self._open[connection] = now
            self._open.move_to_end(connection)

    def closed(self, connection: IdleConnection) -> None:
        """Count a connection no more."""
        if connection not in self._open and connection not in self._closing:
            return
        self._open.pop(connection, None)
        self._closing.discard(connection)
        self._held.change(-CONNECTION_BYTES, is_small=True)
        OPEN.dec()

    def has_room(self, now: float) -> bool:
        """Return whether one more may be opened; close idle ones if need be.

        Each connection is looked at once in `MIN_IDLE_SECONDS` at most: with thousands of
        them in use, a search for each new one would take most of the processor.
        """
        if self._is_within():
            return True
        return self._close_longest_idle(now) or self.make_room()

    def _close_longest_idle(self, now: float) -> bool:
        count = max(1, int(len(self._open) * CLOSED_SHARE))
        closed = 0
        while closed < count and self._open:
            connection, since = next(iter(self._open.items()))
            if now - since < MIN_IDLE_SECONDS:
                break
            if self._close_idle(connection, now):
                closed += 1
            else:
                self._to_end(connection, now)
        return closed > 0

    def _close_idle(self, connection: IdleConnection, now: float) -> bool:
        """Tell a connection to close if it is idle; return whether it does."""
        since = connection.idle_since
        if since is None or now - since < MIN_IDLE_SECONDS:
            return False
        if not connection.close_if_idle():
            return False
        self._told_to_close(connection)
        CLOSED_IDLE.inc()
        return True

    def _told_to_close(self, connection: IdleConnection) -> None:
        self._open.pop(connection, None)
        self._closing.add(connection)

    def _is_within(self) -> bool:
        if len(self._open) >= self._max_connections:
            return False
        more = CONNECTION_BYTES * (1 - len(self._closing))
        return self._held.has_room(more, is_small=True)

    def make_room(self) -> bool:
        """Close a connection that is in use for a new one; return whether that was done."""
        return False

    @property
    def refused(self) -> int:
        """Number of connections that are being refused: open, and not in use."""
        return len(self._refused)

    def refusing(self, connection: "RefusedConnection") -> None:
        """Count a connection that is being refused."""
        self._refused.add(connection)

    def has_refused(self, connection: "RefusedConnection") -> None:
        """Count a refused connection no more."""
        self._refused.discard(connection)

    def close_idle_refused(self) -> None:
        """Close the refused connections on which nothing of a request was received."""
        for connection in tuple(self._refused):
            connection.close_if_idle()

    def may_refuse(self) -> bool:
        """Return whether another connection may be answered with 503."""
        REFUSED.inc()
        return self.refused < self._max_refused


class ProbeRoom(ConnectionRoom):
    """The connections of a listener for probes, which refuses none."""

    def __init__(self, max_connections: float = DEFAULT_MAX_CONNECTIONS) -> None:
        """Keep so many connections."""
        super().__init__(max_connections)
        self._unserved: dict[IdleConnection, None] = {}
        """Connections without a whole request so far, the oldest first."""

    def opened(self, connection: IdleConnection, now: float) -> None:
        """Count a connection."""
        super().opened(connection, now)
        self._unserved[connection] = None

    def used(self, connection: IdleConnection, now: float) -> None:
        """Note the end of a response."""
        super().used(connection, now)
        self._unserved.pop(connection, None)

    def _told_to_close(self, connection: IdleConnection) -> None:
        super()._told_to_close(connection)
        self._unserved.pop(connection, None)

    def closed(self, connection: IdleConnection) -> None:
        """Count a connection no more."""
        super().closed(connection)
        self._unserved.pop(connection, None)

    def _close_longest_idle(self, now: float) -> bool:
        # A kept connection is idle from one probe to the next one.
        return not self._unserved and super()._close_longest_idle(now)

    def make_room(self) -> bool:
        """Close the oldest connection without a whole request, or else the oldest.

        One whose request lies unread in its socket is closed only if all others are such.
        """
        candidates = [*self._unserved, *self._open]
        unread = (one for one in candidates if not one.has_unread_bytes)
        chosen = next(unread, None) or next(iter(candidates), None)
        if chosen is None:
            return False
        self._told_to_close(chosen)
        chosen.give_way()
        CLOSED_FOR_PROBES.inc()
        return True


class RefusedConnection(Protocol):
    """A connection that is answered with 503 once its request begins."""

    transport: ITCPTransport

    def __init__(self, room: ConnectionRoom, clock: IReactorTime) -> None:
        """Count as refused in `room` until it is closed."""
        self._room = room
        self._clock = clock
        self._timer: IDelayedCall | None = None
        self._is_answered = False
        self._opened_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Wait for the request."""
        self._room.refusing(self)
        self._opened_at = self._clock.seconds()
        self._timer = self._clock.callLater(REFUSED_WAIT_SECONDS, self._close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Answer the first bytes, and discard all."""
        if self._is_answered:
            return
        self._is_answered = True
        self.transport.write(REFUSAL)
        if self._timer is not None:
            self._timer.reset(REFUSED_SECONDS)

    def close_if_idle(self) -> None:
        """Close the connection if nothing of a request was received, and it is not new."""
        age = self._clock.seconds() - self._opened_at
        if self._is_answered or age < NEW_CONNECTION_SECONDS:
            return
        if not has_unread_bytes(self.transport):
            self.transport.loseConnection()

    def _close(self) -> None:
        self._timer = None
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Count no more."""
        self._room.has_refused(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
