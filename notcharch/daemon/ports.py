"""Everything outside that a daemon's roles use, gathered for construction.

A daemon process fills it with sockets and clients; tests, simulations and hollow
daemons fill it with memory transports and models.
"""

import random

import attrs
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EnginePort, LogPort, MachineListPort
from notcharch.journal.interface import LogService
from notcharch.wire.datagrams import DatagramPort
from notcharch.wire.peers import PeerNetwork


@attrs.frozen
class DaemonPorts:
    """The clock, the chance, the network and the platform of one daemon.

    `clock` gives seconds since 1970 and never jumps. `peer_address` is this
    process's own `host:port` for peers.
    """

    clock: IReactorTime
    chance: random.Random
    network: PeerNetwork
    datagrams: DatagramPort
    peer_address: str
    engines: EnginePort
    log: LogPort
    journal: LogService
    machine_list: MachineListPort
