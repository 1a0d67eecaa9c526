"""One group of daemons that keep accounts: its members, partitions, owners, admission."""

import time
from collections.abc import Callable, Sequence
from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.admission import AccountAdmission
from notcharch.accounts.limited_tenants import Limiting
from notcharch.accounts.owned_partitions import OwnedPartitions
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.journal.group import GroupMember
from notcharch.journal.interface import GroupName, LogService
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.owner_names import OwnerName
from notcharch.journal.partitioning import Partitioning
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.settings.mechanisms import Mechanism
from notcharch.tenants.interface import Tenant
from notcharch.tenants.partition_limits import Lease, Tolerance
from notcharch.wire.peers import PeerNetwork


class GroupPart(msgspec.Struct, frozen=True):
    """Which group it is, and this daemon's part in it."""

    name: str
    partitioning: Partitioning
    is_member: bool = True
    """Whether this daemon owns partitions; otherwise it only asks their owners."""


class GroupSettings(msgspec.Struct, frozen=True):
    """What all groups of this daemon have in common."""

    address: str
    """`host:port` at which peers reach this daemon."""
    least_lease_seconds: float
    retention_seconds: float
    """So long the log service keeps records."""
    tolerance: Tolerance
    """How far the limits of tenants may be exceeded."""
    mechanisms: frozenset[Mechanism]


class GroupServices(msgspec.Struct, frozen=True):
    """What the groups of this daemon work with."""

    log: LogService
    clock: IReactorTime
    random: Random
    suspicions: SharedSuspicions
    """About engines; shared with peers."""
    recovery: RecoverySignal
    """Hears from the heartbeats when the log service is back."""
    tenant: Callable[[str], Tenant | None]
    """Gives a tenant of the table in force."""
    wall: Callable[[], float] = time.time


class AccountGroup:
    """This daemon's part in one group."""

    def __init__(
        self,
        part: GroupPart,
        settings: GroupSettings,
        services: GroupServices,
        network: PeerNetwork,
        *,
        elsewhere: Callable[[], Sequence[OwnerRequests]] = tuple,
    ) -> None:
        """Wire the parts; nothing is spoken before `start`.

        `elsewhere` gives the owners of other groups, which may keep a turn that a program
        of this one goes on from.
        """
        mechanisms = settings.mechanisms
        self._part = part
        self.directory = OwnerDirectory(
            services.log,
            services.clock,
            services.random,
            network,
            part.name,
            partitioning=part.partitioning,
            requests_peer_views=Mechanism.PEER_VIEWS in mechanisms,
        )
        self._owned = OwnedPartitions(
            services.log,
            services.clock,
            services.random,
            part.partitioning,
            network,
            directory=self.directory,
            heartbeat=self._heartbeat,
            retention_seconds=settings.retention_seconds,
            recovery=services.recovery,
            suspicions=services.suspicions,
            limiting=Limiting(
                tenant=services.tenant,
                tolerance=settings.tolerance,
                lease=self._lease,
            ),
            allows_starting=Mechanism.STARTING_ALLOWANCE in mechanisms,
            wall=services.wall,
        )
        has_signal = Mechanism.RECOVERY_SIGNAL in mechanisms
        own = network.own_member
        self._member = GroupMember(
            services.log,
            services.clock,
            GroupName(part.name, part.partitioning.topics),
            OwnerName(own.daemon, settings.address).member_id(),
            min_lease_seconds=settings.least_lease_seconds,
            on_assignment=self._owned.dealt,
            on_recovery=services.recovery.recovered if has_signal else lambda: None,
        )
        self.owners = OwnerRequests(
            services.clock,
            network,
            self.directory,
            part.partitioning,
            lambda: self._member.unanswered_seconds,
        )
        self.admission = AccountAdmission(self.owners, services.suspicions, elsewhere)

    def _lease(self) -> Lease:
        member = self._member
        return Lease(
            member.expired_seconds, member.lease_held_since, member.remaining_seconds
        )

    def _heartbeat(self) -> None:
        self._member.heartbeat()

    def start(self) -> None:
        """Join the group, if this daemon is a member, and follow the owners."""
        if self._part.is_member:
            self._owned.start()
            self._member.start()
        self.directory.start()

    def leave(self) -> None:
        """Own nothing any more; go on as a client of the owners."""
        if self._part.is_member:
            self._member.stop()
            self._owned.give_up_all().addBoth(lambda _: self._member.leave())
