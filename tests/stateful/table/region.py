"""A region of table replicas on an in-memory network, with gossiped versions."""

from collections.abc import Callable
from random import Random

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.peers.time import run_for
from notcharch.table.publisher import TablePublisher
from notcharch.table.replica_service import TableReplica
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName
from tests.stateful.table.faulty_log import FaultyLogPort, LogStore

GOSSIP_SECONDS = 1.0


@attrs.frozen
class Change:
    """A version that came into force, and its source."""

    version: int
    source: str


class ReplicaProcess:
    """A daemon process with its replica, publisher and log port."""

    def __init__(
        self,
        region: "Region",
        name: DaemonName,
        incarnation: int,
        log_is_down: bool = False,
    ) -> None:
        member = Member(name, Incarnation(incarnation))
        self.daemon = region.fabric.join(member, ZoneName("zone1"))
        self.clock = self.daemon.clock
        self.digest = 0
        self.records_at_start = len(region.store.records)
        self.changes: list[Change] = []
        self.port = FaultyLogPort(region.store, self.clock)
        self.port.is_down = log_is_down
        self.replica = region.replica_type(
            clock=self.clock,
            log=self.port,
            network=self.daemon.network,
            random=Random(f"{name}/{incarnation}"),
            set_digest=self._set_digest,
        )
        self.publisher = region.publisher_type(
            clock=self.clock, log=self.port, replica=self.replica
        )
        self.replica.on_change(self._record_change)
        self.replica.start()

    def _record_change(self) -> None:
        source = self.replica.source.value
        self.changes.append(Change(self.replica.version, source))

    def _set_digest(self, version: int) -> None:
        self.digest = version


class Region:
    """Daemons `d0`, `d1` and so on, with a common clock and log."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        replica_type: type[TableReplica] = TableReplica,
        publisher_type: type[TablePublisher] = TablePublisher,
    ) -> None:
        self.clock = Clock()
        self.random = Random(seed)
        self.replica_type = replica_type
        self.publisher_type = publisher_type
        self.fabric = MemoryFabric(self.clock, Random(seed), encode=True)
        self.store = LogStore(self.clock)
        self.names = [DaemonName(f"d{index}") for index in range(count)]
        self.processes = {name: ReplicaProcess(self, name, 1) for name in self.names}
        self.clock.callLater(GOSSIP_SECONDS, self._gossip)

    def process(self, index: int) -> ReplicaProcess:
        return self.processes[self.names[index]]

    def restart(self, index: int, log_is_down: bool = False) -> ReplicaProcess:
        """Replace a process by a new one without state."""
        name = self.names[index]
        incarnation = self.processes[name].daemon.member.incarnation
        process = ReplicaProcess(self, name, incarnation + 1, log_is_down)
        self.processes[name] = process
        return process

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)

    def result_of(self, coroutine, seconds: float = 60.0):
        """Run a coroutine until it completes, for at most `seconds`."""
        results = []
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        self.run_until(lambda: bool(results), seconds)
        assert results, f"no result within {seconds} s"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        end = self.clock.seconds() + seconds
        while not condition() and self.clock.seconds() < end:
            self.run(0.05)
        return condition()

    def versions(self) -> set[int]:
        return {process.replica.version for process in self.processes.values()}

    def _gossip(self) -> None:
        """Exchange versions with a random peer, as the membership protocol does."""
        for name in self.names:
            other = self.random.choice([peer for peer in self.names if peer != name])
            self._send_digest(name, other, is_probe=True)
        self.clock.callLater(GOSSIP_SECONDS, self._gossip)

    def _send_digest(
        self, name: DaemonName, other: DaemonName, *, is_probe: bool
    ) -> None:
        process = self.processes[name]
        member, digest = process.daemon.member, process.digest

        def arrive() -> None:
            self.processes[other].replica.on_digest(member, digest)
            if is_probe:
                self._send_digest(other, name, is_probe=False)

        self.fabric.transmit((name, other), arrive)
