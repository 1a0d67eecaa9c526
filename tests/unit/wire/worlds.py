"""The same small world of peers over each implementation of `PeerNetwork`."""

from random import Random

from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.peers.time import run_for
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    RegionName,
    ZoneName,
)
from notcharch.wire.codec import default_codec
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.limits import DEFAULT_LIMITS, ConnectionLimits
from tests.unit.wire.loopback import LoopbackReactor

REGION = RegionName("region1")
ALPHA, BETA, GAMMA = DaemonName("alpha"), DaemonName("beta"), DaemonName("gamma")


def value_of(deferred):
    """Give the value of a Deferred that must have fired."""
    values = []
    deferred.addCallback(values.append)
    assert values, "has not fired"
    return values[0]


def has_fired(deferred) -> bool:
    return bool(deferred.called)


class MemoryWorld:
    """Daemons on the memory fabric."""

    def __init__(self, encode: bool = True) -> None:
        self.clock = Clock()
        self.fabric = MemoryFabric(self.clock, Random(7), encode=encode)

    def start(self, name: DaemonName, incarnation: int = 1):
        member = Member(name, Incarnation(incarnation))
        return self.fabric.join(member, ZoneName("zone-a")).network

    def crash(self, name: DaemonName) -> None:
        self.fabric.crash(name)

    def stall(self, name: DaemonName) -> None:
        self.fabric.pause(name)

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)


class TcpWorld:
    """Daemons over loopback TCP, all told of one another."""

    def __init__(self, limits: ConnectionLimits = DEFAULT_LIMITS) -> None:
        self.clock = Clock()
        self.reactor = LoopbackReactor(self.clock)
        self.limits = limits
        self.memory = None
        """Bounds of the daemons that start next."""
        self.networks: dict[DaemonName, TcpPeerNetwork] = {}
        self.addresses: dict[DaemonName, str] = {}

    def start(
        self, name: DaemonName, incarnation: int = 1, region: RegionName = REGION
    ) -> TcpPeerNetwork:
        network = TcpPeerNetwork(
            self.reactor,
            self.clock,
            own=Member(name, Incarnation(incarnation)),
            region=region,
            codec=default_codec(),
            random=Random(7),
            limits=self.limits,
            memory=self.memory,
        )
        port = network.listen("127.0.0.1", 0)
        self.networks[name] = network
        self.addresses[name] = f"127.0.0.1:{port}"
        for peer, address in self.addresses.items():
            network.set_address(peer, address)
            self.networks[peer].set_address(name, self.addresses[name])
        return network

    def crash(self, name: DaemonName) -> None:
        self.networks[name].stop()

    def stall(self, name: DaemonName) -> None:
        del name
        self.reactor.stop_all()

    def run(self, seconds: float) -> None:
        self.reactor.run(seconds)


WORLDS = {
    "memory": lambda: MemoryWorld(encode=False),
    "memory-encoded": MemoryWorld,
    "tcp": TcpWorld,
}
