"""A pool of idle keep-alive connections."""

from collections import deque

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.http.client import ClientConnection


class IdleConnection(msgspec.Struct, frozen=True):
    """An idle connection, which expires at the given clock seconds."""

    connection: ClientConnection
    expires_at: float


class IdleConnections:
    """The idle connections to one server; the most recently used one is reused first."""

    def __init__(self, clock: IReactorTime, max_idle: int) -> None:
        """Keep at most `max_idle` connections."""
        self._clock = clock
        self._max_idle = max_idle
        self._idle: deque[IdleConnection] = deque()

    def take(self) -> ClientConnection | None:
        """Remove and return a reusable connection, if there is one."""
        now = self._clock.seconds()
        while self._idle:
            idle = self._idle.pop()
            if idle.connection.is_reusable and now < idle.expires_at:
                return idle.connection
            idle.connection.close()
        return None

    def keep(self, connection: ClientConnection, seconds: float) -> None:
        """Keep a connection for the given time, if it is reusable."""
        if not connection.is_reusable:
            return
        self._close_expired()
        self._idle.append(IdleConnection(connection, self._clock.seconds() + seconds))
        if len(self._idle) > self._max_idle:
            self._idle.popleft().connection.close()

    def _close_expired(self) -> None:
        now = self._clock.seconds()
        while self._idle:
            oldest = self._idle[0]
            if oldest.connection.is_reusable and now < oldest.expires_at:
                return
            self._idle.popleft().connection.close()

    def __len__(self) -> int:
        """Return the number of connections, including expired ones."""
        return len(self._idle)

    def close_oldest(self) -> None:
        """Close the connection that was kept for longest, if there is one."""
        if self._idle:
            self._idle.popleft().connection.close()

    def close_all(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().connection.close()
