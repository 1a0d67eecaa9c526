"""Decodes what operators and engines write, as a whole."""

from notcharch.calls.interface import Engine
from notcharch.calls.routing import RouteTable
from notcharch.platform.configuration import (
    CONFIGURATION_DECODER,
    SERVER_DECODER,
    to_engine,
    to_table,
)


def decode_engine(id: str, value: bytes) -> Engine:
    return to_engine(id, SERVER_DECODER.decode(value))


def decode_table(value: bytes) -> RouteTable:
    return to_table(CONFIGURATION_DECODER.decode(value))
