"""Peers over real sockets of the loopback interface."""

from random import Random

from result import Ok
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.trial.unittest import TestCase

from notcharch.errors import Ran
from notcharch.values.identifiers import (
    DaemonName,
    EngineName,
    Incarnation,
    Member,
    RegionName,
)
from notcharch.wire.codec import default_codec
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.datagrams import UdpDatagramPort
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import Acknowledged, DrainEngine

ALPHA, BETA = DaemonName("alpha"), DaemonName("beta")
LARGE = DrainEngine(EngineName("x" * 3_000_000), True)


async def echo(sender: Member, message: Message) -> Message:
    del sender
    return message


class PeerSockets(TestCase):
    def start(self, name: DaemonName) -> tuple[TcpPeerNetwork, str]:
        network = TcpPeerNetwork(
            reactor,
            reactor,
            own=Member(name, Incarnation(1)),
            region=RegionName("region1"),
            codec=default_codec(),
            random=Random(1),
        )
        port = network.listen("127.0.0.1", 0)
        network.on_request(DrainEngine, echo)
        self.addCleanup(network.stop)
        return network, f"127.0.0.1:{port}"

    def pair(self) -> tuple[TcpPeerNetwork, TcpPeerNetwork]:
        alpha, alpha_address = self.start(ALPHA)
        beta, beta_address = self.start(BETA)
        alpha.set_address(BETA, beta_address)
        beta.set_address(ALPHA, alpha_address)
        return alpha, beta

    async def test_large_messages_both_ways_at_once(self) -> None:
        alpha, beta = self.pair()
        asked = [alpha.request(BETA, LARGE, 60.0) for _ in range(5)]
        asked += [beta.request(ALPHA, LARGE, 60.0) for _ in range(5)]
        replies = await DeferredList(asked)
        assert replies == [(True, Ok(LARGE))] * 10

    async def test_stopped_peer_fails_what_is_open_and_what_follows(self) -> None:
        alpha, beta = self.pair()
        began: Deferred[None] = Deferred()

        def never(sender: Member, message: Message) -> Deferred[Message]:
            del sender, message
            began.callback(None)
            return Deferred()

        beta.on_request(Acknowledged, never)
        asked = alpha.request(BETA, Acknowledged(), 60.0)
        await began
        await beta.stop()
        reply = await asked
        assert reply.err_value.ran is Ran.UNKNOWN
        again = await alpha.request(BETA, Acknowledged(), 60.0)
        assert again.err_value.ran is Ran.NO


class Datagrams(TestCase):
    async def test_a_datagram_tells_its_source(self) -> None:
        ports = [UdpDatagramPort(), UdpDatagramPort()]
        numbers = [port.listen(reactor, "127.0.0.1", 0) for port in ports]
        for port in ports:
            self.addCleanup(lambda port=port: maybeDeferred(port.close))
        received: Deferred[tuple[bytes, str]] = Deferred()
        ports[1].on_datagram(lambda data, source: received.callback((data, source)))
        ports[0].send("no address", b"lost")
        ports[0].send(f"127.0.0.1:{numbers[1]}", b"probe")
        assert await received == (b"probe", f"127.0.0.1:{numbers[0]}")
