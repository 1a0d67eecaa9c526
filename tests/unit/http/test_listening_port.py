"""Closing a port on which clients have opened connections that were not accepted yet."""

import socket

import pytest
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from notcharch.http.listening_port import close_listening_port

CLIENTS = 150


class RecordingFactory(Factory):
    noisy = False

    def __init__(self) -> None:
        self.accepted = []

    def buildProtocol(self, addr):  # noqa: N802
        self.accepted.append(Protocol())
        return self.accepted[-1]


def test_connections_in_the_queue_of_a_port_are_accepted_before_it_is_closed():
    """Guards against connections that a planned stop resets unanswered."""
    factory = RecordingFactory()
    port = reactor.listenTCP(0, factory, 512, "127.0.0.1")
    address = ("127.0.0.1", port.getHost().port)
    clients = [socket.create_connection(address) for _ in range(CLIENTS)]
    close_listening_port(port)
    assert len(factory.accepted) == CLIENTS
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    close_listening_port(port)
    for connection in factory.accepted:
        connection.transport.abortConnection()
    for client in clients:
        client.close()
