"""Sends calls over kept connections to engines."""

from typing import Protocol

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from notcharch.calls.interface import Engine
from notcharch.http.client import ClientConnection, ResponseListener
from notcharch.http.idle_connections import IdleConnections
from notcharch.http.messages import RequestHead
from notcharch.http.reactor import TimedReactor
from notcharch.http.sockets import detect_dead_peer

CONNECT_SECONDS = 0.3
"""A connection takes one way and back, some 3 ms between zones; a full queue of an engine
answers only after seconds. Chosen between the two."""
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""So long an idle connection is used if the engine doesn't say how long it keeps it."""
KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""An engine tells whole seconds, so its connection may close up to one sooner."""
MAX_IDLE = 8
"""Idle connections kept to one engine: a daemon has few calls at one engine at a time."""


class SendListener(ResponseListener, Protocol):
    """What hears a request's answer, or that it could not be sent."""

    def unreachable(self) -> None:
        """Hear that no connection was made: the request was not sent."""

    def may_send(self) -> bool:
        """Tell whether the request may still be sent, once a connection is up."""

    def cancelled(self) -> None:
        """Hear that it was not sent because it may not be any more."""


class Sending:
    """One request on its way to an engine."""

    def __init__(self) -> None:
        """Begin without a connection."""
        self.connection: ClientConnection | None = None
        self.is_abandoned = False

    def abandon(self) -> None:
        """Give it up: the engine sees its connection cut."""
        self.is_abandoned = True
        if self.connection is not None:
            self.connection.abandon()


class EngineSender:
    """Connections to engines, kept for more requests."""

    def __init__(self, reactor: TimedReactor, local_address: str) -> None:
        """Connect from a machine's own address."""
        self._reactor = reactor
        self._bind = (local_address, 0) if local_address else None
        self._idle: dict[str, IdleConnections] = {}
        self._factory = Factory.forProtocol(ClientConnection)
        self._factory.noisy = False

    def send(
        self, engine: Engine, head: RequestHead, body: bytes, listener: SendListener
    ) -> Sending:
        """Send a request; `listener` hears its answer."""
        sending = Sending()
        idle = self._idle.get(engine.id)
        reused = idle.take() if idle is not None else None
        if reused is not None:
            sending.connection = reused
            reused.send(head, body, listener)
            return sending
        endpoint = TCP4ClientEndpoint(
            self._reactor, engine.host, engine.port, CONNECT_SECONDS, self._bind
        )

        def connected(connection: ClientConnection) -> None:
            if sending.is_abandoned:
                connection.abandon()
                return
            if not listener.may_send():
                connection.abandon()
                listener.cancelled()
                return
            detect_dead_peer(connection.transport)
            sending.connection = connection
            connection.send(head, body, listener)

        def failed(_failure: Failure) -> None:
            if not sending.is_abandoned:
                listener.unreachable()

        connecting = endpoint.connect(self._factory)
        connecting.addCallbacks(connected, failed)
        return sending

    def release(self, engine_id: str, sending: Sending) -> None:
        """Keep the connection of an answered request for the next one."""
        connection = sending.connection
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
        """Close the idle connections to an engine that is gone."""
        idle = self._idle.pop(engine_id, None)
        if idle is not None:
            idle.close_all()
