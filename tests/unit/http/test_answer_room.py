"""Answers of the store that are read at once, as at a takeover, take a bounded memory.

A daemon reads each of its partitions when it takes them over: 48 pages of a megabyte at once
took more than a machine of 130 MB has.
"""

from types import SimpleNamespace

from twisted.internet.testing import MemoryReactorClock

from notcharch.http.answer_room import AnswerRoom
from notcharch.http.requester import NoResponse, Requester
from notcharch.values.memory_pool import MemoryPool
from tests.unit.http.pipe import TcpTransport

KILOBYTE = 1024
READ = b"x" * 64 * KILOBYTE
SECONDS = 1.5


class Transport(TcpTransport):
    """A server's side that sends only while it is read."""

    protocol = None

    def getHandle(self):  # noqa: N802
        return SimpleNamespace(setsockopt=lambda *_: None)

    def abortConnection(self):  # noqa: N802
        super().abortConnection()

    def send(self, data: bytes) -> bool:
        if self.producerState != "producing":
            return False
        self.protocol.dataReceived(data)
        return True


class Store:
    """Requests to a server, whose answers are sent piece by piece."""

    def __init__(self, limit_bytes: int) -> None:
        self.reactor = MemoryReactorClock()
        self.held = MemoryPool().holder("store")
        self.room = AnswerRoom(limit_bytes, self.held)
        self.requester = Requester(self.reactor, "10.0.0.1", 1, room=self.room)
        self.transports: list[Transport] = []
        self.outcomes: list = []

    def request(self, size: int) -> Transport:
        pending = self.requester.request(b"GET", b"/", b"", SECONDS, 1 << 30)
        pending.addCallback(self.outcomes.append)
        transport = Transport()
        factory = self.reactor.tcpClients[-1][2]
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        transport.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        self.transports.append(transport)
        return transport


def test_above_the_bound_only_the_oldest_answer_is_read_on():
    store = Store(4 * len(READ))
    pieces = 6
    transports = [store.request(pieces * len(READ)) for _ in range(20)]
    left = dict.fromkeys(range(20), pieces)
    most = 0
    for _ in range(20 * pieces):
        for number, transport in enumerate(transports):
            if left[number] and transport.send(READ):
                left[number] -= 1
        most = max(most, store.held.held)
    assert len(store.outcomes) == 20
    assert all(len(o.ok_value.body) == pieces * len(READ) for o in store.outcomes)
    assert most <= (4 + pieces + 20) * len(READ), "one read more of each, and one whole"
    assert store.held.held == 0


def test_an_answer_does_not_time_out_while_it_is_not_read():
    store = Store(len(READ))
    first, second = store.request(3 * len(READ)), store.request(2 * len(READ))
    first.send(READ)
    second.send(READ)
    store.reactor.advance(SECONDS - 0.1)
    assert not second.send(READ)
    store.reactor.advance(0.2)
    assert len(store.outcomes) == 1, "the second one's time-out begins anew"
    assert store.outcomes[0].err_value is NoResponse.SENT
    assert second.send(READ), "it is read on"
    assert len(store.outcomes[1].ok_value.body) == 2 * len(READ)


def test_an_answer_that_is_read_on_times_out_as_before():
    store = Store(len(READ))
    first, second = store.request(2 * len(READ)), store.request(2 * len(READ))
    first.send(READ)
    second.send(READ)
    first.send(READ)
    store.reactor.advance(SECONDS + 0.1)
    assert store.outcomes[1].err_value is NoResponse.SENT
    assert store.held.held == 0


def test_a_connection_that_ends_its_answer_while_it_is_paused_can_be_used_again():
    store = Store(len(READ))
    first, second = store.request(3 * len(READ)), store.request(len(READ) + 1)
    first.send(READ)
    second.send(READ + b"x")
    assert second.producerState == "producing"
    assert len(store.outcomes) == 1
    assert second.protocol._wrappedProtocol.is_reusable
