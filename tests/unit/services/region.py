"""Holder and limiter services of several daemons on the in-memory transport."""

import random

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.peers.time import run_for
from notcharch.placement.partitions import partition_of_service
from notcharch.services.allotments import AllotmentsState
from notcharch.services.holder_service import HolderService
from notcharch.services.limiter_service import LimiterService
from notcharch.settings.schema import ServicesSection
from notcharch.table.interface import ServiceRow
from notcharch.values.identifiers import DaemonName, Member, ServiceName
from tests.unit.engines.region import PARTITIONS, DirectRouter, SimplePartitions, View

SERVICE = ServiceName("guide")


class SimpleTable:
    """A `TableView` with one row, which the test changes."""

    def __init__(self, concurrency: int) -> None:
        self.version = 1
        self.listeners = []
        self.only_row = ServiceRow(SERVICE, "t", "model", concurrency=concurrency)

    def row(self, service):
        return self.only_row if service == self.only_row.service else None

    def on_change(self, listener):
        self.listeners.append(listener)

    def set(self, **cells) -> None:
        self.only_row = msgspec.structs.replace(self.only_row, **cells)
        for listener in self.listeners:
            listener()


class Node:
    """One daemon's holder and limiter services."""

    def __init__(self, region: "ServiceRegion", name: str) -> None:
        self.member = Member(DaemonName(name), 1)
        daemon = region.fabric.join(self.member, "zone1")
        self.clock, self.network = daemon.clock, daemon.network
        self.view = View()
        self.limiter = LimiterService(
            network=self.network,
            partitions=region.partitions.view(self.member.daemon),
            allotments_of=region.partitions.states.get,
            table=region.table,
            membership=self.view,
            clock=self.clock,
            monotonic=self.clock.seconds,
            settings=ServicesSection(),
            partition_count=PARTITIONS,
        )
        self.holder = HolderService(
            network=self.network,
            router=DirectRouter(self.network, region),
            clock=self.clock,
            monotonic=self.clock.seconds,
            partition_count=PARTITIONS,
        )
        self.holder.start()
        self.slots = []

    def acquire(self, count=1, give_up_seconds=30.0, service=SERVICE):
        """Request slots; granted ones are appended to `slots`."""
        pending = []
        for _ in range(count):
            coroutine = self.holder.acquire(service, 5, give_up_seconds)
            acquisition = Deferred.fromCoroutine(coroutine)
            acquisition.addCallback(self._record_slot)
            pending.append(acquisition)
        return pending

    def _record_slot(self, result):
        if result.is_ok():
            self.slots.append(result.unwrap())
        return result

    def release(self, count=None):
        released = self.slots[:count]
        del self.slots[:count]
        for slot in released:
            slot.release()


class ServiceRegion:
    """Daemons d1, d2, …; d1 is the limiter of every service."""

    def __init__(self, daemons: int = 3, concurrency: int = 6) -> None:
        self.clock = Clock()
        self.fabric = MemoryFabric(self.clock, random.Random(5), encode=True)
        self.partitions = SimplePartitions(AllotmentsState)
        self.partitions.leader = DaemonName("d1")
        self.table = SimpleTable(concurrency)
        names = [f"d{number + 1}" for number in range(daemons)]
        self.nodes = {name: Node(self, name) for name in names}
        for node in self.nodes.values():
            node.view.members = [other.member for other in self.nodes.values()]

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)

    def running(self) -> int:
        return sum(len(node.slots) for node in self.nodes.values())

    def counted(self) -> int:
        """Return the number of slots that the limiter counts."""
        state = self.partitions.states[partition_of_service(SERVICE, PARTITIONS)]
        return sum(lease.counted for lease in state.leases(SERVICE))

    def messages(self) -> int:
        return sum(traffic.messages for traffic in self.fabric.traffic.values())
