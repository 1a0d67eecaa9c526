"""What the soak makes of the answers of daemons to its probes."""

import pytest
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from deploy.soak import readiness
from deploy.soak.ports import UsedPorts
from deploy.soak.readiness import ASK_SECONDS, Readiness
from deploy.soak.recovery import MEASURING_SECONDS, RECOVERY_SECONDS

FRONT, PROBES = 1, 2


class Transport(StringTransport):
    """A connection in memory."""

    def setTcpNoDelay(self, enabled):  # noqa: N802 - Twisted's name
        pass


class Daemon:
    """A daemon that is probed."""

    name = "d0"
    front, readiness = FRONT, PROBES
    interruptions = 0
    front_is_held = False
    present: tuple[str, ...] = ()

    def collect_ends(self):
        pass

    def causes(self, used):
        return list(self.present)


class Scene:
    """One daemon whose probes are answered by hand."""

    def __init__(self, monkeypatch, causes=(), others=()):
        monkeypatch.setattr(readiness, "read_used_ports", UsedPorts)
        self.reactor = MemoryReactorClock()
        self.daemon = Daemon()
        self.readiness = Readiness(
            self.reactor, [*others, self.daemon], lambda: list(causes)
        )
        self.readiness.start()

    def answer(self, status: int, *, place: int = -1) -> None:
        """Answer the newest probe, or one before it."""
        connections = [c for c in self.reactor.tcpClients if c[1] == PROBES]
        protocol = connections[place][2].buildProtocol(None)
        protocol.makeConnection(Transport())
        head = b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status
        protocol.dataReceived(head)

    def callers(self):
        """Return the connections that were made as a caller makes them."""
        return [c[2] for c in self.reactor.tcpClients if c[1] == FRONT]

    def rules(self):
        return [violation.rule for violation in self.readiness.violations()]


@pytest.mark.parametrize(("status", "count"), [(200, 1), (503, 0)])
def test_only_after_an_answer_that_it_is_ready_a_caller_connects(
    status, count, monkeypatch
):
    scene = Scene(monkeypatch)
    scene.answer(status)
    assert len(scene.callers()) == count


@pytest.mark.parametrize(("interruptions", "found"), [(0, ["READY"]), (1, [])])
def test_a_daemon_that_is_ready_and_refuses_a_caller_is_seen(
    interruptions, found, monkeypatch
):
    scene = Scene(monkeypatch)
    scene.answer(200)
    scene.daemon.interruptions = interruptions
    scene.callers()[0].clientConnectionFailed(None, Failure(Refused()))
    assert scene.rules() == found


@pytest.mark.parametrize(("is_held", "found"), [(False, []), (True, ["READY"])])
def test_a_caller_that_is_accepted_by_the_soak_itself_shows_no_readiness(
    is_held, found, monkeypatch
):
    scene = Scene(monkeypatch)
    scene.daemon.front_is_held = is_held
    scene.answer(200)
    scene.callers()[0].buildProtocol(None).makeConnection(Transport())
    assert scene.rules() == found


@pytest.mark.parametrize(
    ("own", "common", "found"),
    [((), (), ["RECOVER"]), (("paused",), (), []), ((), ("the store",), [])],
)
def test_a_daemon_that_stays_unready_without_a_cause_is_seen(
    own, common, found, monkeypatch
):
    scene = Scene(monkeypatch, common)
    scene.daemon.present = own
    scene.answer(503)
    scene.reactor.advance(RECOVERY_SECONDS + MEASURING_SECONDS + 0.1)
    scene.readiness.observe()
    assert scene.rules() == found
    assert all("says 503 {}" in v.what for v in scene.readiness.violations())


def test_a_daemon_is_probed_each_second_and_left_out_after_two_misses(monkeypatch):
    other = Daemon()
    other.name = "d1"
    scene = Scene(monkeypatch, others=[other])
    for _ in range(2):
        scene.answer(503)
        scene.answer(200, place=-2)
        scene.reactor.advance(ASK_SECONDS)
    assert scene.readiness.ready() == [other]
