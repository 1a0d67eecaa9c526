"""An eager write preserves byte order, however much the socket accepts."""

import pytest
from twisted.internet.protocol import Protocol
from twisted.internet.tcp import Connection
from twisted.internet.testing import StringTransport

from notcharch.clients.eager_writer import eager_write


class Socket:
    """Accepts the scripted number of bytes, or raises the scripted error."""

    def __init__(self, script):
        self.script = list(script)
        self.taken = b""

    def setblocking(self, _flag):
        pass

    def fileno(self):
        return 5

    def send(self, data):
        action = self.script.pop(0)
        if isinstance(action, Exception):
            raise action
        self.taken += bytes(data[:action])
        return min(action, len(data))


class Reactor:
    """Records the registered writers."""

    def __init__(self):
        self.writers = set()

    def addWriter(self, writer):  # noqa: N802
        self.writers.add(writer)

    def removeWriter(self, writer):  # noqa: N802
        self.writers.discard(writer)


CASES = (
    pytest.param([9, 9], b"abcdef", b"", id="all is taken"),
    pytest.param([2], b"ab", b"cdef", id="a part is taken"),
    pytest.param([BlockingIOError(11, "full")], b"", b"abcdef", id="nothing is taken"),
    pytest.param([ConnectionResetError(104, "gone")], b"", b"abcdef", id="it is lost"),
    pytest.param([9, 0], b"abc", b"def", id="the second finds it full"),
)


@pytest.mark.parametrize(("script", "taken", "waiting"), CASES)
def test_bytes_go_out_at_once_or_wait_in_order(script, taken, waiting):
    socket, reactor = Socket(script), Reactor()
    connection = Connection(socket, Protocol(), reactor)
    connection.connected = True
    write = eager_write(connection)
    write(b"abc")
    write(b"def")
    assert socket.taken == taken
    assert b"".join(connection._tempDataBuffer) == waiting
    assert bool(reactor.writers) == bool(waiting)
    socket.script = [99]
    if waiting:
        connection.doWrite()
    assert socket.taken == b"abcdef"
    assert reactor.writers == set()


def test_nothing_is_sent_after_the_connection_is_lost():
    socket = Socket([])
    connection = Connection(socket, Protocol(), Reactor())
    eager_write(connection)(b"abc")
    assert socket.taken == b""


def test_another_transport_is_written_as_usual():
    transport = StringTransport()
    eager_write(transport)(b"abc")
    assert transport.value() == b"abc"
