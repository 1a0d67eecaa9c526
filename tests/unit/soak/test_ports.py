"""How the soak places its daemons, and how it holds their ports."""

import socket

import pytest

from deploy.soak import ports
from deploy.soak.command import draw_shared_range, draw_usual_ports
from deploy.soak.ports import (
    LOW_PORTS,
    USUAL_PORTS,
    HoldKind,
    PortUse,
    free_ports,
    hold_port,
    read_port_uses,
    used_without_listener,
)
from deploy.soak.settings import HOST

FIRST_OUTGOING_PORT, LAST_OUTGOING_PORT = 32768, 60999
"""Linux' default for the ports of outgoing connections (`ip_local_port_range`)."""


def test_daemons_get_ports_that_outgoing_connections_may_have_in_a_part_of_the_runs():
    """A daemon once ended as such a connection held its port; it has to wait for it."""
    usual = sum(draw_usual_ports(seed) for seed in range(200))
    assert 60 < usual < 140
    drawn = [free_ports(1, USUAL_PORTS)[0] for _ in range(50)]
    assert min(drawn) >= FIRST_OUTGOING_PORT
    assert max(drawn) <= LAST_OUTGOING_PORT


def test_in_the_other_runs_no_outgoing_connection_can_hold_the_port_of_a_daemon():
    drawn = [free_ports(1, LOW_PORTS)[0] for _ in range(50)]
    assert len(set(drawn)) == 50
    assert max(drawn) < FIRST_OUTGOING_PORT


def test_two_daemons_that_do_not_run_yet_never_get_the_same_port():
    """One could not listen, and its callers would be answered by the other one."""
    few = range(15_000, 15_400)
    given = [port for _ in range(60) for port in free_ports(3, few)]
    assert len(set(given)) == len(given)


def test_daemons_share_the_range_of_their_peers_in_a_part_of_the_runs():
    """A daemon that takes the next port of its range may meet another one there."""
    assert 60 < sum(draw_shared_range(seed) for seed in range(200)) < 140


def test_the_ports_of_a_range_follow_each_other():
    drawn = free_ports(4)
    assert drawn == list(range(drawn[0], drawn[0] + 4))


def test_the_search_for_free_ports_ends(monkeypatch):
    monkeypatch.setattr(ports, "_is_free", lambda _: False)
    with pytest.raises(OSError, match="no 2 free ports"):
        free_ports(2)


def listens(port: int) -> bool:
    """Try to listen as a daemon does."""
    with socket.socket() as opened:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            opened.bind((HOST, port))
            opened.listen()
        except OSError:
            return False
        return True


@pytest.mark.parametrize("kind", list(HoldKind))
def test_a_held_port_keeps_a_daemon_from_listening_until_it_is_given_back(kind):
    [port] = free_ports(1)
    held = hold_port(port, kind)
    assert held is not None
    assert held.kind is kind
    assert held.takes_connections is (kind is HoldKind.LISTENING)
    assert not listens(port)
    held.release()
    assert listens(port)


@pytest.mark.parametrize("kind", list(HoldKind))
def test_a_port_that_a_daemon_has_cannot_be_held(kind):
    with socket.create_server((HOST, 0)) as daemon:
        assert hold_port(daemon.getsockname()[1], kind) is None


def test_a_port_of_connections_without_a_listener_is_in_use():
    """Such a port keeps a daemon from being ready, and is no fault of the daemon."""
    table = (
        "  sl  local_address rem_address   st tx_queue\n"
        "   0: 0100007F:0BB8 00000000:0000 0A 00000000\n"
        "   1: 0100007F:0BB8 0100007F:1000 01 00000000\n"
        "   2: 0100007F:0BB9 0100007F:1000 01 00000000\n"
        "   3: 0100007F:0BBA 0100007F:1000 06 00000000\n"
    )
    uses = read_port_uses(table)
    assert uses[0] == PortUse(3000, "0A")
    assert used_without_listener(uses) == {3001}
