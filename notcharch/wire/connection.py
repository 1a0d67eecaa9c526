"""One TCP connection with a peer: handshake, framing, liveness and its closing."""

from collections.abc import Callable
from io import BytesIO
from typing import Any, Protocol

from result import Err
from twisted.internet.interfaces import IPushProducer
from twisted.protocols.basic import NetstringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from notcharch.events.event import emit
from notcharch.events.memory import PeerFrameTooLarge
from notcharch.events.wire import MessageNotUnderstood, PeerRefused, PeerTooSlow
from notcharch.values.identifiers import DaemonName, Member, RegionName
from notcharch.wire.codec import (
    PROTOCOL_VERSION,
    AnyEnvelope,
    Envelope,
    Goodbye,
    Hello,
    MessageCodec,
    NoticeEnvelope,
    Ping,
    Pong,
    ReplyEnvelope,
    RequestEnvelope,
)
from notcharch.wire.limits import ConnectionLimits
from notcharch.wire.open_requests import OpenRequest
from notcharch.wire.outgoing import OutgoingFrame, OutgoingQueue
from notcharch.wire.peer_memory import PeerMemory

TRANSPORT_BYTES = 64 * 1024
"""A transport of Twisted is full with so many bytes, and the last frame may exceed them."""
HELLO_BYTES = 16 * 1024
"""The largest frame before the handshake, when anybody may have sent it."""


class ConnectionOwner(Protocol):
    """What a connection reports, and to whom."""

    def accepts(self, member: Member) -> bool:
        """Tell whether this process of the peer is not an outdated one."""

    def established(self, connection: "PeerConnection") -> None:
        """Take a connection that passed its handshake."""

    def retired(self, connection: "PeerConnection") -> None:
        """Note that the peer wants no more requests on a connection."""

    def closed(self, connection: "PeerConnection", reason: str) -> None:
        """Take the end of a connection, established or not."""

    def received_request(
        self, connection: "PeerConnection", envelope: RequestEnvelope
    ) -> None:
        """Answer with `PeerConnection.send_reply`."""

    def received_reply(
        self, connection: "PeerConnection", envelope: ReplyEnvelope
    ) -> None:
        """Settle the request."""

    def received_notice(
        self, connection: "PeerConnection", envelope: NoticeEnvelope
    ) -> None:
        """Take a one-way message."""


@implementer(IPushProducer)
class PeerConnection(NetstringReceiver):
    """The protocol of either side; `dialed_peer` is set on the dialling side."""

    def __init__(
        self,
        owner: ConnectionOwner,
        own: Member,
        *,
        region: RegionName,
        codec: MessageCodec,
        limits: ConnectionLimits,
        dialed_peer: DaemonName | None = None,
        memory: PeerMemory | None = None,
    ) -> None:
        """Begin without a transport and before the handshake.

        `memory` bounds what this and all other connections hold.
        """
        self.MAX_LENGTH = min(HELLO_BYTES, codec.max_message_bytes)
        self._memory = memory or PeerMemory()
        self.peer: Member | None = None
        self.dialed_peer = dialed_peer
        self.awaited: dict[int, OpenRequest] = {}
        """Requests written here that have no reply yet."""

        self.answering = 0
        """Requests received here that have no reply yet."""

        self.established_at = 0.0
        self.is_closed = False
        self._owner = owner
        self._own = own
        self._region = region
        self._codec = codec
        self._queue = OutgoingQueue(limits.buffer_bytes, self._memory)
        self._paused = False
        self._last_frame_bytes = 0
        self._transport_bytes = 0
        """Bytes of a full transport, as counted."""
        self._heard = True
        self._pinged = False
        self._goodbye_sent = False
        self._goodbye_received = False
        self._close_reason: str | None = None

    @property
    def is_retiring(self) -> bool:
        """Tell whether either side starts no more requests here."""
        return self._goodbye_sent or self._goodbye_received

    def send(self, frame: OutgoingFrame) -> bool:
        """Write a frame or let it wait; False when the buffer is full."""
        if self.is_closed or not self._queue.put(frame):
            return False
        self._flush()
        return True

    def send_reply(
        self, envelope: ReplyEnvelope, otherwise: Callable[[], ReplyEnvelope]
    ) -> None:
        """Send a reply, or a short one if there is no room for it.

        A peer that reads too slowly for either is closed.
        """
        if self._send_envelope(envelope) or self.is_closed:
            return
        if not self._send_envelope(otherwise()):
            emit(PeerTooSlow(self._peer_name(), self._queue.size))
            self.abort("the peer reads too slowly")

    def _send_envelope(self, envelope: Envelope) -> bool:
        """Send an envelope; True also for one that can't be encoded."""
        encoded = self._codec.encode(envelope)
        if isinstance(encoded, Err):
            return True
        return self.send(OutgoingFrame(encoded.ok_value))

    def take_unwritten(self) -> list[OutgoingFrame]:
        """Remove what was never written and may go another way."""
        return self._queue.take_unbound()

    def retire(self) -> None:
        """Start no more requests here; close when both sides have finished."""
        if not self._goodbye_sent:
            self._goodbye_sent = True
            self._send_control(Goodbye())
            self.close_if_finished()

    def close_if_finished(self) -> None:
        """Close a retired connection once nothing is open on it."""
        both_retired = self._goodbye_sent and self._goodbye_received
        nothing_open = not self.awaited and not self.answering and not len(self._queue)
        if both_retired and nothing_open and not self.is_closed:
            self._close_reason = "retired"
            self.transport.loseConnection()

    def abort(self, reason: str) -> None:
        """Close at once; what was written has an unknown outcome."""
        if not self.is_closed:
            self._close_reason = self._close_reason or reason
            self.transport.abortConnection()

    def check_alive(self) -> None:
        """Ping or close a silent connection; called each `silence_seconds`.

        One on which nothing is awaited may be silent, unless it is to be closed.
        """
        nothing_expected = not self.awaited and not self.is_retiring
        if self._heard or (self.peer is not None and nothing_expected):
            self._heard = False
            self._pinged = False
        elif self.peer is None or self._pinged:
            self.abort("silent for too long")
        else:
            self._pinged = True
            self._send_control(Ping())

    def connectionMade(self) -> None:  # noqa: N802
        """Begin the handshake."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, True)
        if self.dialed_peer is not None:
            self._say_hello(self.dialed_peer)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Note that the connection carries bytes, and read frames."""
        self._heard = True
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        if not self.is_closed:
            self._memory.part_received(self, self._part_bytes())

    def _part_bytes(self) -> int:
        """Return how much of an unfinished frame has arrived."""
        is_inside = self._state == self._PARSING_PAYLOAD
        part = self._currentPayloadSize if is_inside else 0
        return len(self._remainingData) + part

    def give_way(self) -> None:
        """Close: of all connections this one has most of an unfinished frame."""
        emit(PeerFrameTooLarge(self._peer_name(), self._part_bytes()))
        self._memory.part_received(self, 0)
        self.abort("no memory for its frame")

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take a frame."""
        self._payload = BytesIO()  # Twisted's would hold the frame until the next one
        decoded = self._codec.decode(string)
        if isinstance(decoded, Err):
            self._refuse(decoded.err_value.message)
        elif self.peer is None:
            self._take_hello(decoded.ok_value)
        else:
            self._take(decoded.ok_value)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Report the end to the owner."""
        self.is_closed = True
        self._memory.part_received(self, 0)
        self._count_transport(0)
        text = self._close_reason or (reason.getErrorMessage() if reason else "")
        self._owner.closed(self, text)
        self._queue.close()

    def pauseProducing(self) -> None:  # noqa: N802
        """Let frames wait here while the transport's buffer is full."""
        self._paused = True
        self._count_transport(TRANSPORT_BYTES + self._last_frame_bytes)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write what waited."""
        self._paused = False
        self._count_transport(0)
        self._flush()

    def stopProducing(self) -> None:  # noqa: N802
        """Write no more."""
        self._paused = True

    def _flush(self) -> None:
        while not self._paused and not self.is_closed:
            frame = self._queue.pop()
            if frame is None:
                self.close_if_finished()
                return
            if frame.request is not None:
                self._await_reply(frame.request)
            self._last_frame_bytes = len(frame.frame)
            self.sendString(frame.frame)  # type: ignore[no-untyped-call]

    def _count_transport(self, size: int) -> None:
        """Count what the transport holds while it is full."""
        self._memory.change_transport(size - self._transport_bytes)
        self._transport_bytes = size

    def _await_reply(self, request: OpenRequest) -> None:
        request.written = True
        self.awaited[request.request_id] = request
        request.on_settled(lambda: self._settled(request.request_id))

    def _settled(self, request_id: int) -> None:
        self.awaited.pop(request_id, None)
        self.close_if_finished()

    def _take(self, envelope: AnyEnvelope) -> None:
        if isinstance(envelope, RequestEnvelope):
            self._owner.received_request(self, envelope)
        elif isinstance(envelope, ReplyEnvelope):
            self._owner.received_reply(self, envelope)
        elif isinstance(envelope, NoticeEnvelope):
            self._owner.received_notice(self, envelope)
        elif isinstance(envelope, Ping):
            self._send_control(Pong())
        elif isinstance(envelope, Goodbye):
            self._goodbye_received = True
            self._owner.retired(self)
            self.retire()
            self.close_if_finished()

    def _take_hello(self, envelope: AnyEnvelope) -> None:
        finding = self._finding_in(envelope)
        if finding is not None or not isinstance(envelope, Hello):
            self._refuse(finding or "no hello")
            return
        if self.dialed_peer is None:
            self._say_hello(envelope.sender.daemon)
        self.peer = envelope.sender
        self.MAX_LENGTH = self._codec.max_message_bytes
        self._owner.established(self)

    def _finding_in(self, envelope: AnyEnvelope) -> str | None:
        if not isinstance(envelope, Hello):
            return "the first envelope is not a hello"
        if envelope.version != PROTOCOL_VERSION:
            return f"protocol version {envelope.version}, not {PROTOCOL_VERSION}"
        if envelope.region != self._region:
            return f"region {envelope.region}, not {self._region}"
        if envelope.receiver != self._own.daemon:
            return f"the call is for {envelope.receiver}"
        if self.dialed_peer not in (None, envelope.sender.daemon):
            return f"{envelope.sender.daemon} answers at its address"
        if not self._owner.accepts(envelope.sender):
            return "an outdated process"
        return None

    def _refuse(self, reason: str) -> None:
        peer = self._peer_name()
        if self.peer is None:
            emit(PeerRefused(peer, reason))
        else:
            emit(MessageNotUnderstood(peer, reason))
        self.abort(reason)

    def _peer_name(self) -> str:
        if self.peer is not None:
            return self.peer.daemon
        return self.dialed_peer or str(self.transport.getPeer())

    def _say_hello(self, receiver: DaemonName) -> None:
        hello = Hello(PROTOCOL_VERSION, self._region, self._own, receiver)
        self._send_control(hello)

    def _send_control(self, envelope: Envelope) -> None:
        self._send_envelope(envelope)

    transport: Any
