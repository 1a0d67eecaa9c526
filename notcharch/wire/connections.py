"""The `PeerNetwork` over TCP: one kept connection to each peer."""

from random import Random
from typing import Any

from result import Err, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IListeningPort, IReactorTCP, IReactorTime
from twisted.internet.protocol import ServerFactory

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.events.event import emit
from notcharch.events.steady_loop import steady_loop
from notcharch.events.wire import MessageNotUnderstood
from notcharch.values.identifiers import DaemonName, Incarnation, Member, RegionName
from notcharch.wire.codec import (
    MessageCodec,
    NoticeEnvelope,
    ReplyEnvelope,
    RequestEnvelope,
)
from notcharch.wire.connection import PeerConnection
from notcharch.wire.handlers import HandlerTable, answer_own
from notcharch.wire.limits import DEFAULT_LIMITS, ConnectionLimits
from notcharch.wire.link import PeerLink
from notcharch.wire.messages.base import Message, Refusal
from notcharch.wire.open_requests import OpenRequests, reply_of
from notcharch.wire.peer_memory import PeerMemory
from notcharch.wire.peers import NoticeHandler, RequestHandler


class PeerConnectionFactory(ServerFactory):
    """Makes connections of either side for one network."""

    noisy = False

    def __init__(
        self, network: "TcpPeerNetwork", dialed_peer: DaemonName | None = None
    ) -> None:
        """Make dialling connections for `dialed_peer`, else accepting ones."""
        self._network = network
        self._dialed_peer = dialed_peer

    def buildProtocol(self, addr: object) -> PeerConnection | None:  # noqa: N802
        """Make the protocol of a new connection; None closes it at once."""
        if self._dialed_peer is None and not self._network.accepts_connection():
            return None
        return self._network.new_connection(self._dialed_peer)


class TcpPeerNetwork:
    """The peers of one daemon, by IP number."""

    def __init__(
        self,
        reactor: IReactorTCP,
        clock: IReactorTime,
        *,
        own: Member,
        region: RegionName,
        codec: MessageCodec,
        random: Random,
        limits: ConnectionLimits = DEFAULT_LIMITS,
        memory: PeerMemory | None = None,
    ) -> None:
        """Use `reactor` for sockets and `clock` for every time-out and delay.

        `memory` bounds what all connections hold together.
        """
        self._memory = memory or PeerMemory()
        self._reactor = reactor
        self._clock = clock
        self._own = own
        self._region = region
        self._codec = codec
        self._random = random
        self._limits = limits
        self._handlers = HandlerTable()
        self._own_requests = OpenRequests(clock)
        self._links: dict[DaemonName, PeerLink] = {}
        self._unshaken: set[PeerConnection] = set()
        """Connections of either side whose handshake is not over."""
        self._accepted: set[PeerConnection] = set()
        """Those of them that others have opened."""
        self._port: IListeningPort | None = None
        self._factory = PeerConnectionFactory(self)
        self._checks = steady_loop(clock, "peers", self._check_alive)

    @property
    def own_member(self) -> Member:
        """This process."""
        return self._own

    def listen(self, host: str, port: int) -> int:
        """Accept peers; gives the bound port number (`port` 0 draws one)."""
        self._port = self._reactor.listenTCP(port, self._factory, 50, host)
        self._checks.start(self._limits.silence_seconds, now=False)
        number: int = self._port.getHost().port  # type: ignore[attr-defined]
        return number

    def stop(self) -> "Deferred[None]":
        """Accept no more and close every connection; open requests fail."""
        if self._checks.running:
            self._checks.stop()
        for daemon in tuple(self._links):
            self.forget(daemon)
        for connection in tuple(self._unshaken):
            connection.abort("the daemon stops")
        port, self._port = self._port, None
        stopping = None if port is None else port.stopListening()
        return succeed(None) if stopping is None else stopping

    def request(
        self, destination: DaemonName, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send a request and give its reply; see `PeerNetwork.request`."""
        description = f"{type(message).__name__} to {destination}"
        if destination == self._own.daemon:
            request = self._own_requests.open(description, timeout_seconds)
            answer_own(self._clock, self._handlers, self._own, request, message)
            return request.answered
        link = self._link(destination)
        request = link.open(description, timeout_seconds)
        raw = self._codec.encode_message(message)
        frame = self._codec.encode(RequestEnvelope(request.request_id, raw))
        if isinstance(frame, Err):
            request.settle(frame)
        else:
            link.send_request(request, frame.ok_value)
        return request.answered

    def notify(self, destination: DaemonName, message: Message) -> None:
        """Send a one-way message; it may be lost."""
        if destination == self._own.daemon:
            take = self._handlers.take_notice
            self._clock.callLater(0, take, self._own, message)
            return
        raw = self._codec.encode_message(message)
        frame = self._codec.encode(NoticeEnvelope(raw))
        if not isinstance(frame, Err):
            name = type(message).__name__
            self._link(destination).send_notice(name, frame.ok_value)

    def connected_peers(self) -> tuple[DaemonName, ...]:
        """Return the peers that a notice reaches without a new connection."""
        return tuple(name for name, link in self._links.items() if link.is_connected)

    def connected_process(self, daemon: DaemonName) -> Incarnation | None:
        """Return the process of a connected peer; None if it is not connected."""
        link = self._links.get(daemon)
        return None if link is None else link.connected_process

    def on_request(self, message_type: type[Message], handler: RequestHandler) -> None:
        """Register the one handler of a request type."""
        self._handlers.on_request(message_type, handler)

    def on_notice(self, message_type: type[Message], handler: NoticeHandler) -> None:
        """Register a handler of a notice type."""
        self._handlers.on_notice(message_type, handler)

    def set_address(self, daemon: DaemonName, address: str) -> None:
        """Learn or change a peer's `host:port`."""
        if daemon != self._own.daemon:
            self._link(daemon).set_address(address)

    def forget(self, daemon: DaemonName) -> None:
        """Drop a peer that is gone, failing its open requests."""
        link = self._links.pop(daemon, None)
        if link is not None:
            link.close("the peer is gone")

    def accepts_connection(self) -> bool:
        """Return whether another connection may begin its handshake."""
        return len(self._accepted) < MAX_UNSHAKEN

    def new_connection(self, dialed_peer: DaemonName | None) -> PeerConnection:
        """Make the protocol of a connection (for the factory)."""
        connection = PeerConnection(
            self,
            self._own,
            region=self._region,
            codec=self._codec,
            limits=self._limits,
            dialed_peer=dialed_peer,
            memory=self._memory,
        )
        self._unshaken.add(connection)
        if dialed_peer is None:
            self._accepted.add(connection)
        return connection

    def accepts(self, member: Member) -> bool:
        """Refuse this process's own name and outdated processes of peers."""
        if member.daemon == self._own.daemon:
            return False
        link = self._links.get(member.daemon)
        return link is None or link.accepts(member.incarnation)

    def established(self, connection: PeerConnection) -> None:
        """Give a shaken connection to its link."""
        self._handshake_over(connection)
        if connection.peer is not None:
            link = self._link(connection.peer.daemon)
            link.established(connection, connection.peer)

    def _handshake_over(self, connection: PeerConnection) -> None:
        self._unshaken.discard(connection)
        self._accepted.discard(connection)

    def retired(self, connection: PeerConnection) -> None:
        """Tell the link of a connection that the peer will close it."""
        link = self._links.get(connection.peer.daemon) if connection.peer else None
        if link is not None:
            link.retired(connection)

    def closed(self, connection: PeerConnection, reason: str) -> None:
        """Tell the link of a connection that it ended."""
        self._handshake_over(connection)
        peer = connection.peer.daemon if connection.peer else connection.dialed_peer
        link = None if peer is None else self._links.get(peer)
        if link is not None:
            link.closed(connection, reason)

    def received_request(
        self, connection: PeerConnection, envelope: RequestEnvelope
    ) -> None:
        """Answer a peer's request when its handler has finished."""
        sender = connection.peer
        assert sender is not None
        request_id = envelope.request_id
        size = len(envelope.message)
        if connection.answering >= self._limits.open_answers:
            text = "too many requests of this peer are under way"
            self._reply(connection, request_id, _overloaded(text))
            return
        if not self._memory.take_request(size):
            text = "too many requests of all peers are under way"
            self._reply(connection, request_id, _overloaded(text))
            return
        connection.answering += 1
        decoded = self._codec.decode_message(envelope.message)
        if isinstance(decoded, Err):
            reason = decoded.err_value.message
            answering = self._handlers.refuse_unknown(sender, reason)
        else:
            answering = self._handlers.answer(sender, decoded.ok_value)
        answering.addCallback(self._finish_answer, connection, request_id, size)

    def received_reply(
        self, connection: PeerConnection, envelope: ReplyEnvelope
    ) -> None:
        """Settle the request that a peer replied to."""
        request = connection.awaited.get(envelope.request_id)
        if request is None:
            return
        decoded = self._codec.decode_message(envelope.message)
        if isinstance(decoded, Err):
            text = decoded.err_value.message
            problem = Problem.of(ProblemCode.INTERNAL, text, ran=Ran.UNKNOWN)
            request.settle(Err(problem))
        else:
            request.settle(reply_of(decoded.ok_value))

    def received_notice(
        self, connection: PeerConnection, envelope: NoticeEnvelope
    ) -> None:
        """Give a peer's notice to its handlers."""
        sender = connection.peer
        assert sender is not None
        decoded = self._codec.decode_message(envelope.message)
        if isinstance(decoded, Err):
            emit(MessageNotUnderstood(sender.daemon, decoded.err_value.message))
        else:
            self._handlers.take_notice(sender, decoded.ok_value)

    def _finish_answer(
        self, reply: Message, connection: PeerConnection, request_id: int, size: int
    ) -> None:
        connection.answering -= 1
        self._memory.release_request(size)
        self._reply(connection, request_id, reply)
        connection.close_if_finished()

    def _reply(
        self, connection: PeerConnection, request_id: int, reply: Message
    ) -> None:
        raw = self._codec.encode_message(reply)
        if len(raw) > self._codec.max_message_bytes - ENVELOPE_BYTES:
            text = f"the reply of {len(raw)} bytes is too large"
            problem = Problem.of(ProblemCode.BODY_TOO_LARGE, text, ran=Ran.UNKNOWN)
            raw = self._codec.encode_message(Refusal(problem))

        def otherwise() -> ReplyEnvelope:
            text = "too much waits to be sent to peers"
            problem = Problem.of(
                ProblemCode.OVERLOADED, text, ran=Ran.UNKNOWN, retry_after=1.0
            )
            refusal = self._codec.encode_message(Refusal(problem))
            return ReplyEnvelope(request_id, refusal)

        connection.send_reply(ReplyEnvelope(request_id, raw), otherwise)

    def _link(self, daemon: DaemonName) -> PeerLink:
        link = self._links.get(daemon)
        if link is None:
            link = PeerLink(
                self._own.daemon,
                daemon,
                self._clock,
                random=self._random,
                limits=self._limits,
                dial=self._dial,
                memory=self._memory,
            )
            self._links[daemon] = link
        return link

    def _dial(self, peer: DaemonName, address: str) -> "Deferred[Any]":
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        endpoint_type = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        seconds = self._limits.connect_seconds
        endpoint = endpoint_type(self._reactor, host, int(port), timeout=seconds)
        return endpoint.connect(PeerConnectionFactory(self, peer))

    def _check_alive(self) -> None:
        for link in tuple(self._links.values()):
            link.check_alive()
        for connection in tuple(self._unshaken):
            connection.check_alive()


MAX_UNSHAKEN = 400
"""Accepted connections whose handshake is not over; they end after twice
`silence_seconds`. Dialled ones are as many as there are peers: after an outage of the
network all are dialled at once, and those that peers dial must not be closed for them."""
ENVELOPE_BYTES = 64
"""More than an envelope adds to its message."""


def _overloaded(text: str) -> Refusal:
    problem = Problem.of(ProblemCode.OVERLOADED, text, retry_after=1.0)
    return Refusal(problem)
