"""The external dependencies of a daemon's services.

A daemon process provides sockets and clients; tests, simulations and hollow daemons
provide in-memory transports and models.
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
    """The clock, random numbers, network and platform clients of one daemon.

    `clock` returns Unix time in seconds and is monotonic. `peer_address` is the
    `host:port` at which peers reach this process.
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
