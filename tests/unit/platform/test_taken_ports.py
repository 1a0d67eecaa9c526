"""A daemon whose ports are held by another process waits for them or does without."""

import errno

import pytest
from twisted.internet.error import CannotListenError
from twisted.internet.testing import MemoryReactorClock

from notcharch.platform.process import Process
from notcharch.platform.settings import read_settings
from notcharch.settings.mechanisms import ALL_MECHANISMS
from tests.unit.platform.test_settings import TEXT

FRONT, READINESS, METRICS, FIRST_PEER_PORT = 8149, 8141, 9464, 7380
STORE_PORT = 8142
LONG_SECONDS = 10.0


class ReactorWithTakenPorts(MemoryReactorClock):
    """A reactor on which some ports are held by another process."""

    def __init__(self, taken: set[int]) -> None:
        super().__init__()
        self.taken = taken

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802
        if port in self.taken:
            reason = OSError(errno.EADDRINUSE, "Address already in use")
            raise CannotListenError(interface, port, reason)
        return super().listenTCP(port, factory, backlog, interface)

    def listened(self) -> set[int]:
        return {port for port, *_ in self.tcpServers}

    def advance_long(self) -> None:
        self.pump([0.1] * int(LONG_SECONDS / 0.1))


@pytest.fixture
def start():
    def start(reactor) -> Process:
        settings = read_settings(TEXT).ok_value
        process = Process(settings, reactor, METRICS, ALL_MECHANISMS)
        process.start()
        return process

    return start


def test_a_taken_port_of_callers_probes_or_metrics_does_not_end_the_daemon(start):
    reactor = ReactorWithTakenPorts({FRONT, READINESS, METRICS})
    start(reactor)
    reactor.advance_long()
    assert not reactor.hasStopped
    reactor.taken.clear()
    reactor.advance_long()
    assert {FRONT, READINESS, METRICS} <= reactor.listened()


def test_a_taken_port_of_the_peers_does_not_leave_the_daemon_half_started(start):
    reactor = ReactorWithTakenPorts({FIRST_PEER_PORT})
    start(reactor)
    reactor.advance_long()
    assert FIRST_PEER_PORT + 1 in reactor.listened()
    assert STORE_PORT in {port for _, port, *_ in reactor.tcpClients}
