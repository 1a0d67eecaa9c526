"""The fast path past Twisted's parser is used, and delivers the same data."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport
from twisted.web._newclient import HTTP11ClientProtocol, Request
from twisted.web.http_headers import Headers

from notcharch.clients.http_stream import ExchangeHandlers, HttpStream

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CONTENTS = (b"id: 0\n\n", b"x" * 20, b"\r\n0\r\n\r\n", b"A")
CHUNKS = [b"%x\r\n%b\r\n" % (len(content), content) for content in CONTENTS]
END = b"0\r\n\r\n"
RESPONSE = b"".join([HEAD, *CHUNKS, END])


class OneConnection:
    """An agent with one open connection."""

    def __init__(self):
        self.protocol = HTTP11ClientProtocol()
        self.transport = StringTransport()
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    def request(self, method, url, headers=None, body=None):
        headers = headers.copy() if headers else Headers()
        headers.setRawHeaders(b"host", [b"engine"])
        request = Request(method, url, headers, body, persistent=True)
        return self.protocol.request(request)


class Exchange:
    """One exchange on a connection, with its data and its end."""

    def __init__(self, connection: OneConnection):
        self.pieces: list[bytes] = []
        self.ends: list[object] = []
        handlers = ExchangeHandlers(
            lambda: None, self.pieces.append, self.refused, self.ends.append
        )
        self.stream = HttpStream(handlers)
        self.stream.start(connection, b"GET", b"/", b"")

    def refused(self, status, body):
        raise AssertionError(f"refused with {status} {body}")


def test_whole_chunks_do_not_reach_the_parser():
    connection = OneConnection()
    exchange = Exchange(connection)
    connection.protocol.dataReceived(HEAD)
    parsed = []
    parser = connection.protocol._parser
    parse = parser.dataReceived
    parser.dataReceived = lambda data: (parsed.append(data), parse(data))
    for chunk in CHUNKS:
        connection.protocol.dataReceived(chunk)
    assert parsed == [], "Twisted has changed: the shortcut is no longer taken"
    assert exchange.pieces == list(CONTENTS)
    connection.protocol.dataReceived(END)
    assert exchange.ends == [None]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, len(RESPONSE)), max_size=10))
def test_any_cut_of_the_response_gives_the_same_body(places):
    connection = OneConnection()
    exchange = Exchange(connection)
    cuts = [0, *sorted(places), len(RESPONSE)]
    for start, end in itertools.pairwise(cuts):
        if start < end:
            connection.protocol.dataReceived(RESPONSE[start:end])
    assert b"".join(exchange.pieces) == b"".join(CONTENTS)
    assert exchange.ends == [None]


def test_connection_serves_the_next_reply_and_its_errors():
    connection = OneConnection()
    for _ in range(2):
        exchange = Exchange(connection)
        for piece in (HEAD, *CHUNKS, END):
            connection.protocol.dataReceived(piece)
        assert exchange.ends == [None]
    broken = Exchange(connection)
    for piece in (HEAD, CHUNKS[0], b"not a size\r\n"):
        connection.protocol.dataReceived(piece)
    assert broken.pieces == [CONTENTS[0]]
    assert len(broken.ends) == 1
    assert broken.ends != [None]
