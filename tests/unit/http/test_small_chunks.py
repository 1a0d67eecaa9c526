"""Bytes that come in tiny chunks take little more memory than is counted for them.

Each `bytes` object takes 33 bytes and a place in a list beside its content. A caller or an
engine that sends chunks of two bytes could make a bound of 8 MB hold some 200 MB.
"""

import tracemalloc

import pytest
from twisted.internet.task import Clock

from notcharch.calls.call_memory import SMALL_CALL_BYTES
from notcharch.calls.held_answer import HeldAnswer
from notcharch.http.bounded_body import BoundedBody, ServerKind
from notcharch.http.buffered_bytes import BufferedBytes
from notcharch.http.exchange import ServerLimits, Uploads
from notcharch.http.incoming_body import PORTION_BYTES
from notcharch.http.request_room import RequestRoom
from notcharch.http.send_buffer import SendBuffer
from notcharch.http.server_connection import ServerConnection
from notcharch.values.memory_pool import MemoryPool
from tests.unit.http.pipe import Handler, TcpTransport
from tests.unit.http.slow_peer import SlowPeerTransport

CHUNKS = 30_000
MAX_FACTOR = 2.0
"""A growing buffer has some more room than bytes."""


def growth(act) -> int:
    """Return by how many bytes the traced memory grew."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        act()
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def chunk(number: int) -> bytes:
    return b"%02d" % (number % 100)


def test_a_chunked_upload():
    handler, held = Handler(), MemoryPool().holder("calls")
    handler.server_limits = ServerLimits()
    clock = Clock()
    uploads = Uploads(RequestRoom(clock, held, small_bytes=SMALL_CALL_BYTES))
    connection = ServerConnection(handler, clock, None, uploads)
    connection.makeConnection(TcpTransport())
    connection.dataReceived(
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    )

    def send() -> None:
        for number in range(CHUNKS):
            connection.dataReceived(b"2\r\n" + chunk(number) + b"\r\n")

    assert growth(send) <= MAX_FACTOR * held.held
    assert held.held <= MAX_FACTOR * 2 * CHUNKS + PORTION_BYTES
    connection.dataReceived(b"0\r\n\r\n")
    (exchange,) = handler.exchanges
    assert exchange.body == b"".join(map(chunk, range(CHUNKS)))


def test_an_answer_that_is_held():
    buffers = BufferedBytes()
    answer = HeldAnswer(buffers, lambda: None)

    def keep() -> None:
        for number in range(CHUNKS):
            assert answer.keep(chunk(number))

    assert growth(keep) <= MAX_FACTOR * buffers.total
    assert answer.take() == b"".join(map(chunk, range(CHUNKS)))


def test_an_answer_of_the_store():
    body = BoundedBody(2 * CHUNKS, ServerKind.STORE, "/")

    def add() -> None:
        for number in range(CHUNKS):
            assert body.add(chunk(number))

    assert growth(add) <= MAX_FACTOR * 2 * CHUNKS
    assert body.content() == b"".join(map(chunk, range(CHUNKS)))


@pytest.mark.parametrize("reads", [1, 700, 1 << 30])
def test_events_for_a_slow_caller(reads):
    transport = SlowPeerTransport()
    buffer = SendBuffer(transport, lambda _: None)

    def write() -> None:
        for number in range(CHUNKS):
            buffer.write(chunk(number))

    assert growth(write) <= MAX_FACTOR * buffer.buffered
    while buffer.buffered:
        transport.read(reads if reads > 1 else 40_000)
    assert transport.sent == b"".join(map(chunk, range(CHUNKS)))


def test_small_and_large_writes_stay_in_their_order():
    transport = SlowPeerTransport()
    buffer = SendBuffer(transport, lambda _: None)
    written = [b"a" * (7 * number % 9000) for number in range(60)]
    for number, data in enumerate(written):
        buffer.write(data)
        if number % 7 == 0:
            transport.read(1000)
    while buffer.buffered:
        transport.read(5000)
    assert transport.sent == b"".join(written)
