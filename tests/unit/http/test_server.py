"""Parsing of requests, order of responses, limits and timeouts of connections."""

import pytest

from tests.unit.http.pipe import ServerSide

GET = b"GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Some: v\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
)


def test_a_head_keeps_names_and_target_as_sent():
    side = ServerSide()
    side.send(GET)
    head = side.handler.exchanges[0].head
    assert (head.method, head.target) == (b"GET", b"/a/b?c=d")
    assert head.headers == [(b"Host", b"h"), (b"X-Some", b"v")]


@pytest.mark.parametrize("request_bytes", [POST, CHUNKED])
def test_a_body_comes_whole_in_any_pieces(request_bytes):
    for size in (1, 7, 1000):
        side = ServerSide()
        for at in range(0, len(request_bytes), size):
            side.send(request_bytes[at : at + size])
        assert [e.body for e in side.handler.exchanges] == [b"hello"]


def test_requests_on_one_connection_are_answered_in_turn():
    side = ServerSide()
    side.send(GET + POST)
    assert len(side.handler.exchanges) == 1
    side.handler.exchanges[0].respond(200, [], b"one")
    side.clock.advance(0)
    assert len(side.handler.exchanges) == 2
    side.handler.exchanges[1].respond(404, [], b"two")
    written = side.take()
    assert written.index(b"one") < written.index(b"two")
    assert not side.transport.is_closed


def test_a_stream_goes_in_chunks_and_ends():
    side = ServerSide()
    side.send(GET)
    exchange = side.handler.exchanges[0]
    exchange.start(200, [(b"Seal", b"s")])
    exchange.write(b"event")
    assert b"5\r\nevent\r\n" in side.take()
    exchange.finish()
    assert side.take() == b"0\r\n\r\n"
    assert side.handler.in_flight == 0


def test_an_aborted_answer_cannot_look_whole():
    side = ServerSide()
    side.send(GET)
    exchange = side.handler.exchanges[0]
    exchange.start(200, [])
    exchange.write(b"event")
    exchange.abort()
    assert side.transport.is_aborted
    assert not side.take().endswith(b"0\r\n\r\n")


def test_a_client_that_leaves_is_told_of_once():
    side = ServerSide()
    side.send(GET)
    disconnects = []
    side.handler.exchanges[0].on_disconnect = lambda: disconnects.append(1)
    side.client_disconnects()
    side.handler.exchanges[0].respond(200, [], b"late")
    assert disconnects == [1]
    assert side.handler.in_flight == 0


def test_a_client_that_leaves_before_its_body_is_read_has_sent_no_request():
    side = ServerSide()
    side.send(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf")
    assert side.handler.in_flight == 1
    side.client_disconnects()
    assert side.handler.exchanges == []
    assert side.handler.in_flight == 0


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 500, b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", b""),
    ],
)
def test_what_is_over_the_limits_is_refused_and_closed(data, status):
    side = ServerSide()
    side.send(data)
    if not status:
        side.send(b"x" * 101)
        status = b"413"
    assert side.take().startswith(b"HTTP/1.1 " + status)
    assert side.transport.is_closed
    assert side.handler.exchanges == []


def test_an_idle_connection_is_closed_at_its_time():
    side = ServerSide()
    side.send(GET)
    side.handler.exchanges[0].respond(200, [], b"")
    side.clock.advance(9.9)
    assert not side.transport.is_closed
    side.clock.advance(5.0)
    assert side.transport.is_closed


def test_a_head_that_does_not_come_is_not_waited_for():
    side = ServerSide()
    side.send(b"GET / HT")
    side.clock.advance(2.1)
    assert side.transport.is_closed


def test_a_long_answer_is_not_idle():
    side = ServerSide()
    side.send(GET)
    side.clock.advance(30.0)
    assert not side.transport.is_closed


def test_answers_of_a_closing_daemon_end_their_connection():
    side = ServerSide()
    side.send(GET)
    side.handler.closing = True
    side.handler.exchanges[0].respond(200, [], b"x")
    assert b"connection: close" in side.take().lower()
    assert side.transport.is_closed


def test_only_idle_connections_close_for_a_stop():
    side = ServerSide()
    side.send(GET)
    side.connection.close_if_idle()
    assert not side.transport.is_closed
    side.handler.exchanges[0].respond(200, [], b"")
    side.connection.close_if_idle()
    assert side.transport.is_closed


def test_a_client_that_waits_to_send_its_body_is_told_to():
    side = ServerSide()
    side.send(
        b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        b"Content-Length: 2\r\n\r\n"
    )
    assert side.take().startswith(b"HTTP/1.1 100")
    side.send(b"ab")
    assert side.handler.exchanges[0].body == b"ab"


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
def test_an_answer_that_has_no_body_is_sent_without_it(method, status):
    """h11 raises for a body there, and nothing of the answer was sent."""
    side = ServerSide()
    side.send(GET.replace(b"GET", method.encode()) + GET)
    side.handler.exchanges[0].respond(status, [], b"body")
    answer = side.take()
    assert answer.startswith(b"HTTP/1.1 %d" % status)
    assert b"body" not in answer
    side.clock.advance(0.0)
    side.handler.exchanges[1].respond(200, [], b"next")
    assert side.take().endswith(b"next")
