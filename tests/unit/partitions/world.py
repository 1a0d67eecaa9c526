"""A region of daemons that run only partitions, on the memory transport."""

from random import Random

from result import Ok
from twisted.internet.task import Clock

from emulator.faults import ServiceFaults
from emulator.memory_exchange import MemoryWay
from emulator.memory_journal import MemoryJournal
from emulator.peers.fabric import MemoryFabric
from emulator.peers.time import run_for
from emulator.services.partitioned_log import PartitionedLog
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.partitioning import partitioning_for_topics
from notcharch.partitions.records import SnapshotPart, decode_record
from notcharch.partitions.service import (
    GROUP,
    TOPIC,
    PartitionService,
    partition_dependencies,
)
from notcharch.settings.schema import PartitionsSection
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    PartitionNumber,
    ZoneName,
)
from tests.unit.partitions.notes import Note, Notes

PARTITIONS = 4
TOPIC_PARTITIONS = 2
LATENCY_SECONDS = 0.0005
TIMEOUT_SECONDS = 1.5
START_SECONDS = 1_000_000.0


class World:
    """Daemons that start, crash, pause and leave, and their log service."""

    def __init__(self, daemons: int = 3, seed: int = 1, **settings) -> None:
        self.clock = Clock()
        self.clock.advance(START_SECONDS)
        self.log = PartitionedLog(self.clock, Random(seed), TOPIC_PARTITIONS)
        self.faults = ServiceFaults(self.clock)
        self.fabric = MemoryFabric(self.clock, Random(seed))
        self.settings = PartitionsSection(**{"partition_count": PARTITIONS} | settings)
        self.partitioning = partitioning_for_topics(TOPIC, 2, TOPIC_PARTITIONS)
        self.services: dict[DaemonName, PartitionService] = {}
        self.names = [DaemonName(f"d{number}") for number in range(daemons)]
        self.starts = 0
        self.epoch_leaders: dict[tuple[int, int], DaemonName] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: DaemonName) -> None:
        """Start or restart a daemon's process."""
        self.starts += 1
        member = Member(name, Incarnation(self.starts))
        node = self.fabric.join(member, ZoneName("z"))
        connection = MemoryWay(node.clock, LATENCY_SECONDS, TIMEOUT_SECONDS)
        journal = MemoryJournal(connection, self.log, self.faults)
        random = Random(self.starts)
        service = PartitionService(
            local_member=member,
            peer_address=node.address,
            partitioning=self.partitioning,
            directory=OwnerDirectory(
                journal,
                node.clock,
                random,
                node.network,
                GROUP,
                partitioning=self.partitioning,
            ),
            lease_seconds=self.settings.lease_seconds,
            dependencies=partition_dependencies(
                journal,
                node.clock,
                random,
                self.settings,
                command_types=(Note,),
                new_state=lambda _: Notes(),
            ),
        )
        service.on_leadership(lambda p, epoch: self._led(name, p, epoch))
        self.services[name] = service
        service.start()

    def _led(self, name: DaemonName, partition: int, epoch: int | None) -> None:
        if epoch is not None:
            leader = self.epoch_leaders.setdefault((partition, epoch), name)
            assert leader == name, f"{leader} and {name} led in epoch {epoch}"

    def crash(self, name: DaemonName, *, silent: bool = False) -> None:
        self.fabric.crash(name, silent=silent)

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)

    def leaders(self, partition: int) -> list[DaemonName]:
        """Return the running daemons that claim to lead a partition."""
        return [
            name
            for name, service in self.services.items()
            if self.fabric.is_running(name)
            and service.leader_epoch(PartitionNumber(partition)) is not None
        ]

    def leader(self, partition: int) -> DaemonName:
        leaders = self.leaders(partition)
        assert len(leaders) == 1, leaders
        return leaders[0]

    def propose(self, partition: int, text: str, by: DaemonName | None = None):
        """Propose a command; returns a list to which the result is appended."""
        service = self.services[by or self.leader(partition)]
        results = []
        command = Note(self.clock.seconds(), text)
        service.propose(PartitionNumber(partition), command).addCallback(results.append)
        return results

    def commit(self, partition: int, *texts: str) -> None:
        """Propose commands one after another; each must succeed."""
        for text in texts:
            results = self.propose(partition, text)
            self.run(0.1)
            assert isinstance(results[0], Ok), results

    def texts(self, partition: int, by: DaemonName | None = None) -> list[str]:
        service = self.services[by or self.leader(partition)]
        return list(service.state(PartitionNumber(partition)).texts)

    def journal(self, partition: int):
        """Return the log partition that stores a partition's journal."""
        log_partition = self.partitioning.log_partition(partition)
        return self.log.partition(log_partition.topic, log_partition.number)

    def drop_snapshotted_records(self, partition: int) -> int:
        """Drop all records that the latest complete snapshot replaces."""
        partition_log = self.journal(partition)
        covered = 0
        parts = 0
        for data in partition_log.records:
            record = decode_record(data)
            is_part = isinstance(record, SnapshotPart) and record.number in (0, parts)
            parts = record.number + 1 if is_part else 0
            if is_part and parts == record.count:
                covered = record.covers_to
        partition_log.drop_before(covered)
        return covered
