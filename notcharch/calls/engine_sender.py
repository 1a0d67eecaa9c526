"""Sends calls to engines over persistent connections."""

from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from typing import Protocol

import msgspec
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from notcharch.calls.incarnation_check import (
    CheckResult,
    IncarnationCheck,
)
from notcharch.calls.interface import Engine, IncarnationDialect
from notcharch.http.client import ClientConnection, ResponseListener
from notcharch.http.idle_connections import IdleConnections
from notcharch.http.messages import RequestHead
from notcharch.http.peer_buffers import PeerBuffers
from notcharch.http.reactor import TimedReactor
from notcharch.http.sockets import detect_dead_peer

CONNECT_TIMEOUT_SECONDS = 0.3
"""Timeout of the TCP handshake: far above a round trip between zones (some 3 ms), and
below the retransmission of a SYN that a full accept queue dropped, which takes seconds."""
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""Idle timeout of a connection for which the engine advertises none."""
KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""Engines advertise whole seconds, so they may close a connection up to one earlier."""
MAX_IDLE = 8
"""Idle connections per engine: a daemon has few concurrent calls at one engine."""
MAX_IDLE_TOTAL = 512
"""Idle connections to all engines: 8 to each of 3,000 would take 96 MB."""
IDLE_BYTES = 4 * 1024
"""Memory of an idle connection, about that of a caller's at rest."""


class SendListener(ResponseListener, Protocol):
    """Callbacks for the response to a request, or for a request that was not sent."""

    def unreachable(self) -> None:
        """Handle a failed connection attempt: the request was not sent."""

    def may_send(self) -> bool:
        """Return whether the request may still be sent, once a connection is open."""

    def cancelled(self) -> None:
        """Handle that the request was not sent because `may_send` was false."""

    def restarted(self) -> None:
        """Handle that the request was not sent: the engine started after its entry."""

    def incarnation_unknown(self) -> None:
        """Handle that the request is sent although the engine's start is not known."""


class EngineRequest:
    """One request to an engine."""

    def __init__(self) -> None:
        """Start without a connection."""
        self.connection: ClientConnection | None = None
        self.check: IncarnationCheck | None = None
        """The check of the engine's start in progress, if any."""
        self.is_abandoned = False
        self.is_reused = False
        """Whether its connection had served another request."""
        self.is_refused = False
        """Whether its connection was refused, so that no process listens."""
        self.is_sent = False
        """Whether any of it was passed on to a connection."""

    def abandon(self) -> None:
        """Abort the request by closing its connection."""
        self.is_abandoned = True
        if self.check is not None:
            self.check.stop()
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


class OutgoingCall(msgspec.Struct, frozen=True):
    """A request to an engine, and who handles the response."""

    engine: Engine
    head: RequestHead
    body: bytes
    listener: SendListener
    confirm: IncarnationDialect | None
    """Asks the engine when it started; None if that does not matter."""


class Sending:
    """Sends one request on a connection, once the engine's start is confirmed."""

    def __init__(
        self, reactor: TimedReactor, request: EngineRequest, message: OutgoingCall
    ) -> None:
        """Prepare to send a message; `request` has the connection and the check."""
        self._reactor = reactor
        self._request = request
        self._message = message
        self._listener = message.listener

    def connected(self, connection: ClientConnection) -> None:
        """Use a new connection."""
        if self._request.is_abandoned:
            connection.abandon()
            return
        if self._may_send(connection):
            detect_dead_peer(connection.transport)
            self.use(connection)

    def failed(self, failure: Failure) -> None:
        """Handle a failed connection attempt."""
        self._request.is_refused = failure.check(ConnectionRefusedError) is not None
        if not self._request.is_abandoned:
            self._listener.unreachable()

    def use(self, connection: ClientConnection) -> None:
        """Send on an open connection."""
        self._request.connection = connection
        confirm, engine = self._message.confirm, self._message.engine
        if confirm is None or connection.peer_started_ms == engine.started_ms:
            self._send(connection)
            return
        then = partial(self._checked, connection)
        self._request.check = IncarnationCheck(confirm, engine, connection, then)
        self._request.check.start(self._reactor)

    def _checked(self, connection: ClientConnection, result: CheckResult) -> None:
        self._request.check = None
        if result is CheckResult.RESTARTED:
            connection.abandon()
            self._listener.restarted()
        elif result is CheckResult.FAILED or not connection.is_reusable:
            connection.abandon()
            self._listener.unreachable()
        elif self._may_send(connection):
            if result is CheckResult.UNKNOWN:
                self._listener.incarnation_unknown()
            self._send(connection)

    def _may_send(self, connection: ClientConnection) -> bool:
        """Cancel the request if the engine must not get it any more."""
        if self._listener.may_send():
            return True
        connection.abandon()
        self._listener.cancelled()
        return False

    def _send(self, connection: ClientConnection) -> None:
        message = self._message
        self._request.is_sent = True
        connection.send(message.head, message.body, message.listener)


class EngineSender:
    """Sends requests to engines, and pools their idle connections."""

    def __init__(
        self,
        reactor: TimedReactor,
        local_address: str,
        buffers: PeerBuffers | None = None,
    ) -> None:
        """Connect from a local address, if one is given.

        `buffers` counts what engines have not read yet of requests.
        """
        self._reactor = reactor
        self._bind = (local_address, 0) if local_address else None
        self._idle: OrderedDict[str, IdleConnections] = OrderedDict()
        """By engine; the one that a connection was released to last comes last."""
        self._idle_count = 0
        self.on_idle_close: Callable[[str], None] = lambda _: None
        """Called with the id of an engine that closes an idle connection."""
        self._factory = Factory.forProtocol(
            partial(ClientConnection, buffers or PeerBuffers())
        )
        self._factory.noisy = False

    def send(
        self,
        engine: Engine,
        head: RequestHead,
        body: bytes,
        listener: SendListener,
        *,
        confirm: IncarnationDialect | None = None,
    ) -> EngineRequest:
        """Send a request; `listener` is called with its response.

        With `confirm`, the engine is asked first whether it started when its entry says,
        once on each connection.
        """
        request = EngineRequest()
        message = OutgoingCall(engine, head, body, listener, confirm)
        sending = Sending(self._reactor, request, message)
        reused = self._take_idle(engine.id)
        if reused is not None:
            request.is_reused = True
            sending.use(reused)
            return request
        endpoint = TCP4ClientEndpoint(
            self._reactor, engine.host, engine.port, CONNECT_TIMEOUT_SECONDS, self._bind
        )
        connecting = endpoint.connect(self._factory)
        connecting.addCallbacks(sending.connected, sending.failed)
        return request

    def _take_idle(self, engine_id: str) -> ClientConnection | None:
        idle = self._idle.get(engine_id)
        if idle is None:
            return None
        before = len(idle)
        connection = idle.take()
        self._idle_count += len(idle) - before
        return connection

    @property
    def idle_bytes(self) -> int:
        """Memory of the idle connections, about."""
        return self._idle_count * IDLE_BYTES

    def release(self, engine_id: str, request: EngineRequest) -> None:
        """Return the connection of a completed request to the pool.

        Beyond `MAX_IDLE_TOTAL`, connections to the engines that were used longest ago are
        closed.
        """
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
        connection.on_idle_close = partial(self.on_idle_close, engine_id)
        self._idle.move_to_end(engine_id)
        before = len(idle)
        idle.keep(connection, seconds)
        self._idle_count += len(idle) - before
        while self._idle_count > MAX_IDLE_TOTAL:
            self._close_oldest_idle()

    def _close_oldest_idle(self) -> None:
        engine_id, idle = next(iter(self._idle.items()))
        if idle:
            idle.close_oldest()
            self._idle_count -= 1
        else:
            del self._idle[engine_id]

    def close_idle(self, engine_id: str) -> None:
        """Close the idle connections to an engine."""
        idle = self._idle.pop(engine_id, None)
        if idle is not None:
            self._idle_count -= len(idle)
            idle.close_all()
