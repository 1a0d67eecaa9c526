"""What all peers together make a daemon hold has a bound.

Each of 300 peers could have 64 MB waiting, 20,000 requests under way and a frame of 32 MB
that is not complete.
"""

import pytest
from result import Ok
from twisted.internet.defer import Deferred

from notcharch.errors import Ran
from notcharch.events.memory import PeerFrameTooLarge
from notcharch.values.identifiers import DaemonName, EngineName, Incarnation, Member
from notcharch.values.memory_pool import MemoryPool
from notcharch.wire import connections
from notcharch.wire.codec import Pong, default_codec
from notcharch.wire.connection import HELLO_BYTES
from notcharch.wire.messages.engines import Acknowledged, DrainEngine, ListEngines
from notcharch.wire.peer_memory import (
    RESERVED_FRAMES_BYTES,
    RESERVED_PARTS_BYTES,
    RESERVED_REQUESTS_BYTES,
    SMALL_BYTES,
    PeerMemory,
)
from tests.unit.events.capture import captured, of
from tests.unit.wire.test_connections import acknowledge, outcome
from tests.unit.wire.worlds import BETA, REGION, TcpWorld, has_fired, value_of

KILOBYTE = 1024
LARGE = 100 * KILOBYTE
BOUND = 5 * LARGE
PEERS = [DaemonName(f"peer{number}") for number in range(10)]
DRAIN = DrainEngine(EngineName("engine-1"), True)


def large(kilobytes: int = 100) -> DrainEngine:
    return DrainEngine(EngineName("x" * kilobytes * KILOBYTE), True)


def ends_of(pump):
    """Return the protocols of both ends, without the wrappers of endpoints."""
    return [getattr(end, "_wrappedProtocol", end) for end in (pump.client, pump.server)]


class World:
    """One daemon with bounds, and ten peers."""

    def __init__(self, memory=None) -> None:
        self.tcp = TcpWorld()
        self.outgoing = MemoryPool(BOUND).holder("outgoing")
        self.incoming = MemoryPool(BOUND).holder("incoming")
        self.tcp.memory = memory or PeerMemory(self.outgoing, self.incoming)
        self.bounded = self.tcp.start(BETA)
        self.tcp.memory = None
        self.peers = [self.tcp.start(name) for name in PEERS]
        for network in (self.bounded, *self.peers):
            network.on_request(DrainEngine, acknowledge)
        asked = [self.bounded.request(name, DRAIN, 5.0) for name in PEERS]
        self.run(0.5)
        assert [value_of(reply) for reply in asked] == [Ok(Acknowledged())] * 10

    def run(self, seconds: float) -> None:
        self.tcp.run(seconds)


def test_frames_for_peers_that_do_not_read_have_one_bound():
    world = World()
    world.tcp.reactor.stop_all()
    asked = [
        world.bounded.request(name, large(), 60.0) for _ in range(5) for name in PEERS
    ]
    assert world.outgoing.held <= BOUND
    refused = [reply for reply in asked if has_fired(reply)]
    # One of each peer is in its transport.
    assert len(refused) >= 50 - 10 - 5
    assert all(outcome(reply) == ("unavailable", Ran.NO) for reply in refused)
    small = world.bounded.request(PEERS[0], DRAIN, 60.0)
    assert not has_fired(small), "there is room for small ones"
    world.run(10.0)
    assert world.outgoing.held == 0, "closed connections hold nothing"


def test_a_reply_without_room_is_answered_in_short():
    world = World()

    async def answer_much(sender, message):
        del sender, message
        return large()

    world.bounded.on_request(ListEngines, answer_much)
    world.outgoing.change(BOUND - LARGE)
    asked = [peer.request(BETA, ListEngines(), 5.0) for peer in world.peers]
    world.run(0.5)
    assert {outcome(reply) for reply in asked} == {("overloaded", Ran.UNKNOWN)}
    again = [peer.request(BETA, DRAIN, 5.0) for peer in world.peers]
    world.run(0.5)
    assert [value_of(reply) for reply in again] == [Ok(Acknowledged())] * 10


def test_requests_of_all_peers_under_way_have_one_bound():
    world = World()
    ran: list[Deferred] = []

    async def wait(sender, message):
        del sender, message
        ran.append(Deferred())
        return await ran[-1]

    world.bounded._handlers._requests[DrainEngine] = wait
    asked = [peer.request(BETA, large(40), 60.0) for peer in world.peers]
    world.run(1.0)
    refused = [reply for reply in asked if has_fired(reply)]
    assert (len(ran), len(refused)) == (4, 6)
    assert all(outcome(reply) == ("overloaded", Ran.NO) for reply in refused)
    small = world.peers[0].request(BETA, DRAIN, 60.0)
    world.run(0.1)
    assert len(ran) == 5
    for held in ran:
        held.callback(Acknowledged())
    world.run(0.5)
    assert value_of(small) == Ok(Acknowledged())
    assert world.incoming.held == 0


def test_unfinished_frames_of_all_peers_have_one_bound_and_the_largest_goes():
    world = World()
    pumps = world.tcp.reactor.pumps
    with captured() as messages:
        for number, pump in enumerate(pumps):
            size = (50 + number) * KILOBYTE
            ends = {end.peer.daemon: end for end in ends_of(pump)}
            end = ends[BETA]
            end.transport.write(b"9000000:" + b"x" * size)
            world.tcp.reactor.pump()
            assert world.incoming.held <= BOUND + size
    (event,) = of(messages, PeerFrameTooLarge)
    assert event["received_bytes"] == 59 * KILOBYTE
    assert len(world.tcp.reactor.open_connections()) == 9
    world.tcp.reactor.stop_all()
    world.bounded.stop()
    world.run(0.1)
    assert world.incoming.held == 0


def test_a_pool_that_others_filled_does_not_cut_a_daemon_off():
    """A frame of 20 bytes closed its connection, and each request was refused."""
    pool = MemoryPool(BOUND)
    outgoing = pool.holder("outgoing", 0.25, RESERVED_FRAMES_BYTES)
    incoming = pool.holder("incoming", 0.25, RESERVED_REQUESTS_BYTES)
    parts = pool.holder("parts", 0.25, RESERVED_PARTS_BYTES)
    world = World(PeerMemory(outgoing, incoming, parts))
    pool.holder("turns", 2.0).change(2 * BOUND)
    before = world.tcp.reactor.open_connections()
    pong = default_codec().encode(Pong()).ok_value
    frame = b"%d:%b," % (len(pong), pong)
    for part in (frame[:-2], frame[-2:]):
        for pump in world.tcp.reactor.pumps:
            end = {end.peer.daemon: end for end in ends_of(pump)}[BETA]
            end.transport.write(part)
        world.tcp.reactor.pump()
    assert len(before) == 10
    assert world.tcp.reactor.open_connections() == before
    asked = [world.bounded.request(name, DRAIN, 5.0) for name in PEERS]
    again = [peer.request(BETA, DRAIN, 5.0) for peer in world.peers]
    world.run(0.5)
    assert [value_of(reply) for reply in asked + again] == [Ok(Acknowledged())] * 20
    refused = world.bounded.request(PEERS[0], large(), 5.0)
    assert outcome(refused) == ("unavailable", Ran.NO)
    assert outgoing.held == incoming.held == parts.held == 0


def test_nobody_can_send_a_large_frame_before_the_handshake():
    world = World()
    server = world.bounded.new_connection(None)
    stranger = world.peers[0].new_connection(None)
    world.tcp.reactor.join(server, stranger)
    stranger.transport.write(b"%d:" % (HELLO_BYTES + 1) + b"x" * HELLO_BYTES)
    world.run(0.1)
    assert server.is_closed


def test_strangers_connections_have_a_number(monkeypatch):
    monkeypatch.setattr(connections, "MAX_UNSHAKEN", 3)
    world = World()
    factory = connections.PeerConnectionFactory(world.bounded)
    made = [factory.buildProtocol(None) for _ in range(5)]
    assert [protocol is None for protocol in made] == [False] * 3 + [True] * 2


def test_connections_that_a_daemon_dials_do_not_count_as_strangers(monkeypatch):
    """With 400 peers being dialled, each connection that a peer opened was closed."""
    monkeypatch.setattr(connections, "MAX_UNSHAKEN", 3)
    world = World()
    for name in PEERS:
        dialing = connections.PeerConnectionFactory(world.bounded, name)
        assert dialing.buildProtocol(None) is not None
    factory = connections.PeerConnectionFactory(world.bounded)
    made = [factory.buildProtocol(None) for _ in range(4)]
    assert [protocol is None for protocol in made] == [False] * 3 + [True]
    world.bounded.closed(made[0], "gone")
    assert factory.buildProtocol(None) is not None


@pytest.mark.parametrize("size", [0, SMALL_BYTES, 30 * KILOBYTE])
def test_a_connection_at_rest_holds_no_frame(size):
    """Twisted's buffer holds the last frame until the next one begins."""
    world = World()
    reply = world.peers[0].request(BETA, DrainEngine(EngineName("x" * size), True), 5.0)
    world.run(0.5)
    value_of(reply)
    for pump in world.tcp.reactor.pumps:
        for end in ends_of(pump):
            assert len(end._payload.getbuffer()) == 0


def test_the_size_of_a_hello_is_far_from_its_bound():
    member = Member(DaemonName("d" * 255), Incarnation(1 << 62))
    hello = connections.PeerConnection(
        None, member, region=REGION, codec=default_codec(), limits=TcpWorld().limits
    )
    assert hello.MAX_LENGTH == HELLO_BYTES > 10 * 2 * 255
