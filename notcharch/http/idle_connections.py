"""Connections that wait for their next request."""

from collections import deque

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.http.client import ClientConnection


class IdleConnection(msgspec.Struct, frozen=True):
    """A connection, used until the given clock seconds."""

    connection: ClientConnection
    expires_at: float


class IdleConnections:
    """The idle connections to one server; the one used last is used first."""

    def __init__(self, clock: IReactorTime, max_idle: int) -> None:
        """Keep up to so many."""
        self._clock = clock
        self._max_idle = max_idle
        self._idle: deque[IdleConnection] = deque()

    def take(self) -> ClientConnection | None:
        """Give a connection that may still be used, if there is one."""
        now = self._clock.seconds()
        while self._idle:
            idle = self._idle.pop()
            if idle.connection.is_reusable and now < idle.expires_at:
                return idle.connection
            idle.connection.close()
        return None

    def keep(self, connection: ClientConnection, seconds: float) -> None:
        """Keep a connection for so long, if it may serve again."""
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

    def close_all(self) -> None:
        """Close them."""
        while self._idle:
            self._idle.pop().connection.close()
