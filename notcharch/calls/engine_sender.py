"""Sends calls to engines over persistent connections."""

from functools import partial
from typing import Protocol

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from notcharch.calls.interface import Engine
from notcharch.http.buffered_bytes import BufferedBytes
from notcharch.http.client import ClientConnection, ResponseListener
from notcharch.http.idle_connections import IdleConnections
from notcharch.http.messages import RequestHead
from notcharch.http.reactor import TimedReactor
from notcharch.http.sockets import detect_dead_peer

CONNECT_TIMEOUT_SECONDS = 0.3
"""Timeout of the TCP handshake: far above a round trip between zones, and below the
retransmission of a SYN that a full accept queue dropped."""
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""Idle timeout of a connection for which the engine advertises none."""
KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""Engines advertise whole seconds, so they may close a connection up to one earlier."""
MAX_IDLE = 8
"""Idle connections per engine: a daemon has few concurrent calls at one engine."""


class SendListener(ResponseListener, Protocol):
    """Callbacks for the response to a request, or for a request that was not sent."""

    def unreachable(self) -> None:
        """Handle a failed connection attempt: the request was not sent."""

    def may_send(self) -> bool:
        """Return whether the request may still be sent, once a connection is open."""

    def cancelled(self) -> None:
        """Handle that the request was not sent because `may_send` was false."""


class EngineRequest:
    """One request to an engine."""

    def __init__(self) -> None:
        """Start without a connection."""
        self.connection: ClientConnection | None = None
        self.is_abandoned = False

    def abandon(self) -> None:
        """Abort the request by closing its connection."""
        self.is_abandoned = True
        if self.connection is not None:
            self.connection.abandon()

    def pause_reading(self) -> None:
        """Stop reading the response until `resume_reading`."""
        if self.connection is not None:
            self.connection.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read the response."""
        if self.connection is not None:
            self.connection.resume_reading()


class EngineSender:
    """Sends requests to engines, and pools their idle connections."""

    def __init__(
        self,
        reactor: TimedReactor,
        local_address: str,
        buffers: BufferedBytes | None = None,
    ) -> None:
        """Connect from a local address, if one is given.

        `buffers` counts what engines have not read yet of requests.
        """
        self._reactor = reactor
        self._bind = (local_address, 0) if local_address else None
        self._idle: dict[str, IdleConnections] = {}
        self._factory = Factory.forProtocol(
            partial(ClientConnection, buffers or BufferedBytes())
        )
        self._factory.noisy = False

    def send(
        self, engine: Engine, head: RequestHead, body: bytes, listener: SendListener
    ) -> EngineRequest:
        """Send a request; `listener` is called with its response."""
        request = EngineRequest()
        idle = self._idle.get(engine.id)
        reused = idle.take() if idle is not None else None
        if reused is not None:
            request.connection = reused
            reused.send(head, body, listener)
            return request
        endpoint = TCP4ClientEndpoint(
            self._reactor, engine.host, engine.port, CONNECT_TIMEOUT_SECONDS, self._bind
        )

        def connected(connection: ClientConnection) -> None:
            if request.is_abandoned:
                connection.abandon()
                return
            if not listener.may_send():
                connection.abandon()
                listener.cancelled()
                return
            detect_dead_peer(connection.transport)
            request.connection = connection
            connection.send(head, body, listener)

        def failed(_failure: Failure) -> None:
            if not request.is_abandoned:
                listener.unreachable()

        connecting = endpoint.connect(self._factory)
        connecting.addCallbacks(connected, failed)
        return request

    def release(self, engine_id: str, request: EngineRequest) -> None:
        """Return the connection of a completed request to the pool."""
        connection = request.connection
        if connection is None:
            return
        advertised_seconds = connection.keep_alive_seconds
        seconds = DEFAULT_KEEP_ALIVE_SECONDS
        if advertised_seconds is not None:
            seconds = max(
                advertised_seconds - KEEP_ALIVE_MARGIN_SECONDS, advertised_seconds / 2
            )
        idle = self._idle.get(engine_id)
        if idle is None:
            idle = self._idle[engine_id] = IdleConnections(self._reactor, MAX_IDLE)
        idle.keep(connection, seconds)

    def close_idle(self, engine_id: str) -> None:
        """Close the idle connections to an engine."""
        idle = self._idle.pop(engine_id, None)
        if idle is not None:
            idle.close_all()
