"""A daemon of the own interface whose ports are held by another process waits for them."""

import errno
from unittest import mock

import pytest
from twisted.internet.error import CannotListenError

from notcharch.cli.daemon_command import DaemonRun
from notcharch.daemon.core import DaemonCore
from notcharch.daemon.life import LifeState
from notcharch.daemon.process import DaemonAddresses, DaemonProcess
from notcharch.settings.schema import DaemonSection, PlatformSection, Settings
from tests.unit.platform.ports import PortsReactor

HTTP, PEERS = 8080, 8081
HOST = "127.0.0.1"
RETRY_SECONDS = 1.1
NOWHERE = "127.0.0.1:9"
HELD = {"http": {HTTP}, "peers": {PEERS}, "both": {HTTP, PEERS}}


class UdpPortsReactor(PortsReactor):
    """Ports of TCP and UDP; `held_datagrams` are held by other processes for UDP."""

    def __init__(self, held=(), held_datagrams=()) -> None:
        super().__init__(held)
        self.held_datagrams = set(held_datagrams)
        self.opened_datagrams = set()
        self.random_ports = iter(range(40_000, 50_000))

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802
        number = port or next(self.random_ports)
        return super().listenTCP(number, factory, backlog, interface)

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192):  # noqa: N802, N803
        if port in self.held_datagrams:
            reason = OSError(errno.EADDRINUSE, "Address already in use")
            raise CannotListenError(interface, port, reason)
        self.opened_datagrams.add(port)
        datagrams = mock.Mock()
        datagrams.getHost.return_value.port = port
        datagrams.stopListening.side_effect = lambda: self.opened_datagrams.discard(
            port
        )
        return datagrams


def daemon(reactor, http_port=HTTP, peer_port=PEERS) -> DaemonProcess:
    section = DaemonSection(
        name="d1",
        region="r",
        zone="z",
        host=HOST,
        http_port=http_port,
        peer_port=peer_port,
    )
    platform = PlatformSection(log=NOWHERE, machine_list=NOWHERE, weight_store=NOWHERE)
    return DaemonProcess(reactor, Settings(daemon=section, platform=platform))


def outcomes(deferred):
    found = []
    deferred.addBoth(found.append)
    return found


def test_free_ports_are_open_when_start_returns():
    reactor = UdpPortsReactor()
    started = outcomes(daemon(reactor).start())
    assert started == [DaemonAddresses(f"{HOST}:{HTTP}", f"{HOST}:{PEERS}")]
    assert set(reactor.opened) == {HTTP, PEERS}


def test_random_ports_that_are_taken_for_datagrams_are_replaced():
    reactor = UdpPortsReactor(held_datagrams={40_000, 40_001})
    [addresses] = outcomes(daemon(reactor, 0, 0).start())
    assert addresses.peer == f"{HOST}:40002"
    assert set(reactor.opened) == {40_002, 40_003}


@pytest.mark.parametrize("held", HELD.values(), ids=HELD)
def test_a_held_port_is_waited_for(held):
    """Guards against an end of its own, and against services without their ports."""
    reactor = UdpPortsReactor(held)
    process = daemon(reactor)
    with mock.patch.object(DaemonCore, "start") as start:
        started = outcomes(process.start())
        reactor.run_for(30)
        assert not started
        assert not start.called
        assert process.state() is LifeState.STARTING
        reactor.held.clear()
        reactor.run_for(RETRY_SECONDS)
        assert start.called
    assert started == [DaemonAddresses(f"{HOST}:{HTTP}", f"{HOST}:{PEERS}")]


def test_a_port_that_is_held_for_datagrams_is_waited_for_without_its_tcp_port():
    reactor = UdpPortsReactor(held_datagrams={PEERS})
    started = outcomes(daemon(reactor).start())
    reactor.run_for(5)
    assert not started
    assert not reactor.opened
    reactor.held_datagrams.clear()
    reactor.run_for(RETRY_SECONDS)
    assert started


@pytest.mark.parametrize("held", HELD.values(), ids=HELD)
def test_a_stop_while_waiting_ends_at_once(held):
    reactor = UdpPortsReactor(held)
    process = daemon(reactor)
    started = outcomes(process.start())
    reactor.run_for(3)
    stopped = outcomes(process.stop())
    assert len(stopped) == 1
    assert process.state() is LifeState.STOPPED
    reactor.held.clear()
    reactor.run_for(5)
    assert not reactor.opened
    assert not reactor.opened_datagrams
    assert not started


DEFECT = RuntimeError("a defect")
STEPS = ["notcharch.daemon.process.DaemonCore", "notcharch.daemon.process.LimitedSite"]
STEPS += ["notcharch.daemon.core.DaemonCore.start"]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("held", [{}, {PEERS}], ids=["at once", "after a wait"])
def test_a_defect_in_a_step_closes_everything_and_is_reported(step, held):
    """Guards against a daemon that lives and has started half of its parts."""
    reactor = UdpPortsReactor(held)
    process = daemon(reactor)
    with mock.patch(step, side_effect=DEFECT):
        started = outcomes(process.start())
        reactor.run_for(3)
        reactor.held.clear()
        reactor.run_for(3)
    assert [failure.value for failure in started] == [DEFECT]
    assert len(outcomes(process.when_stopped())) == 1
    assert not reactor.opened
    assert not reactor.opened_datagrams


def test_the_command_waits_for_its_ports(capsys):
    reactor = UdpPortsReactor({HTTP})
    run = DaemonRun(daemon(reactor), reactor)
    run.start()
    reactor.run_for(5)
    assert not reactor.hasStopped
    assert not capsys.readouterr().out
    reactor.held.clear()
    reactor.run_for(RETRY_SECONDS)
    assert '"ready":true' in capsys.readouterr().out


def test_the_command_reports_a_defect(capsys):
    reactor = UdpPortsReactor()
    run = DaemonRun(daemon(reactor), reactor)
    with mock.patch.object(DaemonCore, "start", side_effect=DEFECT):
        run.start()
    assert reactor.hasStopped
    assert run.exit_status == 1
    assert "a defect" in capsys.readouterr().err
