"""Callers that use a connection until it is closed, and what they note of it."""

from random import Random

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from deploy.soak.observations import Asked, answer_of
from deploy.soak.oracle import Oracle
from deploy.soak.persistent_callers import (
    LONG_PATHS,
    Manner,
    PersistentCallers,
)
from deploy.soak.persistent_connection import PendingAnswer, PersistentConnection
from deploy.soak.settings import LONG_CALL_SECONDS, long_body, long_seconds
from deploy.soak.tenants import Tenants

HEADERS = [(b"Host", b"h")]


class Transport(StringTransport):
    """A connection in memory that may be paused."""

    is_aborted = False

    def abortConnection(self):  # noqa: N802 - Twisted's name
        self.is_aborted = True


class Daemon:
    """A daemon that callers may choose."""

    name = "d0"
    front = 1
    front_leads_to_the_soak = False


class Scene:
    """One connection in one manner."""

    def __init__(self, manner: Manner, seed: int = 1) -> None:
        self.reactor = MemoryReactorClock()
        self.reactor.advance(1.0)  # 0 is the time of what was not seen
        self.oracle = Oracle()
        random = Random(seed)
        self.callers = PersistentCallers(
            self.reactor, random, self.oracle, lambda: [Daemon()], Tenants(Random(1))
        )
        self.idle = 0
        self.lost = 0
        self.connection = PersistentConnection(
            self.reactor, self._on_idle, self._on_lost
        )
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.callers._ask(self.connection, Daemon(), manner)

    def _on_idle(self, connection) -> None:
        self.idle += 1

    def _on_lost(self) -> None:
        self.lost += 1

    @property
    def asked(self) -> list[Asked]:
        return list(self.oracle.asked.values())

    def respond(self, *, head: bytes = b"") -> None:
        """Answer 503 to the next request."""
        self.connection.dataReceived(
            b"HTTP/1.1 503 Busy\r\n%bContent-Length: 1\r\n\r\nx" % head
        )


def test_a_request_and_its_answer_are_noted():
    scene = Scene(Manner.AT_ONCE)
    [asked] = scene.asked
    scene.reactor.advance(0.5)
    scene.respond()
    assert (asked.status, asked.body, asked.is_whole) == (503, b"x", True)
    assert (asked.is_connected, asked.is_on_kept_connection) == (True, False)
    assert asked.ended_at - asked.sent_at == pytest.approx(0.5)
    assert scene.idle == 1


def test_pipelined_requests_get_their_answers_in_order():
    scene = Scene(Manner.PIPELINED)
    count = len(scene.asked)
    assert count >= 2
    assert scene.transport.value().count(b"POST ") == count
    whole = b"HTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\nx"
    scene.connection.dataReceived(whole * count)
    assert all(asked.is_whole and asked.body == b"x" for asked in scene.asked)
    assert scene.idle == 1


def test_pipelined_requests_after_a_told_close_are_noted_as_such():
    scene = Scene(Manner.PIPELINED)
    scene.respond(head=b"Connection: close\r\n")
    scene.connection.connectionLost()
    first, second, *_ = scene.asked
    assert (first.is_whole, first.close_was_told) == (True, False)
    assert (second.is_whole, second.close_was_told) == (False, True)
    assert second.ended_at
    assert scene.oracle.cut() == []


def test_nothing_follows_an_answer_that_tells_of_the_close():
    """Such a request would be the caller's fault."""
    scene = Scene(Manner.AT_ONCE)
    scene.respond(head=b"Connection: close\r\n")
    assert scene.idle == 0
    assert scene.transport.disconnecting


def test_a_close_that_no_answer_told_of_is_a_cut():
    scene = Scene(Manner.PIPELINED)
    scene.respond()
    scene.reactor.advance(1.0)
    scene.connection.connectionLost()
    assert len(scene.oracle.cut()) == len(scene.asked) - 1
    assert scene.lost == 1


def test_a_cut_answer_is_not_whole():
    scene = Scene(Manner.AT_ONCE)
    scene.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )
    scene.connection.connectionLost()
    [asked] = scene.asked
    assert (asked.status, asked.is_whole) == (200, False)
    assert len(scene.oracle.cut()) == 1


@pytest.mark.parametrize("seed", range(10))
def test_a_slowly_sent_request_arrives_whole_in_pieces(seed):
    scene = Scene(Manner.SLOWLY_SENT, seed)
    [asked] = scene.asked
    assert scene.transport.value()
    sizes = []
    for _ in range(260):
        scene.reactor.advance(0.01)
        sizes.append(len(scene.transport.value()))
    assert len(set(sizes)) > 1
    assert scene.transport.value().endswith(asked.expected_body)
    assert asked.sent_at > asked.begun_at


def test_a_slow_reader_stops_at_the_answer_and_reads_on_after_a_while():
    """Before the answer a pause would hide when the daemon closes."""
    scene = Scene(Manner.SLOWLY_READ)
    assert scene.transport.producerState == "producing"
    scene.connection.dataReceived(b"HTTP/1.1 200 OK\r\n")
    assert scene.transport.producerState == "paused"
    scene.reactor.advance(2.1)
    assert scene.transport.producerState == "producing"


def test_the_next_request_waits_until_a_slow_reader_reads_on():
    scene = Scene(Manner.SLOWLY_READ)
    scene.respond()
    assert scene.idle == 0
    scene.reactor.advance(2.1)
    assert scene.idle == 1


def test_an_answer_that_never_comes_is_given_up_and_counts_as_a_cut():
    scene = Scene(Manner.AT_ONCE)
    scene.reactor.advance(LONG_CALL_SECONDS + 4.0)
    assert scene.transport.is_aborted
    scene.connection.connectionLost()
    assert len(scene.oracle.cut()) == 1


def test_bytes_that_are_no_answer_end_the_connection():
    scene = Scene(Manner.AT_ONCE)
    scene.connection.dataReceived(b"\x00\x01 no answer\r\n\r\n")
    assert scene.transport.is_aborted


@pytest.mark.parametrize("seed", range(20))
def test_at_most_one_of_several_pipelined_requests_is_long(seed):
    asked = Scene(Manner.PIPELINED, seed).asked
    assert sum(one.path.startswith(LONG_PATHS) for one in asked) <= 1


def test_the_soak_waits_for_the_last_answers():
    """The end of its daemons would cut them (t2 730003)."""
    scene = Scene(Manner.AT_ONCE)
    assert scene.callers.are_waiting
    scene.respond()
    assert not scene.callers.are_waiting


def test_nothing_is_asked_when_the_soak_is_over():
    scene = Scene(Manner.AT_ONCE)
    scene.callers.is_running = False
    scene.callers._ask(scene.connection, Daemon(), Manner.AT_ONCE)
    scene.callers._connect()
    assert len(scene.asked) == 1
    assert scene.transport.disconnecting
    assert not scene.reactor.tcpClients


def test_long_calls_say_how_long_they_take():
    seconds = set()
    for seed in range(60):
        [asked] = Scene(Manner.AT_ONCE, seed).asked
        takes = long_seconds(asked.expected_body)
        assert bool(takes) is asked.path.startswith(LONG_PATHS)
        seconds.add(round(takes))
    assert {0, 3, 5, 7} <= seconds
    assert long_seconds(long_body(4.25) + b"more") == 4.25
    assert long_seconds(b"said") == 0.0


def test_an_answer_is_parsed_whatever_its_pieces():
    asked = Asked("r", "/write/x", b"said", False, False)
    body = answer_of("r", b"said")
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    pending = PendingAnswer(asked, HEADERS)
    rest = [pending.receive(data[n : n + 1]) for n in range(len(data))]
    assert rest == [None] * (len(data) - 1) + [b""]
    assert asked.body == body


def test_a_connection_to_a_held_port_is_none_to_the_daemon(monkeypatch):
    monkeypatch.setattr(Daemon, "front_leads_to_the_soak", True)
    scene = Scene(Manner.AT_ONCE)
    scene.oracle.asked.clear()
    scene.callers._connect()
    connection = scene.reactor.tcpClients[0][2].buildProtocol(None)
    transport = Transport()
    connection.makeConnection(transport)
    assert transport.is_aborted
    assert scene.asked == []
