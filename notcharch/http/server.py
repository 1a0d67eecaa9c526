"""Creates the connections of an HTTP server, and tracks those that are open."""

from collections.abc import Callable
from functools import partial

from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from notcharch.events.stop_steps import isolated
from notcharch.http.connection_room import (
    ConnectionRoom,
    ProbeRoom,
    RefusedConnection,
)
from notcharch.http.exchange import (
    ErrorResponse,
    Exchange,
    RequestHandler,
    Uploads,
)
from notcharch.http.peer_buffers import PeerBuffers
from notcharch.http.server_connection import ServerConnection


class ServerFactory(Factory):
    """Creates connections, and tracks those that are open."""

    noisy = False

    def __init__(
        self,
        handler: RequestHandler,
        clock: IReactorTime,
        buffers: PeerBuffers | None = None,
        room: ConnectionRoom | None = None,
        uploads: Uploads | None = None,
    ) -> None:
        """Pass requests to a handler; `buffers` counts what the connections hold.

        `room` bounds their number; without one they are connections of probes. `uploads`
        bounds the memory of requests and the time in which they are read.
        """
        self._uploads = uploads or Uploads()
        self._room = room or ProbeRoom()
        self._handler = handler
        self._buffers = buffers or PeerBuffers()
        self._clock = clock
        self._open: set[ServerConnection] = set()

    def buildProtocol(self, addr: object) -> Protocol | None:  # noqa: N802
        """Create a tracked connection, or one that is refused; None closes it at once."""
        if not self._room.has_room(self._clock.seconds()):
            is_answered = self._room.may_refuse()
            return RefusedConnection(self._room, self._clock) if is_answered else None
        connection = TrackedConnection(
            self._handler,
            self._clock,
            self._open,
            self._room,
            buffers=self._buffers,
            uploads=self._uploads,
        )
        self._open.add(connection)
        self._room.opened(connection, self._clock.seconds())
        return connection

    @property
    def open_connections(self) -> int:
        """Number of connections that are open, or have bytes that were not taken.

        Those that are being refused are among them: their callers wait for a status.
        """
        return len(self._open) + self._room.refused

    def close_idle(self) -> None:
        """Close the connections on which nothing of a request was received."""
        for connection in tuple(self._open):
            isolated("close an idle connection", connection.close_if_idle)
        self._room.close_idle_refused()

    def refuse_unread(
        self, refusal_of: Callable[[Exchange | None], ErrorResponse | None]
    ) -> None:
        """Refuse the requests that are being read and for which there is a response."""
        for connection in tuple(self._open):
            if not isolated(
                "refuse a request that is read",
                partial(connection.refuse_unread, refusal_of),
            ):
                isolated("abort its connection", connection.abort)


class TrackedConnection(ServerConnection):
    """A connection that is in its factory's set while it is open."""

    def __init__(
        self,
        handler: RequestHandler,
        clock: IReactorTime,
        open_connections: set[ServerConnection],
        room: ConnectionRoom,
        *,
        buffers: PeerBuffers,
        uploads: Uploads,
    ) -> None:
        """Create a connection that removes itself from `open_connections` and `room`."""
        super().__init__(handler, clock, buffers, uploads)
        self._room = room
        self._open_connections = open_connections

    def end_exchange(self) -> None:
        """Note that the connection was used."""
        self._room.used(self, self._clock.seconds())
        super().end_exchange()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Remove the connection from the set of open ones."""
        self._open_connections.discard(self)
        self._room.closed(self)
        super().connectionLost(reason)
