"""The `PeerNetwork` and `DatagramPort` of one daemon on a `MemoryFabric`."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from emulator.peers.time import MemberClock
from notcharch.errors import Problem
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName
from notcharch.wire.codec import (
    Envelope,
    NoticeEnvelope,
    ReplyEnvelope,
    RequestEnvelope,
)
from notcharch.wire.datagrams import DatagramListener
from notcharch.wire.handlers import HandlerTable, answer_own
from notcharch.wire.messages.base import Message
from notcharch.wire.open_requests import OpenRequest, OpenRequests, reply_of
from notcharch.wire.peers import NoticeHandler, RequestHandler

if TYPE_CHECKING:
    from emulator.peers.fabric import MemoryFabric

DIAL_FAILURE_SECONDS = 3.0
"""A link cut for so long has lost its connection: requests fail unwritten."""


class MemoryPeerNetwork:
    """The `PeerNetwork` of one daemon on the fabric."""

    def __init__(self, fabric: "MemoryFabric", daemon: "MemoryDaemon") -> None:
        """Begin without handlers or open requests."""
        self._fabric = fabric
        self._daemon = daemon
        self._handlers = HandlerTable()
        self._open: dict[DaemonName, OpenRequests] = {}
        self._forgotten: set[DaemonName] = set()

    @property
    def own_member(self) -> Member:
        """This process."""
        return self._daemon.member

    def request(
        self, destination: DaemonName, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send a request and give its reply; see `PeerNetwork.request`."""
        open_requests = self._open_to(destination)
        name = f"{type(message).__name__} to {destination}"
        request = open_requests.open(name, timeout_seconds)
        if destination == self.own_member.daemon:
            clock, own = self._daemon.clock, self.own_member
            answer_own(clock, self._handlers, own, request, message)
        elif self._can_write(destination):
            self._send_request(request, destination, message)
        else:
            self._daemon.clock.callLater(0, _fail_unwritten, request)
        return request.answered

    def notify(self, destination: DaemonName, message: Message) -> None:
        """Send a one-way message."""
        own = self.own_member
        if destination == own.daemon:
            self._daemon.clock.callLater(0, self._handlers.take_notice, own, message)
            return
        if not self._can_write(destination):
            return
        packed = self._pack(message, NoticeEnvelope)
        if isinstance(packed, Err):
            return
        peer = self._fabric.daemon(destination).network
        self._fabric.transmit(
            (own.daemon, destination),
            lambda: peer.take_notice(own, packed.ok_value),
        )

    def connected_peers(self) -> tuple[DaemonName, ...]:
        """Return the peers that a notice reaches: all that run."""
        own = self.own_member.daemon
        names = self._fabric.running_names()
        return tuple(name for name in names if name != own and self._can_write(name))

    def connected_process(self, daemon: DaemonName) -> Incarnation | None:
        """Return the process of a connected peer; None if it is not connected."""
        if daemon not in self.connected_peers():
            return None
        return self._fabric.daemon(daemon).member.incarnation

    def on_request(self, message_type: type[Message], handler: RequestHandler) -> None:
        """Register the one handler of a request type."""
        self._handlers.on_request(message_type, handler)

    def on_notice(self, message_type: type[Message], handler: NoticeHandler) -> None:
        """Register a handler of a notice type."""
        self._handlers.on_notice(message_type, handler)

    def set_address(self, daemon: DaemonName, address: str) -> None:
        """Make a removed peer reachable again; names serve as addresses."""
        self._forgotten.discard(daemon)

    def forget(self, daemon: DaemonName) -> None:
        """Remove a stopped peer; its open requests fail."""
        self._forgotten.add(daemon)
        self._fail_open(daemon, "the peer is gone")

    def connection_lost(self, peer: Member) -> None:
        """Fail the open requests to a process that ended."""
        self._fail_open(peer.daemon, "the connection was lost")

    def _open_to(self, destination: DaemonName) -> OpenRequests:
        return self._open.setdefault(destination, OpenRequests(self._daemon.clock))

    def _fail_open(self, destination: DaemonName, reason: str) -> None:
        for request in self._open_to(destination).all():
            request.fail_unavailable(reason)

    def _can_write(self, destination: DaemonName) -> bool:
        if destination in self._forgotten or not self._fabric.is_running(destination):
            return False
        link = (self.own_member.daemon, destination)
        cut = self._fabric.plan.cut_seconds(link, self._daemon.clock.seconds())
        return cut is None or cut < DIAL_FAILURE_SECONDS

    def _send_request(
        self, request: OpenRequest, destination: DaemonName, message: Message
    ) -> None:
        own = self.own_member
        packed = self._pack(
            message, lambda raw: RequestEnvelope(request.request_id, raw)
        )
        if isinstance(packed, Err):
            self._daemon.clock.callLater(0, request.settle, packed)
            return
        request.written = True
        peer = self._fabric.daemon(destination)
        self._fabric.transmit(
            (own.daemon, destination),
            lambda: peer.network.take_request(
                self._daemon, request.request_id, packed.ok_value
            ),
        )

    def take_request(
        self, source: "MemoryDaemon", request_id: int, packed: "Packed"
    ) -> None:
        """Answer a request that arrived."""
        message = self._unpack(packed)
        if isinstance(message, Err):
            reason = message.err_value.message
            answering = self._handlers.refuse_unknown(source.member, reason)
        else:
            answering = self._handlers.answer(source.member, message.ok_value)
        answering.addCallback(lambda reply: self._send_reply(source, request_id, reply))

    def _send_reply(
        self, source: "MemoryDaemon", request_id: int, reply: Message
    ) -> None:
        packed = self._pack(reply, lambda raw: ReplyEnvelope(request_id, raw))
        if isinstance(packed, Err):
            return
        own = self.own_member.daemon
        self._fabric.transmit(
            (own, source.member.daemon),
            lambda: source.network.take_reply(own, request_id, packed.ok_value),
        )

    def take_reply(self, sender: DaemonName, request_id: int, packed: "Packed") -> None:
        """Settle the request that a reply belongs to."""
        message = self._unpack(packed)
        reply = message if isinstance(message, Err) else reply_of(message.ok_value)
        self._open_to(sender).reply(request_id, reply)

    def take_notice(self, sender: Member, packed: "Packed") -> None:
        """Pass on a one-way message that arrived."""
        message = self._unpack(packed)
        if isinstance(message, Ok):
            self._handlers.take_notice(sender, message.ok_value)

    def _pack(
        self, message: Message, envelope: Callable[[msgspec.Raw], Envelope]
    ) -> "Result[Packed, Problem]":
        size = 0
        packed: Packed = message
        codec = self._fabric.codec
        if codec is not None:
            packed = codec.encode_message(message)
            frame = codec.encode(envelope(packed))
            if isinstance(frame, Err):
                return frame
            size = len(frame.ok_value)
        self._fabric.count(self.own_member.daemon, type(message).__name__, size)
        return Ok(packed)

    def _unpack(self, packed: "Packed") -> Result[Message, Problem]:
        codec = self._fabric.codec
        if isinstance(packed, msgspec.Raw) and codec is not None:
            return codec.decode_message(packed)
        assert isinstance(packed, Message)
        return Ok(packed)


Packed = Message | msgspec.Raw
"""A message on its way: the object, or its JSON when the fabric encodes."""


def _fail_unwritten(request: OpenRequest) -> None:
    reason = "the peer cannot be reached"
    request.fail_unavailable(reason)


class MemoryDatagramPort:
    """The `DatagramPort` of one daemon on the fabric."""

    def __init__(self, fabric: "MemoryFabric", daemon: "MemoryDaemon") -> None:
        """Begin without a listener."""
        self._fabric = fabric
        self._daemon = daemon
        self._listener: DatagramListener | None = None

    def send(self, address: str, payload: bytes) -> None:
        """Send a payload to an address of the fabric."""
        self._fabric.transmit_datagram(self._daemon, address, payload)

    def on_datagram(self, listener: DatagramListener) -> None:
        """Give every payload that arrives to `listener`."""
        self._listener = listener

    def deliver(self, payload: bytes, source: str) -> None:
        """Pass on a payload that arrived."""
        if self._listener is not None:
            self._listener(payload, source)


class MemoryDaemon:
    """One process on the fabric: its member, place, clock and transports."""

    def __init__(
        self, fabric: "MemoryFabric", member: Member, zone: ZoneName, address: str
    ) -> None:
        """Begin running, without handlers."""
        self.member = member
        self.zone = zone
        self.address = address
        self.clock = MemberClock(fabric.queue)
        self.network = MemoryPeerNetwork(fabric, self)
        self.datagrams = MemoryDatagramPort(fabric, self)
