"""Ports of the daemons, and sockets of the soak that hold them for a while.

All are TCP ports: on the platform daemons use no UDP (`wire/datagrams` belongs to the
daemons of the own interface).
"""

import enum
import socket
from pathlib import Path
from random import SystemRandom

import msgspec

from deploy.soak.settings import HOST

LOW_PORTS = range(15_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections."""
USUAL_PORTS = range(32_768, 61_000)
"""Linux' default for the local ports of outgoing connections (`ip_local_port_range`): one
of these may hold the port of a daemon that is down."""
DRAWS = 100
"""How often a range of free ports is drawn before the search is given up."""
TCP_TABLE = Path("/proc/net/tcp")
LISTEN = "0A"
OPEN_STATES = ("01", "02", "03")
"""States of sockets in the kernel's table. Closed connections that linger keep nobody from
listening."""

_given_ports: set[int] = set()
"""Ports of all daemons, also of those that do not listen yet."""


def free_ports(count: int, ports: range = LOW_PORTS) -> list[int]:
    """Return consecutive ports that nobody uses now, and that were not given before."""
    for _ in range(DRAWS):
        first = SystemRandom().choice(ports[: len(ports) - count + 1])
        drawn = list(range(first, first + count))
        if all(port not in _given_ports and _is_free(port) for port in drawn):
            _given_ports.update(drawn)
            return drawn
    raise OSError(f"no {count} free ports in {ports}")


def _is_free(port: int) -> bool:
    with socket.socket() as opened:
        try:
            opened.bind((HOST, port))
        except OSError:
            return False
        return True


class HoldKind(enum.Enum):
    """How a socket holds a port."""

    LISTENING = "listening"
    BOUND = "bound"
    OUTGOING = "outgoing"
    """It is the local port of a connection to elsewhere."""


class PortHold:
    """A port that a socket of the soak holds until `release`."""

    def __init__(
        self, port: int, kind: HoldKind, sockets: tuple[socket.socket, ...]
    ) -> None:
        """Own the sockets."""
        self.port = port
        self.kind = kind
        self._sockets = sockets

    @property
    def takes_connections(self) -> bool:
        """Whether connections to the port reach the soak."""
        return self.kind is HoldKind.LISTENING

    def release(self) -> None:
        """Give the port back."""
        for opened in self._sockets:
            opened.close()


def hold_port(port: int, kind: HoldKind) -> PortHold | None:
    """Hold a port; None if another process has it.

    A port with connections in TIME_WAIT can be held by a listening socket only.
    """
    return _try_to_hold(port, kind) or _try_to_hold(port, HoldKind.LISTENING)


def _try_to_hold(port: int, kind: HoldKind) -> PortHold | None:
    holder = socket.socket()
    if kind is HoldKind.LISTENING:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        holder.bind((HOST, port))
        if kind is HoldKind.LISTENING:
            holder.listen()
        if kind is not HoldKind.OUTGOING:
            return PortHold(port, kind, (holder,))
        target = socket.create_server((HOST, 0))
        holder.connect(target.getsockname())
        return PortHold(port, kind, (holder, target))
    except OSError:
        holder.close()
        return None


class PortUse(msgspec.Struct, frozen=True):
    """One socket of the kernel's table."""

    port: int
    state: str


def read_port_uses(table: str) -> list[PortUse]:
    """Return the local ports and states of the sockets in the text of /proc/net/tcp."""
    uses = []
    for line in table.splitlines()[1:]:
        fields = line.split()
        uses.append(PortUse(int(fields[1].rpartition(":")[2], 16), fields[3]))
    return uses


def used_without_listener(uses: list[PortUse]) -> set[int]:
    """Return the ports that open connections have, and at which nobody listens.

    Such a port is mostly the local one of an outgoing connection.
    """
    listened = {use.port for use in uses if use.state == LISTEN}
    used = {use.port for use in uses if use.state in OPEN_STATES}
    return used - listened


class UsedPorts(msgspec.Struct, frozen=True):
    """The ports of this machine that are in use."""

    connections: frozenset[int] = frozenset()
    """Of connections, without a listener."""
    listeners: frozenset[int] = frozenset()


def read_used_ports() -> UsedPorts:
    """Return the ports in use now."""
    uses = read_port_uses(TCP_TABLE.read_text())
    listened = frozenset(use.port for use in uses if use.state == LISTEN)
    return UsedPorts(frozenset(used_without_listener(uses)), listened)
