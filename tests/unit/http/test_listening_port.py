"""Closing a port on which clients have opened connections that were not accepted yet."""

import socket

import pytest
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from notcharch.http.listening_port import close_listening_port
from notcharch.http.sockets import has_unread_bytes

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


def test_bytes_that_wait_in_the_socket_of_a_connection_are_noticed():
    """Guards against a close of an idle connection that resets the request in its socket."""
    factory = RecordingFactory()
    port = reactor.listenTCP(0, factory, 512, "127.0.0.1")
    client = socket.create_connection(("127.0.0.1", port.getHost().port))
    close_listening_port(port)
    [connection] = factory.accepted
    assert not has_unread_bytes(connection.transport)
    client.sendall(b"x")
    assert has_unread_bytes(connection.transport)
    connection.transport.getHandle().recv(1)
    assert not has_unread_bytes(connection.transport)
    client.close()
    assert not has_unread_bytes(connection.transport)
    connection.transport.abortConnection()
