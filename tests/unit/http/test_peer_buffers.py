"""Whose connection is cut when callers and engines together hold too much."""

import socket
from types import SimpleNamespace

from twisted.internet import tcp

from notcharch.http.buffered_bytes import (
    CONNECTION_BYTES,
    MIN_CONNECTION_BYTES,
    connection_bytes,
    is_behind,
)
from notcharch.http.peer_buffers import (
    CHECK_CHANGES,
    CHECK_SHARE,
    HeldForPeer,
    PeerBuffers,
    peers_to_cut,
)
from notcharch.http.sockets import takes_bytes
from tests.unit.http.test_slow_readers import Caller

MEGABYTE = 1024 * 1024


def held(peer, unread, received=0, *, takes_bytes=False):
    return HeldForPeer(peer, unread, received, takes_bytes)


class Peer:
    """A connection whose socket takes bytes or not, as tests tell it."""

    def __init__(self, *, takes_bytes: bool) -> None:
        self.takes_bytes = takes_bytes
        self.is_cut = False
        self.asked = 0

    def cut(self, _: int) -> None:
        self.is_cut = True


class CountingPeer(Peer):
    """Counts how often its socket is asked."""

    @property
    def takes_bytes(self) -> bool:
        self.asked += 1
        return True

    @takes_bytes.setter
    def takes_bytes(self, value: bool) -> None:
        pass


def slow_caller(buffers, size: int = 100_000) -> Caller:
    caller = Caller(buffers)
    caller.exchange.respond(200, [], b"x" * size)
    return caller


def test_a_caller_that_has_just_been_given_a_large_answer_is_not_cut_for_slow_ones():
    """Guards against a caller that reads at once and is cut as it holds most."""
    buffers = PeerBuffers(MEGABYTE)
    slow = [slow_caller(buffers) for _ in range(10)]
    reader = slow_caller(buffers, 300_000)
    assert not reader.transport.is_aborted
    assert slow[0].transport.is_aborted
    reader.transport.read()
    assert reader.transport.sent.endswith(b"x" * 300_000)


def test_the_caller_that_has_not_read_for_longest_is_cut_first():
    """Guards against cutting by size, or by the time of the request."""
    buffers = PeerBuffers(MEGABYTE)
    sizes = [90_000, 90_000, 200_000, 90_000, 90_000]
    callers = [slow_caller(buffers, size) for size in sizes]
    for caller in callers[:2] + callers[3:]:
        caller.transport.read(CONNECTION_BYTES)
    last = slow_caller(buffers, 750_000)
    cut = [caller.transport.is_aborted for caller in [*callers, last]]
    assert cut == [False, False, True, False, False, False]


def test_growth_is_no_sign_of_reading():
    """Guards against a caller that is spared because it is given more and more."""
    buffers = PeerBuffers(1000)
    first, second = Peer(takes_bytes=False), Peer(takes_bytes=False)
    buffers.changed(first, 400)
    buffers.changed(second, 400)
    buffers.changed(first, 700)
    assert first.is_cut
    assert not second.is_cut
    assert buffers.total == 400


def test_requests_that_wait_are_no_sign_of_not_reading():
    """Guards against cutting first who sent a request earlier and was given nothing yet."""
    buffers = PeerBuffers(1000)
    first, second = Peer(takes_bytes=False), Peer(takes_bytes=False)
    buffers.changed(first, 0, 10)
    buffers.changed(second, 500)
    buffers.changed(first, 600, 10)
    assert second.is_cut
    assert not first.is_cut


def test_what_a_socket_still_takes_is_not_held():
    """Guards against an answer that counts before its caller could read any of it."""
    assert (
        peers_to_cut([held("slow", 900), held("given", 5000, takes_bytes=True)], 1000)
        == []
    )


def test_a_peer_whose_socket_takes_bytes_is_never_cut_for_what_it_was_given():
    """Guards against cutting who reads, whatever others hold."""
    peers = [held("reads", 900, takes_bytes=True), held("a", 600), held("b", 600)]
    assert peers_to_cut(peers, 1000) == ["a"]
    assert peers_to_cut(peers, 100) == ["a", "b"]


def test_those_that_sent_without_room_are_cut_after_those_that_do_not_read():
    """Guards against uploads that are cut for answers that nobody reads."""
    peers = [held("small", 0, 200), held("large", 0, 500), held("unread", 400)]
    assert peers_to_cut(peers, 1000) == ["unread"]
    assert peers_to_cut(peers, 700) == ["unread", "large"]


def test_no_more_is_cut_than_needed():
    """Guards against a cut for each write once the limit is reached."""
    peers = [held(number, 100) for number in range(11)]
    assert peers_to_cut(peers, 1000) == [0, 1, 2]
    assert peers_to_cut(peers[1:], 1000) == []


def test_sockets_are_not_asked_for_each_change():
    """Guards against a search through all connections for each write above the limit."""
    buffers = PeerBuffers(1000)
    peers = [CountingPeer(takes_bytes=True) for _ in range(20)]
    for peer in peers:
        buffers.changed(peer, 100)
    asked = sum(peer.asked for peer in peers)
    for _ in range(CHECK_CHANGES - 1):
        buffers.changed(peers[-1], 100)
    assert sum(peer.asked for peer in peers) <= asked + len(peers)
    assert buffers.total == 2000


def test_a_peer_that_stops_to_read_above_the_limit_is_found():
    """Guards against bytes above the limit that stay because nothing grows any more."""
    buffers = PeerBuffers(1000)
    first, second = Peer(takes_bytes=True), Peer(takes_bytes=True)
    buffers.changed(first, 900)
    buffers.changed(second, 800)
    first.takes_bytes = second.takes_bytes = False
    for _ in range(CHECK_CHANGES):
        buffers.changed(second, 800)
    assert first.is_cut
    assert buffers.total == 800


def test_the_total_does_not_grow_unseen_above_the_limit():
    """Guards against a bound that grows with each check."""
    buffers = PeerBuffers(6400)
    reader = Peer(takes_bytes=True)
    buffers.changed(reader, 10_000)
    slow = [Peer(takes_bytes=False) for _ in range(200)]
    for peer in slow:
        buffers.changed(peer, 64)
        stalled = sum(64 for other in slow if not other.is_cut)
        assert buffers.total - 10_000 <= stalled
        assert buffers.total - 10_000 <= 6400 * (1 + CHECK_SHARE) + 64
    assert not reader.is_cut


def test_a_socket_takes_bytes_until_its_buffer_is_full():
    """Guards against a wrong reading of what the system tells of a socket."""
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    reactor = SimpleNamespace(removeReader=lambda _: None, removeWriter=lambda _: None)
    connection = tcp.Connection(near, None, reactor)
    assert not takes_bytes(connection), "it is not connected yet"
    connection.connected = True
    assert takes_bytes(connection)
    sent = 0
    try:
        while True:
            sent += near.send(b"x" * 65536)
    except BlockingIOError:
        pass
    assert not takes_bytes(connection)
    while sent:
        sent -= len(far.recv(sent))
    assert takes_bytes(connection)
    far.close()
    assert not takes_bytes(connection)
    near.close()


def test_engines_wait_earlier_while_memory_is_short():
    """Guards against callers that read steadily and are cut as each may hold its bound."""
    limit = 8 * MEGABYTE
    assert connection_bytes(0, limit) == CONNECTION_BYTES
    assert connection_bytes(limit * 3 // 4, limit) == CONNECTION_BYTES
    assert connection_bytes(7 * MEGABYTE, limit) > MIN_CONNECTION_BYTES
    assert connection_bytes(7 * MEGABYTE, limit) < CONNECTION_BYTES
    assert connection_bytes(2 * limit, limit) == MIN_CONNECTION_BYTES
    assert is_behind(False, MIN_CONNECTION_BYTES + 1, MIN_CONNECTION_BYTES)
    assert is_behind(True, MIN_CONNECTION_BYTES // 2 + 1, MIN_CONNECTION_BYTES)
    assert not is_behind(True, MIN_CONNECTION_BYTES // 2, MIN_CONNECTION_BYTES)


def test_many_steady_slow_readers_of_long_answers_are_not_cut():
    """Guards against slow callers that read in time and are cut as too many hold 96 KB."""
    read_bytes = 64 * 1024
    buffers = PeerBuffers(8 * MEGABYTE)
    callers: list[Caller] = []
    for _ in range(300):
        if len(callers) < 110:
            callers.append(Caller(buffers))
            callers[-1].exchange.start(200, [])
        for caller in callers:
            if not caller.connection.is_client_behind:
                caller.exchange.write(b"x" * read_bytes)
            caller.transport.read(6000)
    assert not any(caller.transport.is_aborted for caller in callers)
