"""What the soak's callers do when it is over."""

from random import Random

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from deploy.soak.callers import Callers
from deploy.soak.large_turns import LargeTurns
from deploy.soak.oracle import Oracle
from deploy.soak.tenants import Tenants


class Daemon:
    """A daemon that callers may choose."""

    name = "d0"
    front = 1
    front_leads_to_the_soak = False


class Transport(StringTransport):
    """A connection in memory."""

    def setTcpNoDelay(self, enabled):  # noqa: N802 - Twisted's name
        pass


def begin(reactor: MemoryReactorClock, oracle: Oracle, *, is_running: bool) -> None:
    """Let one caller ask for a turn."""
    callers = Callers(
        reactor,
        Random(1),
        oracle,
        lambda: [Daemon()],
        tenants=Tenants(Random(1)),
        large=LargeTurns(Random(1)),
    )
    callers.is_running = is_running
    tenant = callers._tenants.all[0]
    callers._turn(tenant, "p", b"said", "", b"", is_kept=False)


@pytest.mark.parametrize(("is_running", "asked"), [(True, 1), (False, 0)])
def test_a_caller_that_comes_back_after_the_end_asks_nothing(is_running, asked):
    reactor = MemoryReactorClock()
    oracle = Oracle()
    begin(reactor, oracle, is_running=is_running)
    assert len(oracle.asked) == asked
    assert len(reactor.tcpClients) == asked


@pytest.mark.parametrize(("is_held", "count"), [(True, 0), (False, 1)])
def test_a_connection_to_a_held_port_is_none_to_the_daemon(is_held, count, monkeypatch):
    """What is lost there was not cut by the daemon."""
    monkeypatch.setattr(Daemon, "front_leads_to_the_soak", is_held)
    reactor, oracle = MemoryReactorClock(), Oracle()
    begin(reactor, oracle, is_running=True)
    factory = reactor.tcpClients[0][2]
    connection = factory.buildProtocol(None)
    connection.makeConnection(Transport())
    assert sum(asked.is_connected for asked in oracle.asked.values()) == count


def test_a_connection_to_a_port_that_the_soak_takes_meanwhile_is_none_to_the_daemon(
    monkeypatch,
):
    """Guards against a cut that is put down to a daemon which does not run."""
    reactor, oracle = MemoryReactorClock(), Oracle()
    begin(reactor, oracle, is_running=True)
    monkeypatch.setattr(Daemon, "front_leads_to_the_soak", True)
    factory = reactor.tcpClients[0][2]
    connection = factory.buildProtocol(None)
    connection.makeConnection(Transport())
    assert not any(asked.is_connected for asked in oracle.asked.values())
