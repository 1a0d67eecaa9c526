"""The way to one peer: its address, its connections and what waits for it."""

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from notcharch.errors import ProblemCode
from notcharch.events.event import emit
from notcharch.events.wire import (
    NoticeDropped,
    PeerConnected,
    PeerConnectionLost,
    PeerDialFailed,
)
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from notcharch.wire.connection import PeerConnection
from notcharch.wire.dial_state import DialActions, new_dial_state
from notcharch.wire.limits import ConnectionLimits
from notcharch.wire.open_requests import (
    RETRY_AFTER_SECONDS,
    OpenRequest,
    OpenRequests,
    Reply,
)
from notcharch.wire.outgoing import OutgoingFrame, OutgoingQueue
from notcharch.wire.peer_memory import PeerMemory

Dial = Callable[[DaemonName, str], "Deferred[Any]"]
"""Connects to a peer at `host:port`; fires with the unshaken `PeerConnection`.

It raises ValueError for a text that is no address."""


DIALS_OVERLAP = 2
"""Times the time-out of connecting and of the handshake: how far apart two
connections may be established whose dials had begun at once."""


class PeerLink(DialActions):
    """Sends over the preferred connection; dials when there is none."""

    def __init__(
        self,
        own: DaemonName,
        peer: DaemonName,
        clock: IReactorTime,
        *,
        random: Random,
        limits: ConnectionLimits,
        dial: Dial,
        memory: PeerMemory | None = None,
    ) -> None:
        """Begin without an address or connection; `memory` bounds what waits."""
        self._is_lower = own < peer
        self._peer = peer
        self._clock = clock
        self._random = random
        self._limits = limits
        self._dial = dial
        self._address: str | None = None
        self._incarnation: Incarnation | None = None
        self._connections: list[PeerConnection] = []
        self._current: PeerConnection | None = None
        self._dialing: Deferred[None] | None = None
        self._handshaking: PeerConnection | None = None
        self._is_closed = False
        self._dial_failure = ""
        self._failures = 0
        self._delay: IDelayedCall | None = None
        self._waiting = OutgoingQueue(limits.buffer_bytes, memory)
        self._open = OpenRequests(clock)
        self._state = new_dial_state(self)

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open."""
        return self._current is not None

    @property
    def connected_process(self) -> Incarnation | None:
        """The peer's process, if a connection to it is open."""
        return self._incarnation if self.is_connected else None

    def set_address(self, address: str) -> None:
        """Learn or change the peer's `host:port`."""
        if address != self._address:
            self._address = address
            self._state.change_address()

    def open(self, description: str, timeout_seconds: float) -> OpenRequest:
        """Begin a request; `send` its frame next."""
        return self._open.open(description, timeout_seconds)

    def send_request(self, request: OpenRequest, frame: bytes) -> None:
        """Send a request's frame, or fail the request unwritten."""
        outgoing = OutgoingFrame(frame, request, is_bound_to_connection=False)
        if self._cannot_dial():
            request.fail_unavailable("no address is known")
        elif not self._put(outgoing):
            request.fail_unavailable("too much waits for the peer")

    def send_notice(self, name: str, frame: bytes) -> None:
        """Send a notice's frame, or drop it."""
        outgoing = OutgoingFrame(frame, is_bound_to_connection=False)
        if self._cannot_dial() or not self._put(outgoing):
            emit(NoticeDropped(self._peer, name))

    def reply(self, request_id: int, reply: Reply) -> None:
        """Settle a request with its reply."""
        self._open.reply(request_id, reply)

    def accepts(self, incarnation: Incarnation) -> bool:
        """Tell whether no later process of the peer was met."""
        if self._incarnation is None or incarnation >= self._incarnation:
            return True
        return not self._limits.is_incarnation_rising and not self._connections

    def established(self, connection: PeerConnection, member: Member) -> None:
        """Take a connection that passed its handshake."""
        if connection is self._handshaking:
            self._handshaking = None
        if self._incarnation not in (None, member.incarnation):
            self._drop_connections("the peer has restarted")
        self._incarnation = member.incarnation
        dialed = connection.dialed_peer is not None
        emit(PeerConnected(self._peer, member.incarnation, dialed))
        self._failures = 0
        connection.established_at = self._clock.seconds()
        self._connections.append(connection)
        self._prefer(connection)
        self._state.establish()

    def closed(self, connection: PeerConnection, reason: str) -> None:
        """Take the end of a connection, established or not."""
        if connection is self._handshaking:
            self._handshaking = None
            self._fail_dial(reason)
            return
        if connection not in self._connections:
            return
        self._connections.remove(connection)
        self._fail_awaited(connection, reason)
        self._leave(connection)

    def retired(self, connection: PeerConnection) -> None:
        """Start no more requests on a connection that the peer will close."""
        self._leave(connection)

    def close(self, reason: str) -> None:
        """Drop the peer: fail all that is open and close its connections."""
        self._is_closed = True
        self.cancel_delay()
        if self._dialing is not None:
            self._dialing.cancel()
        if self._handshaking is not None:
            self._handshaking.abort(reason)
        self._drop_connections(reason)
        for request in self._open.all():
            request.fail_unavailable(reason)
        self._waiting.close()

    def dial(self) -> None:
        """Begin to connect (an action of the dial state)."""
        if self._address is None:
            self._clock.callLater(0, self._fail_dial, "no address is known")
            return
        try:
            dialing = self._dial(self._peer, self._address)
        except ValueError as error:
            self._clock.callLater(0, self._fail_dial, str(error))
            return
        self._dialing = dialing
        dialing.addCallbacks(self._dialed, self._dial_failed)

    def fail_waiting(self) -> None:
        """Fail what waits; none of it was written (an action of the dial state)."""
        reason = f"cannot be connected: {self._dial_failure}"
        while (frame := self._waiting.pop()) is not None:
            if frame.request is not None:
                frame.request.fail_unavailable(reason, self._retry_after())

    def begin_delay(self) -> None:
        """Wait before dialling again (an action of the dial state)."""
        longest = self._limits.first_delay_seconds * 2 ** min(self._failures, 16)
        delay = min(longest, self._limits.max_delay_seconds)
        delay *= self._random.uniform(0.5, 1.0)
        self._failures += 1
        self._delay = self._clock.callLater(delay, self._state.end_delay)

    def cancel_delay(self) -> None:
        """Drop the running delay (an action of the dial state)."""
        if self._delay is not None and self._delay.active():
            self._delay.cancel()

    def flush(self) -> None:
        """Send what waits (an action of the dial state)."""
        while self._current is not None:
            frame = self._waiting.pop()
            if frame is None:
                return
            if not self._current.send(frame):
                _refuse_frame(frame)

    def check_alive(self) -> None:
        """Check every connection; called each `silence_seconds`."""
        for connection in tuple(self._connections):
            connection.check_alive()

    def _cannot_dial(self) -> bool:
        return self._address is None and self._current is None

    def _put(self, frame: OutgoingFrame) -> bool:
        if self._current is not None:
            return self._current.send(frame)
        is_put = self._waiting.put(frame)
        self._state.want()
        return is_put

    def _retry_after(self) -> float:
        if self._delay is None or not self._delay.active():
            return RETRY_AFTER_SECONDS
        return max(0.0, self._delay.getTime() - self._clock.seconds())

    def _dialed(self, connection: PeerConnection) -> None:
        self._dialing = None
        self._handshaking = connection

    def _dial_failed(self, failure: Failure) -> None:
        self._dialing = None
        self._fail_dial(failure.getErrorMessage())

    def _fail_dial(self, reason: str) -> None:
        if self._is_closed:
            return
        self._dial_failure = reason
        self._state.fail()
        delay = self._retry_after()
        emit(PeerDialFailed(self._peer, self._address or "", reason, delay))

    def _prefer(self, connection: PeerConnection) -> None:
        previous = self._current
        self._current = connection
        if previous is None:
            return
        if self._is_kept_beside(previous, connection):
            self._current = previous
            connection.retire()
        else:
            self._take_back(previous)
            previous.retire()

    def _is_kept_beside(self, previous: PeerConnection, new: PeerConnection) -> bool:
        """Tell whether the peers dialled each other at once and `previous` stays.

        Both sides choose alike: the connection that the lower name dialled. But a
        peer that dials long after `previous` was made has lost that one.
        """
        age = self._clock.seconds() - previous.established_at
        overlap = DIALS_OVERLAP * self._limits.connect_seconds
        if previous.is_retiring or age > overlap:
            return False
        dialed = new.dialed_peer is not None
        previous_dialed = previous.dialed_peer is not None
        return dialed != previous_dialed and previous_dialed == self._is_lower

    def _leave(self, connection: PeerConnection) -> None:
        if connection is not self._current:
            return
        usable = [
            other
            for other in self._connections
            if other is not connection and not other.is_retiring
        ]
        self._current = usable[-1] if usable else None
        self._take_back(connection)
        if self._current is None:
            self._state.lose()
        else:
            self.flush()

    def _take_back(self, connection: PeerConnection) -> None:
        for frame in connection.take_unwritten():
            if not self._waiting.put(frame):
                _refuse_frame(frame)

    def _drop_connections(self, reason: str) -> None:
        connections, self._connections = self._connections, []
        self._current = None
        for connection in connections:
            self._fail_awaited(connection, reason)
            self._take_back(connection)
            connection.abort(reason)

    def _fail_awaited(self, connection: PeerConnection, reason: str) -> None:
        awaited = tuple(connection.awaited.values())
        emit(PeerConnectionLost(self._peer, reason, len(awaited)))
        for request in awaited:
            request.fail(ProblemCode.UNAVAILABLE, reason, RETRY_AFTER_SECONDS)


def _refuse_frame(frame: OutgoingFrame) -> None:
    if frame.request is not None:
        frame.request.fail_unavailable("too much waits for the peer")
