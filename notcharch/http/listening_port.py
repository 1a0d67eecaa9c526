"""Closes a listening port without losing connections that clients have opened."""

from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.interfaces import IListeningPort
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

ACCEPTS_AT_ONCE = 1024
"""More than the backlog of a port."""


def close_listening_port(port: IListeningPort) -> "Deferred[Any]":
    """Accept the connections that wait in the port's queue, and close the port.

    The kernel resets those that are still in the queue when the port is closed. Twisted's
    `stopListening` closes it a moment later, so it is closed here at once.
    """
    if not isinstance(port, Port):
        return maybeDeferred(port.stopListening)
    if port.connected:
        _accept_all(port)
        port.stopReading()
        port.connectionLost(Failure(CONNECTION_DONE))
    return succeed(None)


def _accept_all(port: Port) -> None:
    port.numberAccepts = ACCEPTS_AT_ONCE
    port.doRead()
