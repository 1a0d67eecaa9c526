"""Servers whose heads or bodies have no end: what a daemon reads of one is bounded."""

import pytest

from notcharch.events import http
from notcharch.http.messages import RequestHead
from notcharch.http.requester import NoResponse, PendingRequest, Requester
from tests.unit.events.capture import captured, of
from tests.unit.http.pipe import ClientSide

LIMIT = 300_000
PIECE = b"x" * 50_000
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"c350\r\n" + PIECE + b"\r\n"


def ask(side: ClientSide) -> PendingRequest:
    requester = Requester.__new__(Requester)
    head = RequestHead(b"GET", b"/log-read?part=0", [(b"Host", b"h")])
    pending = PendingRequest(requester, head, b"", LIMIT)
    pending.connection = side.connection
    side.connection.send(head, b"", pending)
    return pending


@pytest.mark.parametrize(
    ("begin", "piece", "outcome"),
    [
        (CHUNKED, CHUNK, NoResponse.TOO_LONG),
        (HEAD + b"\r\n", PIECE, NoResponse.TOO_LONG),
        (HEAD + b"Content-Length: 999999999\r\n\r\n", PIECE, NoResponse.TOO_LONG),
        (HEAD, b"a: " + PIECE + b"\r\n", NoResponse.BROKEN_OFF),
        (HEAD + b"a: ", PIECE, NoResponse.BROKEN_OFF),
        (b"", PIECE, NoResponse.BROKEN_OFF),
        (CHUNKED + b"5;", PIECE, NoResponse.BROKEN_OFF),
        (CHUNKED + b"0\r\n", b"a: " + PIECE + b"\r\n", NoResponse.BROKEN_OFF),
    ],
    ids=["chunks", "unframed", "length", "lines", "line", "noise", "chunk", "trailer"],
)
def test_an_answer_without_end_is_read_up_to_its_limit(begin, piece, outcome):
    side = ClientSide()
    pending = ask(side)
    if begin:
        side.respond(begin)
    read = 0
    while not side.transport.is_closed and read < 10 * LIMIT:
        side.respond(piece)
        read += len(piece)
    assert read <= LIMIT + 2 * len(piece)
    assert side.transport.is_aborted
    results = []
    pending.result.addCallback(results.append)
    assert results[0].err_value is outcome


def test_an_answer_that_is_too_long_is_logged_with_its_path_alone():
    side = ClientSide()
    ask(side)
    with captured() as messages:
        side.respond(CHUNKED + CHUNK * (LIMIT // len(PIECE) + 1))
    (logged,) = of(messages, http.AnswerTooLong)
    assert (logged["peer"], logged["name"]) == ("store", "/log-read")


def test_a_long_answer_within_its_limit_comes_through():
    side = ClientSide()
    pending = ask(side)
    results = []
    pending.result.addCallback(results.append)
    pending.connection = None  # it is not given back to a pool here
    side.respond(CHUNKED + CHUNK * (LIMIT // len(PIECE)) + b"0\r\n\r\n")
    assert results[0].ok_value.body == PIECE * (LIMIT // len(PIECE))
