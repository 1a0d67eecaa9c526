"""Connections that callers keep open, and use until the daemon closes them."""

from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.http.client import ClientConnection

REST_SECONDS = 8.0
"""Callers reuse no connection that rested for longer; daemons close them after 15 s."""
REUSED_SHARE = 0.5
"""Share of the requests that go on a kept connection, if there is one."""


class KeptConnection(msgspec.Struct):
    """An open connection to a daemon, at rest."""

    daemon: str
    connection: ClientConnection
    since: float


class KeptConnections:
    """The connections of all callers."""

    def __init__(self, reactor: IReactorTime, random: Random) -> None:
        """Keep none yet."""
        self._reactor = reactor
        self._random = random
        self._kept: list[KeptConnection] = []

    def keep(self, daemon: str, connection: ClientConnection) -> None:
        """Keep a connection, if another request may be sent on it."""
        if connection.is_reusable:
            now = self._reactor.seconds()
            self._kept.append(KeptConnection(daemon, connection, now))

    def take(self) -> KeptConnection | None:
        """Give a connection for some of the requests, whether its daemon is ready or not."""
        now = self._reactor.seconds()
        for kept in self._kept:
            if now - kept.since > REST_SECONDS:
                kept.connection.close()
        self._kept = [kept for kept in self._kept if kept.connection.is_reusable]
        if not self._kept or self._random.random() >= REUSED_SHARE:
            return None
        return self._kept.pop(self._random.randrange(len(self._kept)))
