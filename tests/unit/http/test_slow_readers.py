"""Memory held for peers that read slowly, and what remains the same for the others."""

from twisted.internet.task import Clock

from notcharch.http.buffered_bytes import (
    CONNECTION_BYTES,
    RESUME_BYTES,
    holders_to_cut,
    is_behind,
    total_limit,
)
from notcharch.http.client import ClientConnection, ResponseFailure
from notcharch.http.exchange import ServerLimits, Uploads
from notcharch.http.peer_buffers import PeerBuffers
from notcharch.http.request_room import RequestRoom
from notcharch.http.send_buffer import (
    MAX_TRANSPORT_BYTES,
    TRANSPORT_BYTES,
    transport_room,
)
from notcharch.http.server_connection import PIPELINED_BYTES, ServerConnection
from notcharch.values.memory_pool import MemoryPool
from tests.unit.events.capture import captured
from tests.unit.http.pipe import Handler, Listener
from tests.unit.http.slow_peer import SlowPeerTransport
from tests.unit.http.test_client import HEAD

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNK = b"x" * 4096
MEGABYTE = 1024 * 1024
ENGINE_READ_BYTES = 65536
"""Most that one read from an engine adds after a reader has fallen behind."""


class Caller:
    """One caller's connection, with a request that is being answered."""

    def __init__(self, buffers=None, requests: bytes = GET, uploads=None) -> None:
        self.clock = Clock()
        self.handler = Handler()
        self.handler.server_limits = ServerLimits()
        self.connection = ServerConnection(self.handler, self.clock, buffers, uploads)
        self.transport = SlowPeerTransport()
        self.transport.attach(self.connection)
        self.states: list[bool] = []
        self.disconnects = 0
        self.written = 0
        self.connection.dataReceived(requests)
        if self.handler.exchanges:
            self.exchange.watch_backlog(self.states.append)
            self.exchange.on_disconnect = self._disconnected

    @property
    def exchange(self):
        return self.handler.exchanges[-1]

    def _disconnected(self) -> None:
        self.disconnects += 1

    @property
    def is_behind(self) -> bool:
        return bool(self.states) and self.states[-1]

    def write_while_allowed(self) -> None:
        """Write as an engine's stream does: one read more after the reader is behind."""
        self.exchange.start(200, [])
        while not self.is_behind:
            self.exchange.write(CHUNK)
            self.written += len(CHUNK)
        self.exchange.write(b"x" * ENGINE_READ_BYTES)
        self.written += ENGINE_READ_BYTES


def test_a_connection_falls_behind_above_its_limit_and_catches_up_at_half():
    assert not is_behind(False, CONNECTION_BYTES)
    assert is_behind(False, CONNECTION_BYTES + 1)
    assert is_behind(True, RESUME_BYTES + 1)
    assert not is_behind(True, RESUME_BYTES)


def test_an_unknown_memory_limit_counts_as_that_of_the_smallest_machine():
    assert total_limit(0) == total_limit(128 * MEGABYTE) == 8 * MEGABYTE


def test_those_that_hold_the_most_are_cut_first_and_no_more_than_needed():
    assert holders_to_cut({"a": 50, "b": 50}, 100) == []
    assert holders_to_cut({"a": 10, "b": 60, "c": 40, "d": 5}, 100) == ["b"]


def test_a_large_body_takes_few_turns_of_the_reactor():
    # A busy daemon would otherwise delay bodies by a turn for each small piece.
    caller = Caller()
    caller.exchange.respond(200, [], b"x" * 256 * 1024)
    turns = 0
    while caller.transport.is_writing:
        caller.transport.send_for_a_turn()
        turns += 1
    assert caller.transport.sent.count(b"x") == 256 * 1024
    assert turns <= 5


def test_a_transport_gets_large_pieces_only_while_it_is_empty():
    assert transport_room(10_000, 0) >= 10_000
    assert transport_room(1 << 30, 0) == MAX_TRANSPORT_BYTES
    assert transport_room(1 << 30, TRANSPORT_BYTES) == 0
    assert transport_room(CONNECTION_BYTES, 0) == CONNECTION_BYTES - RESUME_BYTES


def test_a_reader_that_stops_stops_the_engine_and_continues_it_at_half():
    caller = Caller()
    caller.exchange.start(200, [])
    while not caller.states:
        caller.exchange.write(CHUNK)
    assert caller.states == [True]
    assert caller.transport.held <= TRANSPORT_BYTES
    caller.transport.read(CONNECTION_BYTES - RESUME_BYTES)
    assert caller.states == [True]
    caller.transport.read(TRANSPORT_BYTES)
    assert caller.states == [True, False]
    assert caller.connection._out.buffered


def test_a_reader_that_keeps_up_is_sent_the_same_bytes_and_never_stopped():
    caller = Caller()
    caller.exchange.start(200, [(b"content-length", str(MEGABYTE).encode())])
    for _ in range(MEGABYTE // len(CHUNK)):
        caller.exchange.write(CHUNK)
        assert caller.transport.held
        caller.transport.read()
    caller.exchange.finish()
    assert caller.states == []
    assert caller.transport.sent.endswith(b"\r\n\r\n" + b"x" * MEGABYTE)


def test_the_end_of_an_answer_waits_for_what_is_held():
    # Closing at once would drop the bytes that the transport does not have yet.
    caller = Caller()
    caller.handler.closing = True
    caller.exchange.respond(200, [], b"x" * 300_000)
    assert not caller.transport.disconnecting
    caller.transport.read()
    assert caller.transport.sent.endswith(b"x" * 300_000)
    assert caller.transport.is_lost


def test_a_thousand_slow_readers_hold_no_more_than_the_limit_beside_one_that_reads():
    limit = total_limit(128 * MEGABYTE)
    buffers = PeerBuffers(limit)
    reader = Caller(buffers)
    reader.exchange.start(200, [])
    slow = []
    for _ in range(1000):
        caller = Caller(buffers)
        slow.append(caller)
        caller.write_while_allowed()
        assert buffers.total <= limit
        reader.exchange.write(CHUNK)
        reader.transport.read()
    held = sum(caller.connection._out.buffered for caller in slow)
    assert held == buffers.total
    assert not reader.transport.is_aborted
    assert reader.states == []
    assert reader.transport.sent.count(b"x") == 1000 * len(CHUNK)
    cut = [caller for caller in slow if caller.transport.is_aborted]
    assert cut and len(cut) < 1000
    for caller in cut:
        caller.transport.lose()
    assert {caller.disconnects for caller in cut} == {1}
    assert not any(c.transport.sent.endswith(b"0\r\n\r\n") for c in cut)
    for caller in slow:
        caller.transport.lose()
    assert buffers.total == 0


def test_a_cut_answer_stays_incomplete_whatever_is_written_later():
    buffers = PeerBuffers(100_000)
    caller = Caller(buffers)
    caller.exchange.id = "9c41"
    caller.exchange.start(200, [])
    with captured() as messages:
        caller.exchange.write(b"x" * 100_001)
    assert caller.transport.is_aborted
    (event,) = [m for m in messages if m["event_number"] == 2700]
    assert event["request"] == "9c41"
    caller.exchange.finish()
    caller.transport.read()
    assert not caller.transport.sent.endswith(b"0\r\n\r\n")
    assert buffers.total == 0


def test_requests_that_are_not_answered_yet_are_not_read_without_a_bound():
    caller = Caller(requests=GET * 2)
    sent = 0
    while caller.transport.is_reading:
        caller.connection.dataReceived(GET * 100)
        sent += 100
        assert sent * len(GET) <= 2 * PIPELINED_BYTES
    assert len(caller.handler.exchanges) == 1
    answered = 0
    while answered < len(caller.handler.exchanges):
        caller.handler.exchanges[answered].respond(200, [])
        answered += 1
        caller.transport.read()
        caller.clock.advance(0)
    assert answered == sent + 2
    assert caller.transport.is_reading


def test_a_caller_that_reads_no_answer_gets_no_further_request_processed():
    caller = Caller(requests=GET * 3)
    caller.exchange.respond(200, [], b"x" * (CONNECTION_BYTES + 1))
    caller.clock.advance(0)
    assert len(caller.handler.exchanges) == 1
    caller.transport.read()
    caller.clock.advance(0)
    assert len(caller.handler.exchanges) == 2


def test_bodies_that_never_become_whole_take_no_more_than_the_limit():
    held = MemoryPool(MEGABYTE).holder("calls")
    buffers = PeerBuffers(MEGABYTE)
    uploads = Uploads(RequestRoom(Clock(), held))
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
    callers = [Caller(buffers, head, uploads) for _ in range(30)]
    for caller in callers:
        if caller.transport.is_reading:
            caller.connection.dataReceived(b"x" * 100_000)
        assert held.held <= uploads.room.large_limit
        assert buffers.total == 0
    assert 0 < sum(c.transport.is_reading for c in callers) < 30
    assert not any(c.transport.is_aborted for c in callers), "each gets an answer"
    for caller in callers:
        caller.transport.lose()
    assert held.held == buffers.total == uploads.room.waiting == 0
    assert {c.handler.in_flight for c in callers} == {0}


def test_what_was_read_of_bodies_without_room_is_cut_above_the_limit():
    buffers = PeerBuffers(MEGABYTE)
    held = MemoryPool(MEGABYTE).holder("calls")
    held.change(MEGABYTE)
    uploads = Uploads(RequestRoom(Clock(), held))
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
    callers = []
    for _ in range(30):
        callers.append(Caller(buffers, head + b"x" * 60_000, uploads))
        assert buffers.total <= MEGABYTE
    assert 0 < sum(c.transport.is_aborted for c in callers) < 30
    for caller in callers:
        caller.transport.lose()
    assert buffers.total == uploads.room.waiting == 0
    assert {c.handler.in_flight for c in callers} == {0}


def test_a_body_has_room_from_its_head_until_its_request_ends():
    buffers = PeerBuffers()
    held = MemoryPool(MEGABYTE).holder("calls")
    uploads = Uploads(RequestRoom(Clock(), held))
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"
    caller = Caller(buffers, head, uploads)
    assert 5000 <= held.held < 5000 + 500
    caller.connection.dataReceived(b"x" * 4000)
    caller.connection.dataReceived(b"x" * 1000)
    assert buffers.total == 0
    assert 5000 <= held.held < 5000 + 500
    assert len(caller.exchange.body) == 5000
    caller.exchange.respond(200, [])
    assert held.held == 0


class EngineSide:
    """A connection to an engine that reads as tests tell it to."""

    def __init__(self, buffers=None) -> None:
        self.connection = ClientConnection(buffers)
        self.transport = SlowPeerTransport()
        self.transport.attach(self.connection)
        self.listener = Listener()


def test_engines_that_read_no_bodies_hold_no_more_than_the_limit():
    buffers = PeerBuffers(MEGABYTE)
    engines = [EngineSide(buffers) for _ in range(30)]
    for engine in engines:
        engine.connection.send(HEAD, b"x" * 100_000, engine.listener)
        assert buffers.total <= MEGABYTE
    cut = [engine for engine in engines if engine.transport.is_aborted]
    assert cut and len(cut) < 30
    for engine in cut:
        engine.transport.lose()
    assert {engine.listener.failure for engine in cut} == {ResponseFailure.CUT}


def test_a_large_body_that_its_call_holds_is_not_counted_again():
    """Four bodies of 4 MB at engines took all that connections may buffer at 260 MB."""
    buffers = PeerBuffers(MEGABYTE)
    body = b"x" * 4 * MEGABYTE
    engines = [EngineSide(buffers) for _ in range(4)]
    for engine in engines:
        engine.connection.send(HEAD, body, engine.listener)
    assert buffers.total <= 4 * MAX_TRANSPORT_BYTES
    assert not any(engine.transport.is_aborted for engine in engines)
    for engine in engines:
        engine.transport.read()
        assert engine.transport.sent.endswith(b"x" * len(body))
    assert buffers.total == 0


def test_a_body_that_outlives_its_call_is_counted():
    """An engine may answer before it has read the body, and read the rest of it later."""
    buffers = PeerBuffers(8 * MEGABYTE)
    engine = EngineSide(buffers)
    engine.connection.send(HEAD, b"x" * MEGABYTE, engine.listener)
    engine.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\nhi"
    )
    assert engine.listener.is_complete
    assert buffers.total == engine.connection._out.buffered > MEGABYTE / 2
    engine.transport.read()
    assert engine.transport.sent.endswith(b"x" * MEGABYTE)
    assert buffers.total == 0


def test_a_paused_response_is_read_on_after_its_end_for_the_next_request():
    # A connection returned to the pool while paused would never answer again.
    engine = EngineSide()
    engine.connection.send(HEAD, b"", engine.listener)
    engine.connection.pause_reading()
    assert not engine.transport.is_reading
    engine.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\nhi"
    )
    assert engine.listener.is_complete
    assert engine.transport.is_reading
