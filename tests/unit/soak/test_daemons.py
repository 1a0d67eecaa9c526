"""How the soak places its daemons."""

from deploy.soak import daemons
from deploy.soak.daemons import free_ports

FIRST_OUTGOING_PORT = 32768
"""Linux' default for the ports of outgoing connections (`ip_local_port_range`)."""


def test_no_outgoing_connection_can_hold_the_port_of_a_daemon_that_is_down():
    """It could not listen when it starts again, and would count as ended by itself."""
    ports = free_ports(50)
    assert len(set(ports)) == 50
    assert max(ports) < FIRST_OUTGOING_PORT


def test_two_daemons_that_do_not_run_yet_never_get_the_same_port(monkeypatch):
    """One could not listen, and its callers would be answered by the other one."""
    monkeypatch.setattr(daemons, "LISTENED_PORTS", range(15_000, 15_400))
    given = [port for _ in range(60) for port in free_ports(3)]
    assert len(set(given)) == len(given)
