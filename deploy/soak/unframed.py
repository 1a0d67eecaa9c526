"""Answers with neither a length nor chunks, and the ways in which engines end them early."""

import enum
from random import Random
from typing import cast

import msgspec

from notcharch.http.exchange import Exchange
from notcharch.http.messages import Headers
from notcharch.http.server_connection import ServerConnection

OLD_VERSION = b"1.0"
"""To such a client an answer without a length is sent as it is, and ends by a close."""


class EarlyEnd(enum.Enum):
    """How an answer ends before everything is sent."""

    CLOSE = "close"
    HALF_CLOSE = "half-close"
    RESET = "reset"

    @property
    def is_clean(self) -> bool:
        """Whether it looks like the regular end of an unframed answer."""
        return self is not EarlyEnd.RESET


class Break(msgspec.Struct, frozen=True):
    """Where an answer breaks off, and how."""

    at: int
    """Bytes of the body that are sent before."""
    end: EarlyEnd

    @classmethod
    def draw(cls, random: Random, most_bytes: int) -> "Break":
        """Draw one, at any byte."""
        return cls(random.randint(0, most_bytes), random.choice(list(EarlyEnd)))


def server_connection(exchange: Exchange) -> ServerConnection:
    """Return the connection of an exchange."""
    return cast("ServerConnection", exchange._connection)


def begin_unframed(exchange: Exchange, status: int, headers: Headers) -> None:
    """Begin an answer that ends with its connection."""
    server_connection(exchange)._http.their_http_version = OLD_VERSION
    exchange.start(status, headers)


def end_early(exchange: Exchange, end: EarlyEnd) -> None:
    """End the connection of an unframed answer; what was written is sent before."""
    connection = server_connection(exchange)
    if end is EarlyEnd.RESET:
        exchange.abort()
    elif end is EarlyEnd.CLOSE:
        connection._out.lose_connection()
    else:
        connection.transport.loseWriteConnection()
