"""Connections of callers have a number; each takes some KB although it sends nothing.

8,200 descriptors of connections at rest would take 33 MB of a machine that has 130.
"""

from unittest import mock

import h11
import pytest
from twisted.internet.task import Clock

from notcharch.http import server_connection
from notcharch.http.connection_room import (
    CONNECTION_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    MAX_REFUSED,
    MIN_IDLE_SECONDS,
    ConnectionRoom,
    RefusedConnection,
)
from notcharch.http.exchange import ServerLimits
from notcharch.http.server import ServerFactory, TrackedConnection
from notcharch.values.memory_pool import MemoryPool
from tests.unit.http.pipe import Handler, TcpTransport

MOST = 32
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Listener:
    """A listener, and the connections that callers open."""

    def __init__(self, most=MOST) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.handler = Handler()
        self.handler.server_limits = ServerLimits()
        self.pool = MemoryPool(most * CONNECTION_BYTES)
        self.room = ConnectionRoom(10_000, self.pool.holder("connections"))
        self.factory = ServerFactory(self.handler, self.clock, room=self.room)

    def connect(self):
        """Return the transport of a new connection; None if it is closed at once."""
        protocol = self.factory.buildProtocol(None)
        if protocol is None:
            return None
        transport = TcpTransport()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        return transport

    def is_served(self, transport) -> bool:
        return isinstance(transport.protocol, TrackedConnection)

    def turn(self, transports) -> None:
        """End the connections that were closed."""
        for transport in transports:
            if transport.is_closed:
                transport.protocol.connectionLost()


def test_above_the_bound_the_longest_idle_connections_are_closed():
    listener = Listener()
    transports = [listener.connect() for _ in range(MOST)]
    transports[0].protocol.dataReceived(GET)
    transports[1].protocol.dataReceived(b"GET / HT")
    for number in range(2, MOST):
        listener.clock.advance(0.01)
        transports[number].protocol.dataReceived(GET)
        listener.handler.exchanges[-1].respond(200, [])
        transports[number].drain()
    listener.clock.advance(MIN_IDLE_SECONDS)
    assert listener.is_served(listener.connect())
    closed = [n for n, transport in enumerate(transports) if transport.is_closed]
    assert closed == [2, 3], "a share at once, and none that is in use"


def test_connections_that_close_are_not_counted_and_not_closed_twice():
    listener = Listener()
    first = [listener.connect() for _ in range(MOST)]
    listener.clock.advance(MIN_IDLE_SECONDS)
    second = [listener.connect() for _ in range(MOST)]
    assert all(listener.is_served(transport) for transport in second)
    listener.turn(first)
    assert sum(transport.is_closed for transport in first) == MOST
    assert listener.pool.total == MOST * CONNECTION_BYTES


def test_a_connection_without_room_is_told_503_and_its_request_is_not_read():
    listener = Listener()
    for _ in range(MOST):
        listener.connect().protocol.dataReceived(GET)
    refused = listener.connect()
    assert isinstance(refused.protocol, RefusedConnection)
    refused.protocol.dataReceived(b"POST / HTTP/1.1\r\nHost: h\r\n")
    refused.protocol.dataReceived(b"Content-Length: 2\r\n\r\nab")
    head, _, body = refused.value().partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 0.500" in head
    assert b"\r\nConnection: close" in head
    assert b"Content-Length: %d" % len(body) in head
    assert not refused.is_closed, "the rest of the request is read"
    listener.clock.advance(1.0)
    assert refused.is_closed
    refused.protocol.connectionLost()
    assert len(listener.handler.exchanges) == MOST
    listener.clock.advance(10.0)


def test_refused_connections_that_send_nothing_are_closed_and_have_a_number():
    listener = Listener()
    for _ in range(MOST):
        listener.connect().protocol.dataReceived(GET)
    refused = [listener.connect() for _ in range(MAX_REFUSED)]
    assert listener.connect() is None
    listener.clock.advance(3.1)
    listener.turn(refused)
    assert all(transport.is_closed for transport in refused)
    assert listener.connect() is not None


class CountedConnection:
    """A connection in use that counts how often it was looked at."""

    looks = 0

    @property
    def idle_since(self):
        CountedConnection.looks += 1

    def close_if_idle(self) -> bool:
        raise AssertionError("in use")


@pytest.mark.parametrize("per_second", [10, 1000])
def test_a_full_listener_does_not_search_all_connections_for_each_new_one(per_second):
    """With 5,000 open connections each further one took 3 to 17 ms of the reactor."""
    room = ConnectionRoom(1000)
    for _ in range(1000):
        room.opened(CountedConnection(), 0.0)
    CountedConnection.looks = 0
    for number in range(2 * per_second):
        assert not room.has_room(10.0 + number / per_second)
    assert CountedConnection.looks <= 2 * 1000


def test_the_state_of_a_connection_is_told_without_a_copy_of_what_it_received(
    monkeypatch,
):
    listener = Listener()
    transports = [listener.connect() for _ in range(3)]
    transports[0].protocol.dataReceived(b"GET / HTTP/1.1\r\n" + b"x" * 10_000)
    transports[1].protocol.dataReceived(GET)
    listener.handler.exchanges[-1].respond(200, [])
    transports[1].drain()
    trailing = mock.PropertyMock(side_effect=AssertionError("copied"))
    monkeypatch.setattr(h11.Connection, "trailing_data", trailing)
    states = [transport.protocol.idle_since for transport in transports]
    assert states == [None, 100.0, 100.0]


def test_a_connection_that_did_not_close_as_its_request_came_is_still_counted(
    monkeypatch,
):
    listener = Listener(1000)
    listener.factory = ServerFactory(
        listener.handler, listener.clock, room=ConnectionRoom(2)
    )
    transports = [listener.connect() for _ in range(2)]
    listener.clock.advance(MIN_IDLE_SECONDS)
    with monkeypatch.context() as patch:
        patch.setattr(server_connection, "has_unread_bytes", lambda transport: True)
        assert not listener.is_served(listener.connect())
    assert not any(transport.is_closed for transport in transports)
    for transport in transports:
        transport.protocol.dataReceived(GET)
    listener.clock.advance(MIN_IDLE_SECONDS)
    assert not listener.is_served(listener.connect())


class ProbeListener(Listener):
    """A listener for probes, which are answered as they come."""

    def __init__(self) -> None:
        super().__init__()
        self.handler.handle = lambda exchange: exchange.respond(200, [], b"{}")
        self.factory = ServerFactory(self.handler, self.clock)

    def probe(self):
        transport = self.connect()
        assert self.is_served(transport), "refused"
        transport.protocol.dataReceived(GET)
        assert transport.value().startswith(b"HTTP/1.1 200 ")
        transport.drain()
        return transport


@pytest.mark.parametrize("sent", [b"", b"GET / HT", GET[:-2]])
@pytest.mark.parametrize("seconds", [0.0, 0.5, 2.0])
def test_a_probe_is_answered_whatever_others_have_opened(sent, seconds):
    """64 connections to the port made a ready daemon answer 503 to its probe."""
    listener = ProbeListener()
    others = [listener.connect() for _ in range(DEFAULT_MAX_CONNECTIONS)]
    for transport in others:
        if sent:
            transport.protocol.dataReceived(sent)
    listener.clock.advance(seconds)
    probes = [listener.probe() for _ in range(3)]
    assert [t.is_closed for t in others[:3]] == [True] * 3
    assert not any(transport.is_closed for transport in probes)
    listener.turn(others)
    again = sum(not transport.is_closed for transport in others + probes)
    assert again <= DEFAULT_MAX_CONNECTIONS


def test_a_kept_connection_of_a_probe_outlives_any_number_that_send_nothing():
    listener = ProbeListener()
    kept = listener.probe()
    others = []
    for _ in range(3 * DEFAULT_MAX_CONNECTIONS):
        others.append(listener.connect())
        listener.clock.advance(0.02)
        listener.turn(others)
        others = [transport for transport in others if not transport.is_closed]
    assert not kept.is_closed
    assert len(others) == DEFAULT_MAX_CONNECTIONS - 1


def test_connections_of_probes_that_read_no_answers_give_way_to_others():
    listener = ProbeListener()
    others = [listener.connect() for _ in range(DEFAULT_MAX_CONNECTIONS)]
    for transport in others:
        transport.protocol.dataReceived(GET)
        assert transport.protocol._out.buffered
    listener.probe()
    assert [t.is_closed for t in others] == [True] + [False] * 63
    listener.turn(others)
    assert listener.handler.in_flight == 0


def test_a_probe_whose_request_was_not_read_yet_is_not_closed_for_another(monkeypatch):
    listener = ProbeListener()
    first = listener.connect()
    others = [listener.connect() for _ in range(DEFAULT_MAX_CONNECTIONS - 1)]
    monkeypatch.setattr(server_connection, "has_unread_bytes", lambda t: t is first)
    listener.probe()
    assert not first.is_closed
    assert others[0].is_closed


def test_some_callers_are_served_while_others_fill_the_pool():
    """Callers were refused, busy or not, by a daemon that was shown as ready."""
    listener = Listener()
    pool = MemoryPool(MOST * CONNECTION_BYTES)
    held = pool.holder("connections", 0.3, 4 * CONNECTION_BYTES)
    room = ConnectionRoom(10_000, held)
    listener.factory = ServerFactory(listener.handler, listener.clock, room=room)
    pool.holder("turns", 2.0).change(2 * MOST * CONNECTION_BYTES)
    first = [listener.connect() for _ in range(4)]
    assert all(listener.is_served(transport) for transport in first)
    for transport in first:
        transport.protocol.dataReceived(GET)
    assert not listener.is_served(listener.connect())
    first[0].protocol.connectionLost()
    assert listener.is_served(listener.connect())


def test_a_connection_that_is_refused_is_open_until_its_answer_has_left():
    """A planned stop ended while such were answered: their callers saw a reset."""
    listener = Listener()
    busy = [listener.connect() for _ in range(MOST)]
    for transport in busy:
        transport.protocol.dataReceived(GET)
    answered, silent = listener.connect(), listener.connect()
    answered.protocol.dataReceived(GET)
    for transport in busy:
        transport.protocol.connectionLost()
    assert listener.factory.open_connections == 2
    listener.clock.advance(0.2)
    listener.factory.close_idle()
    assert not silent.is_closed, "its request may be on its way"
    listener.clock.advance(0.2)
    listener.factory.close_idle()
    assert silent.is_closed
    assert not answered.is_closed
    listener.clock.advance(0.2)
    assert answered.is_closed
    assert listener.factory.open_connections == 2
    listener.turn([answered, silent])
    assert listener.factory.open_connections == 0


def test_a_connection_whose_answer_is_not_read_yet_is_not_idle():
    listener = Listener()
    transports = [listener.connect() for _ in range(MOST)]
    for transport in transports:
        transport.protocol.dataReceived(GET)
        listener.handler.exchanges[-1].respond(200, [], b"x" * 100)
    listener.clock.advance(MIN_IDLE_SECONDS)
    assert isinstance(listener.connect().protocol, RefusedConnection)


@pytest.mark.parametrize("most", [1, 2, 256])
def test_a_number_of_connections_bounds_as_well(most):
    listener = Listener(1000)
    listener.factory = ServerFactory(
        listener.handler, listener.clock, room=ConnectionRoom(most)
    )
    served = [listener.is_served(listener.connect()) for _ in range(most + 1)]
    assert served == [True] * most + [False]


def test_the_number_of_refused_connections_can_be_lower():
    """They took the descriptors that probes need: readiness was reset (a trial)."""
    listener = Listener(1000)
    room = ConnectionRoom(1, max_refused=2)
    listener.factory = ServerFactory(listener.handler, listener.clock, room=room)
    made = [listener.connect() for _ in range(5)]
    assert [transport is not None for transport in made] == [True] * 3 + [False] * 2
