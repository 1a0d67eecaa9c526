"""Requests that need more memory than there is: who waits, who is told what, and when."""

import pytest
from twisted.internet.task import Clock

from notcharch.http.exchange import (
    ErrorResponse,
    ServerLimits,
    UnreadCause,
    Uploads,
    UsualUploads,
)
from notcharch.http.incoming_body import PORTION_BYTES
from notcharch.http.peer_buffers import PeerBuffers
from notcharch.http.request_room import LARGE_SHARE, RETRY_SECONDS, RequestRoom
from notcharch.http.server_connection import BODY_LINGER_SECONDS, ServerConnection
from notcharch.http.upload import PACE_SECONDS, ROOM_WAIT_SHARE
from notcharch.values.memory_pool import MemoryPool
from tests.unit.http.pipe import Handler, TcpTransport

MEGABYTE = 1024 * 1024
SMALL_BYTES = 32 * 1024
CALL_BYTES = 12 * 1024
BODY_SECONDS = 8.0
HEADER_SECONDS = 3.0
WAIT_SECONDS = BODY_SECONDS * ROOM_WAIT_SHARE


class Policy(UsualUploads):
    """Gives requests a time, and notes the refusals."""

    def __init__(self) -> None:
        self.refused = []

    def body_seconds(self, exchange):
        return BODY_SECONDS

    def unread_refusal(self, exchange, cause, waited_seconds):
        self.refused.append((cause, round(waited_seconds, 3)))
        return super().unread_refusal(exchange, cause, waited_seconds)


class Transport(TcpTransport):
    """Tells whether the connection is read."""

    is_read = True

    def pauseProducing(self) -> None:  # noqa: N802
        self.is_read = False

    def resumeProducing(self) -> None:  # noqa: N802
        self.is_read = True


class Caller:
    """One caller's connection."""

    def __init__(self, daemon: "Daemon") -> None:
        self.transport = Transport()
        self.connection = ServerConnection(
            daemon.handler, daemon.clock, daemon.buffers, daemon.uploads
        )
        self.connection.makeConnection(self.transport)

    def begin(self, size: int, more: str = "") -> "Caller":
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n{more}\r\n"
        self.connection.dataReceived(head.encode())
        return self

    def begin_chunks(self) -> "Caller":
        self.connection.dataReceived(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        return self

    def send(self, size: int) -> None:
        self.connection.dataReceived(b"x" * size)

    def send_chunk(self, size: int) -> None:
        self.connection.dataReceived(b"%x\r\n%b\r\n" % (size, b"x" * size))

    def leave(self) -> None:
        self.connection.connectionLost()

    @property
    def status(self) -> int:
        answer = self.transport.value()
        return int(answer.split()[1]) if answer else 0


class Daemon:
    """A daemon with room for two bodies of 4 MB."""

    def __init__(self, max_waiting: int = 10, room_bytes: int = 9 * MEGABYTE) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.handler = Handler()
        self.handler.server_limits = ServerLimits(header_seconds=HEADER_SECONDS)
        self.pool = MemoryPool(room_bytes / LARGE_SHARE)
        self.held = self.pool.holder("calls", 1.0)
        self.room = RequestRoom(
            self.clock,
            self.held,
            call_bytes=CALL_BYTES,
            small_bytes=SMALL_BYTES,
            max_waiting=max_waiting,
        )
        self.policy = Policy()
        self.buffers = PeerBuffers()
        self.uploads = Uploads(self.room, self.policy)

    def caller(self) -> Caller:
        return Caller(self)

    def full(self, sent: int = 3_900_000) -> list[Caller]:
        callers = [self.caller().begin(4_000_000) for _ in range(2)]
        for caller in callers if sent else ():
            caller.send(sent)
        return callers

    def respond(self) -> None:
        self.handler.exchanges.pop(0).respond(200, [])
        self.clock.advance(0)


def test_a_request_without_room_is_not_read_until_another_one_ends():
    daemon = Daemon()
    first, _ = daemon.full()
    waiting = daemon.caller().begin(4_000_000)
    assert (waiting.transport.is_read, daemon.room.waiting) == (False, 1)
    first.send(100_000)
    daemon.clock.advance(1.0)
    assert not waiting.transport.is_read, "its call holds the body"
    daemon.respond()
    assert waiting.transport.is_read
    waiting.send(4_000_000)
    daemon.respond()
    assert waiting.status == 200
    assert daemon.policy.refused == []


def test_a_request_that_finds_no_room_in_its_time_is_refused_unrun_and_read_off():
    daemon = Daemon()
    daemon.full()
    waiting = daemon.caller().begin(4_000_000)
    daemon.clock.advance(WAIT_SECONDS - 0.01)
    assert waiting.status == 0
    daemon.clock.advance(0.01)
    assert waiting.status == 503
    assert daemon.policy.refused == [(UnreadCause.NO_ROOM, WAIT_SECONDS)]
    assert b"connection: close" in waiting.transport.value().lower()
    assert (daemon.held.refused, daemon.room.waiting) == (1, 0)
    assert waiting.transport.is_read
    waiting.send(3_999_999)
    assert not waiting.transport.is_closed, "closing with unread bytes is a reset"
    waiting.send(1)
    assert waiting.transport.disconnecting
    assert daemon.handler.exchanges == []
    assert daemon.handler.in_flight == 2


def test_what_was_read_of_a_refused_request_is_freed_and_not_counted():
    daemon = Daemon()
    daemon.full()
    waiting = daemon.caller().begin(4_000_000)
    waiting.send(50_000)
    assert daemon.buffers.total == 50_000
    daemon.clock.advance(WAIT_SECONDS)
    assert waiting.status == 503
    assert daemon.buffers.total <= len(waiting.transport.value())
    assert not waiting.connection._http.trailing_data[0]


def test_the_rest_of_a_refused_request_is_read_off_for_a_bounded_time():
    daemon = Daemon()
    daemon.full()
    waiting = daemon.caller().begin(4_000_000)
    daemon.clock.advance(WAIT_SECONDS)
    waiting.send(1_000_000)
    daemon.clock.advance(BODY_LINGER_SECONDS)
    assert waiting.transport.disconnecting


def test_a_caller_that_waits_for_100_continue_is_told_at_once():
    daemon = Daemon()
    full = daemon.full()
    expect = "Expect: 100-continue\r\n"
    assert daemon.caller().begin(4_000_000, expect).status == 503
    assert daemon.room.waiting == 0
    full[0].leave()
    assert daemon.caller().begin(4_000_000, expect).status == 100


def test_a_body_that_is_longer_than_allowed_is_refused_before_it_is_sent():
    daemon = Daemon()
    assert daemon.caller().begin(5_000_000).status == 413
    assert daemon.policy.refused == [(UnreadCause.TOO_LARGE, 0.0)]
    assert daemon.held.held == 0


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_that_can_never_have_room_is_refused_for_good(is_chunked):
    """Refused like a passing lack of room, it would come back for ever."""
    daemon = Daemon(room_bytes=2 * MEGABYTE)
    caller = daemon.caller()
    if is_chunked:
        caller.begin_chunks()
        while caller.status == 0:
            caller.send_chunk(60_000)
    else:
        caller.begin(3 * MEGABYTE)
    assert caller.status == 413
    assert daemon.room.large <= 2 * MEGABYTE
    caller.leave()
    assert daemon.held.held == 0


def test_above_the_bound_of_those_that_wait_a_request_is_refused_at_once():
    daemon = Daemon(max_waiting=3)
    daemon.full()
    waiting = [daemon.caller().begin(4_000_000) for _ in range(3)]
    assert daemon.caller().begin(4_000_000).status == 503
    assert daemon.policy.refused == [(UnreadCause.NO_ROOM, 0.0)]
    assert [caller.status for caller in waiting] == [0, 0, 0]


def test_small_requests_pass_large_ones_that_wait():
    daemon = Daemon()
    daemon.full()
    daemon.caller().begin(4_000_000)
    for _ in range(20):
        small = daemon.caller().begin(1000)
        small.send(1000)
        daemon.respond()
        assert small.status == 200


def test_a_body_that_does_not_come_in_its_time_gives_its_room_back():
    daemon = Daemon()
    daemon.full()
    daemon.clock.advance(BODY_SECONDS - 1.0)
    waiting = daemon.caller().begin(4_000_000)
    daemon.clock.advance(1.0)
    assert daemon.policy.refused[0] == (UnreadCause.TOO_LATE, 0.0)
    daemon.clock.advance(0)
    assert waiting.transport.is_read


def test_an_upload_that_comes_too_slowly_to_end_gives_its_room_to_others():
    """Some slow senders held all room until their deadlines."""
    daemon = Daemon()
    slow, fast = daemon.full(sent=0)
    fast.send(2_000_000)
    waiting = daemon.caller().begin(4_000_000)
    for _ in range(8):
        slow.send(1000)
        daemon.clock.advance(PACE_SECONDS / 8)
    assert (slow.status, fast.status) == (503, 0)
    assert daemon.policy.refused == [(UnreadCause.TOO_LATE, 0.0)]
    daemon.clock.advance(0)
    assert waiting.transport.is_read


def test_a_slow_upload_is_left_alone_while_nobody_waits():
    daemon = Daemon()
    slow, _ = daemon.full(sent=0)
    for _ in range(7):
        slow.send(1000)
        daemon.clock.advance(PACE_SECONDS)
    assert slow.status == 0


def test_the_pace_of_an_upload_is_counted_from_the_end_of_its_wait():
    daemon = Daemon()
    first, _ = daemon.full()
    waiting = daemon.caller().begin(4_000_000)
    others = daemon.caller().begin(4_000_000)
    daemon.clock.advance(WAIT_SECONDS - 0.1)
    first.leave()
    daemon.clock.advance(0)
    daemon.clock.advance(PACE_SECONDS - 0.5)
    waiting.send(1_000_000)
    daemon.clock.advance(0.5)
    assert waiting.status == 0
    assert others.status == 503


def test_a_caller_that_leaves_gives_its_room_back():
    daemon = Daemon()
    first, second = daemon.full()
    waiting = [daemon.caller().begin(4_000_000) for _ in range(3)]
    waiting[0].leave()
    assert daemon.room.waiting == 2
    first.leave()
    second.leave()
    assert daemon.room.waiting == 0
    for caller in waiting[1:]:
        caller.leave()
    daemon.clock.advance(0)
    assert (daemon.held.held, daemon.room.large) == (0, 0)
    assert daemon.handler.in_flight == 0
    daemon.clock.advance(BODY_SECONDS)
    assert daemon.policy.refused == []


def test_room_that_others_give_back_is_found():
    """Turns and accounts share the pool, and tell nobody when they shrink."""
    daemon = Daemon()
    turns = daemon.pool.holder("turns")
    turns.change(int(daemon.pool.limit_bytes))
    waiting = daemon.caller().begin(4_000_000)
    assert not waiting.transport.is_read
    turns.change(-int(daemon.pool.limit_bytes))
    daemon.clock.advance(RETRY_SECONDS)
    daemon.clock.advance(0)
    assert waiting.transport.is_read


def test_a_body_in_chunks_takes_its_room_in_portions():
    daemon = Daemon()
    caller = daemon.caller().begin_chunks()
    assert daemon.held.held == SMALL_BYTES
    caller.send_chunk(50_000)
    assert daemon.held.held <= SMALL_BYTES + 50_000 + PORTION_BYTES
    for _ in range(20):
        caller.send_chunk(50_000)
        sent = daemon.held.held
    assert 21 * 50_000 <= sent <= SMALL_BYTES + 21 * 50_000 + 2 * PORTION_BYTES
    caller.connection.dataReceived(b"0\r\n\r\n")
    (exchange,) = daemon.handler.exchanges
    assert len(exchange.body) == 21 * 50_000
    assert CALL_BYTES <= daemon.held.held - 21 * 50_000 <= CALL_BYTES + 1000
    daemon.respond()
    assert (daemon.held.held, daemon.room.large) == (0, 0)


def test_a_small_body_in_chunks_takes_no_room_of_large_ones():
    daemon = Daemon()
    daemon.full()
    caller = daemon.caller().begin_chunks()
    caller.send_chunk(10_000)
    caller.connection.dataReceived(b"0\r\n\r\n")
    daemon.respond()
    assert caller.status == 200


def test_uploads_in_chunks_that_grow_at_once_all_become_whole():
    """Each held a part, and none found room for its next one."""
    daemon = Daemon()
    callers = [daemon.caller().begin_chunks() for _ in range(8)]
    left = dict.fromkeys(callers, 4_000_000)
    for _ in range(1000):
        for caller in callers:
            if left[caller] and caller.transport.is_read:
                caller.send_chunk(40_000)
                left[caller] -= 40_000
                if not left[caller]:
                    caller.connection.dataReceived(b"0\r\n\r\n")
            daemon.clock.advance(0)
            assert daemon.room.large <= daemon.room.large_limit
        while daemon.handler.exchanges:
            daemon.respond()
    assert [caller.status for caller in callers] == [200] * 8
    assert daemon.held.held == 0


def test_requests_that_have_begun_get_room_before_new_ones():
    daemon = Daemon()
    growing = daemon.caller().begin_chunks()
    growing.send_chunk(60_000)
    second = daemon.caller().begin_chunks()
    second.send_chunk(60_000)
    whole = daemon.caller().begin(4_000_000)
    while second.transport.is_read:
        second.send_chunk(60_000)
    later = daemon.caller().begin(1_000_000)
    assert not later.transport.is_read
    growing.leave()
    daemon.clock.advance(0)
    assert second.transport.is_read
    whole.leave()
    daemon.clock.advance(0)
    assert later.transport.is_read


def test_a_refusal_has_the_policys_response():
    class Told(Policy):
        def unread_refusal(self, exchange, cause, waited_seconds):
            return ErrorResponse(503, [(b"Retry-After", b"0.500")], b"{}")

    daemon = Daemon(max_waiting=0)
    daemon.uploads = Uploads(daemon.room, Told())
    daemon.full()
    refused = daemon.caller().begin(4_000_000)
    assert b"Retry-After: 0.500\r\n" in refused.transport.value()
    assert refused.transport.value().endswith(b"\r\n\r\n{}")


@pytest.mark.parametrize("piece", [1, 7, 500, 8192, 8193, 60_000])
def test_a_body_in_pieces_of_any_size_comes_whole_and_the_next_request_after_it(piece):
    daemon = Daemon()
    caller = daemon.caller()
    body = bytes(number % 251 for number in range(20_011))
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20011\r\n\r\n"
    sent = head + body + head.replace(b"/a", b"/b") + body
    for at in range(0, len(sent), piece):
        caller.connection.dataReceived(sent[at : at + piece])
        while daemon.handler.exchanges:
            assert daemon.handler.exchanges[0].body == body
            daemon.respond()
    assert caller.transport.value().count(b"HTTP/1.1 200") == 2
    assert daemon.held.held == 0
    assert daemon.buffers.total <= len(caller.transport.value())
