"""Constructs and connects the services of a daemon; opens no sockets itself.

The same core runs in a daemon process, in a process shared by several daemons, and
in tests on a virtual clock with an in-memory transport.
"""

from prometheus_client import CollectorRegistry

from notcharch.calls.list_log import report_drains
from notcharch.daemon.ports import DaemonPorts
from notcharch.daemon.state_access import (
    COMMAND_TYPES,
    StateAccess,
    new_partition_state,
)
from notcharch.engines.claims_service import ClaimsService
from notcharch.engines.dispatcher import Dispatcher
from notcharch.engines.prefix_mover import PrefixMover
from notcharch.engines.steward_service import StewardService
from notcharch.gateway.resource import Gateway
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.partitioning import partitioning_for_count
from notcharch.membership.service import MembershipService
from notcharch.membership.swim import Swim
from notcharch.partitions.service import (
    GROUP,
    TOPIC,
    PartitionService,
    partition_dependencies,
)
from notcharch.placement.assignment import Assignment
from notcharch.placement.engine_directory import MachineEngineDirectory
from notcharch.placement.machine_list_follower import MachineListFollower
from notcharch.placement.router import PlacementRouter
from notcharch.programs.leader_service import ProgramLeaderService
from notcharch.scheduling.zone_drains import DrainedZones
from notcharch.services.holder_service import HolderService
from notcharch.services.limiter_service import LimiterService
from notcharch.settings.schema import Settings
from notcharch.table.publisher import TablePublisher
from notcharch.table.replica_service import TableReplica
from notcharch.values.identifiers import Member, RegionName, ZoneName
from notcharch.wire.messages.membership import MemberRecord

TABLE_DIGEST = "table"
"""The key of the table version in the digests that membership exchanges."""


class DaemonCore:
    """All services of one daemon; construction registers their message handlers."""

    def __init__(
        self, settings: Settings, ports: DaemonPorts, registry: CollectorRegistry
    ) -> None:
        """Construct the services in dependency order."""
        self.settings = settings
        self.ports = ports
        self.region = RegionName(settings.daemon.region)
        self._build_placement()
        self._build_table()
        self._build_partitions()
        self._build_engines()
        self._build_services()
        self.gateway = self._build_gateway(registry)

    @property
    def own_member(self) -> Member:
        """The membership identity of this daemon process."""
        return self.ports.network.own_member

    @property
    def is_ready(self) -> bool:
        """Return whether the table, the machine list and the members are known."""
        has_table = self.table.version > 0
        has_machines = self.machine_list.version is not None
        return has_table and has_machines and self.membership.knows_region()

    def start(self) -> None:
        """Start the periodic work of every service."""
        self.machine_list.start()
        self.membership.start()
        self.partitions.start()
        self.table.start()
        self.programs.start()
        self.stewards.start()
        self.slots.start()

    def stop(self) -> None:
        """Stop the periodic work of every service, in the reverse order of `start`."""
        self.slots.stop()
        self.stewards.stop()
        self.programs.stop()
        self.table.stop()
        self.partitions.stop()
        self.membership.stop()
        self.machine_list.stop()

    def _build_placement(self) -> None:
        settings, ports = self.settings, self.ports
        record = MemberRecord(
            self.own_member, ZoneName(settings.daemon.zone), ports.peer_address
        )
        swim = Swim(self.region, record, settings.membership, ports.chance)
        self.membership = MembershipService(
            swim, ports.clock, ports.datagrams, ports.network
        )
        self.assignment = Assignment(self.membership)
        section = settings.partitions
        self.partitioning = partitioning_for_count(
            TOPIC, section.partition_count, section.topic_partitions
        )
        self.owners = OwnerDirectory(
            ports.journal,
            ports.clock,
            ports.chance,
            ports.network,
            GROUP,
            partitioning=self.partitioning,
        )
        self.router = PlacementRouter(
            ports.network, self.assignment, self.owners, ports.clock, ports.chance
        )
        self.directory = MachineEngineDirectory()
        self.machine_list = MachineListFollower(
            ports.clock,
            ports.machine_list,
            self.region,
            settings.platform.machine_list_poll_seconds,
        )
        self.machine_list.on_changes(self.membership.apply_machines)
        self.machine_list.on_changes(self.directory.apply)

    def _build_table(self) -> None:
        ports = self.ports
        self.table = TableReplica(
            clock=ports.clock,
            log=ports.log,
            network=ports.network,
            random=ports.chance,
            set_digest=self._announce_table_version,
            fetch_delay_seconds=self.settings.table.fetch_delay_seconds,
        )
        self.table.on_change(self._apply_drained_zones)
        self.membership.on_digest(self._on_digest)
        self.publisher = TablePublisher(
            clock=ports.clock, log=ports.log, replica=self.table
        )

    def _apply_drained_zones(self) -> None:
        """Apply the drained zones of a table that has come into force."""
        zones = frozenset(str(zone) for zone in self.table.drained_zones())
        drained = DrainedZones(zones, self.table.version)
        change = self.directory.drain_zones(drained, self.ports.clock.seconds())
        report_drains(drained, change)

    def _announce_table_version(self, version: int) -> None:
        self.membership.set_digest(TABLE_DIGEST, version)

    def _on_digest(self, member: Member, key: str, value: int) -> None:
        if key == TABLE_DIGEST:
            self.table.on_digest(member, value)

    def _build_partitions(self) -> None:
        settings, ports = self.settings, self.ports
        self.partitions = PartitionService(
            local_member=self.own_member,
            peer_address=ports.peer_address,
            partitioning=self.partitioning,
            directory=self.owners,
            lease_seconds=settings.partitions.lease_seconds,
            dependencies=partition_dependencies(
                ports.journal,
                ports.clock,
                ports.chance,
                settings.partitions,
                command_types=COMMAND_TYPES,
                new_state=new_partition_state,
            ),
        )
        self.state_access = StateAccess(self.partitions)
        self.programs = ProgramLeaderService(
            network=ports.network,
            partitions=self.partitions,
            programs_of=self.state_access.programs,
            table=self.table,
            membership=self.membership,
            router=self.router,
            directory=self.directory,
            log=ports.log,
            clock=ports.clock,
            region=self.region,
            settings=settings.programs,
        )

    def _build_engines(self) -> None:
        settings, ports = self.settings, self.ports
        partition_count = settings.partitions.partition_count
        self.claims = ClaimsService(
            network=ports.network,
            partitions=self.partitions,
            partition_count=partition_count,
            clock=ports.clock,
            claims_of=self.state_access.claims,
        )
        self.stewards = StewardService(
            network=ports.network,
            router=self.router,
            directory=self.directory,
            membership=self.membership,
            engine_port=ports.engines,
            clock=ports.clock,
            chance=ports.chance,
            settings=settings.engines,
            partition_count=partition_count,
            knows_region=self.membership.knows_region,
        )
        mover = PrefixMover(
            self.directory,
            ports.engines,
            ports.clock,
            settings.engines.move_tokens_per_second,
        )
        self.dispatcher = Dispatcher(
            router=self.router,
            directory=self.directory,
            own_member=self.own_member,
            clock=ports.clock,
            chance=ports.chance,
            mover=mover,
        )

    def _build_services(self) -> None:
        settings, ports = self.settings, self.ports
        partition_count = settings.partitions.partition_count
        self.limiter = LimiterService(
            network=ports.network,
            partitions=self.partitions,
            allotments_of=self.state_access.allotments,
            table=self.table,
            membership=self.membership,
            clock=ports.clock,
            monotonic=ports.clock.seconds,
            settings=settings.services,
            partition_count=partition_count,
        )
        self.slots = HolderService(
            network=ports.network,
            router=self.router,
            clock=ports.clock,
            monotonic=ports.clock.seconds,
            partition_count=partition_count,
        )

    def _build_gateway(self, registry: CollectorRegistry) -> Gateway:
        settings, ports = self.settings, self.ports
        return Gateway(
            router=self.router,
            slots=self.slots,
            placer=self.dispatcher,
            engines=ports.engines,
            table=self.table,
            clock=ports.clock,
            chance=ports.chance,
            own_member=self.own_member,
            region=self.region,
            partition_count=settings.partitions.partition_count,
            section=settings.gateway,
            registry=registry,
        )
