"""Entries, records and answers that can't be read, or have no end."""

import enum
from random import Random
from typing import Any

from deploy.soak.unframed import server_connection
from notcharch.http.exchange import Exchange

NESTING = 20_000
NESTED = b"[" * NESTING + b"]" * NESTING
PIECE = b"x" * 64 * 1024
PIECE_SECONDS = 0.01
"""Between two pieces of an answer without end."""
BAD_RECORDS = (b"", b"\x09cut", b"\x02\xff\xfe{}", b"\xff")
"""Records of a keyed topic without a readable key."""
BAD_ITEMS = (b"null", NESTED, b'{"private_key":"odd","value":"!","offset":0}')
"""Items of a page of keys."""
BAD_ROWS = (b"null", b'["t","x",0]', NESTED)
"""Rows of an assignment, or of the owners."""


class Spoil(enum.Enum):
    """What is wrong with an engine's entry."""

    NONE = b""
    NESTED = b'"odd":' + NESTED
    NO_NUMBER = b'"odd":NaN'
    COLD = b'"cold_remaining_ms":1e400'
    SLOTS = b'"slots":"many"'
    VERSION = b'"version":{}'
    ZONE = b'"zone":7'

    def apply(self, entry: bytes) -> bytes:
        """Return an entry with a bad member after the others."""
        return entry if self is Spoil.NONE else b"%b,%b}" % (entry[:-1], self.value)


BAD_ENTRIES = tuple(spoil for spoil in Spoil if spoil is not Spoil.NONE)


def insert_part(body: bytes, name: bytes, part: bytes) -> bytes:
    """Return a JSON object with a bad first element in one of its lists."""
    start = b'"%b":[' % name
    rest = body.partition(start)[2]
    separator = b"" if rest.startswith(b"]") else b","
    return body.replace(start, start + part + separator, 1)


class EndlessKind(enum.Enum):
    """Where an answer without end has no end."""

    HEAD = "head"
    BODY = "body"

    @classmethod
    def draw(cls, random: Random) -> "EndlessKind":
        """Draw one."""
        return random.choice(list(cls))


class EndlessAnswer:
    """Writes bytes that are no answer until the caller closes."""

    def __init__(self, reactor: Any, exchange: Exchange, kind: EndlessKind) -> None:
        """Begin at once."""
        self._reactor = reactor
        self._exchange = exchange
        self._is_over = False
        self._kind = kind
        exchange.on_disconnect = self.stop
        if kind is EndlessKind.BODY:
            exchange.start(200, [])
        else:
            server_connection(exchange).transport.write(b"HTTP/1.1 200 OK\r\n")
        self._write()

    def stop(self) -> None:
        """Write no more."""
        self._is_over = True

    def _write(self) -> None:
        if self._is_over:
            return
        if self._kind is EndlessKind.BODY:
            self._exchange.write(PIECE)
        else:
            server_connection(self._exchange).transport.write(
                b"odd: " + PIECE + b"\r\n"
            )
        self._reactor.callLater(PIECE_SECONDS, self._write)
