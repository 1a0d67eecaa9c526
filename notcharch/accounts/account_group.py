"""One group of daemons that own account partitions, and the admission by their owners."""

import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.admission import MAX_BODY_BYTES, AccountAdmission
from notcharch.accounts.limited_tenants import LimitContext
from notcharch.accounts.outage_refusals import OutageRefusals
from notcharch.accounts.owned_partitions import OwnedPartitions
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.journal.group import GroupMember
from notcharch.journal.interface import GroupName, LogService
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.owner_names import OwnerName
from notcharch.journal.partitioning import Partitioning
from notcharch.journal.planned_leave import LeaveTerms, Owners, PlannedLeave
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.renewal import RenewalSchedule
from notcharch.journal.staying_members import MembersAsked, StayingMembers
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.settings.mechanisms import Mechanism
from notcharch.tenants.interface import Tenant
from notcharch.tenants.partition_limits import Lease, Tolerance
from notcharch.wire.peers import PeerNetwork


class GroupRole(msgspec.Struct, frozen=True):
    """A group, and this daemon's role in it."""

    name: str
    partitioning: Partitioning
    is_member: bool = True
    """Whether this daemon owns partitions; if not, it only sends requests to owners."""


class GroupSettings(msgspec.Struct, frozen=True):
    """Settings shared by all groups of this daemon."""

    address: str
    """`host:port` at which peers reach this daemon."""
    min_lease_seconds: float
    schedule: RenewalSchedule
    """When records are written again before the log service drops them."""
    tolerance: Tolerance
    """How far the limits of tenants may be exceeded."""
    mechanisms: frozenset[Mechanism]
    max_body_bytes: int = MAX_BODY_BYTES
    """Bound of a body together with the turns before it."""
    has_competing_callers: bool = False
    """Whether callers compete for less capacity than they need."""

    @property
    def reserves_limits(self) -> bool:
        """Whether limits reserve calls for running programs."""
        return self.has_competing_callers and Mechanism.LIMIT_RESERVE in self.mechanisms


class GroupServices(msgspec.Struct, frozen=True):
    """Dependencies shared by all groups of this daemon."""

    log: LogService
    clock: IReactorTime
    random: Random
    suspicions: SharedSuspicions
    """Suspicions about engines, shared with peers."""
    recovery: RecoverySignal
    """Notified by heartbeats when the log service responds again."""
    tenant: Callable[[str], Tenant | None]
    """Returns a tenant of the table in force."""
    wall_clock: Callable[[], float] = time.time
    memory: AccountMemory = msgspec.field(default_factory=AccountMemory)


class AccountGroup:
    """This daemon's member, owned partitions and owner requests of one group."""

    def __init__(
        self,
        role: GroupRole,
        settings: GroupSettings,
        services: GroupServices,
        network: PeerNetwork,
        *,
        other_groups: Callable[[], Sequence[OwnerRequests]] = tuple,
    ) -> None:
        """Create the components; `start` begins communication.

        `other_groups` returns the owners of other groups, which may store a turn from
        which a program of this group continues.
        """
        mechanisms = settings.mechanisms
        self._role = role
        self.directory = OwnerDirectory(
            services.log,
            services.clock,
            services.random,
            network,
            role.name,
            partitioning=role.partitioning,
            requests_peer_views=Mechanism.PEER_VIEWS in mechanisms,
            recovery=services.recovery,
            is_leaving=lambda: self._is_leaving or not self._member.is_lease_valid,
        )
        self._log = services.log
        self._clock = services.clock
        self._is_leaving = False
        self._staying_members = StayingMembers(
            services.random, network, self.directory, role.name
        )
        self._owned_partitions = OwnedPartitions(
            services.log,
            services.clock,
            services.random,
            role.partitioning,
            network,
            directory=self.directory,
            heartbeat=self._heartbeat,
            schedule=settings.schedule,
            recovery=services.recovery,
            suspicions=services.suspicions,
            limit_context=LimitContext(
                tenant=services.tenant,
                tolerance=settings.tolerance,
                lease=self._lease,
                reserves=settings.reserves_limits,
            ),
            uses_starting_allowance=Mechanism.STARTING_ALLOWANCE in mechanisms,
            wall_clock=services.wall_clock,
            memory=services.memory,
        )
        has_signal = Mechanism.RECOVERY_SIGNAL in mechanisms
        local_member = network.own_member
        self._member = GroupMember(
            services.log,
            services.clock,
            GroupName(role.name, role.partitioning.topics),
            OwnerName(local_member.daemon, settings.address).member_id(),
            min_lease_seconds=settings.min_lease_seconds,
            on_assignment=self._owned_partitions.on_assignment,
            on_recovery=services.recovery.recovered if has_signal else lambda: None,
            outage=services.recovery.outage,
        )
        self.owners = OwnerRequests(
            services.clock,
            network,
            self.directory,
            role.partitioning,
            lambda: self._member.unanswered_seconds,
            self._outage_refusals(services),
        )
        self.admission = AccountAdmission(
            self.owners,
            services.suspicions,
            other_groups,
            max_body_bytes=settings.max_body_bytes,
            cache=services.memory.cache,
        )

    @staticmethod
    def _outage_refusals(services: GroupServices) -> OutageRefusals | None:
        recovery = services.recovery
        if recovery.outage is None:
            return None
        return OutageRefusals(services.clock, services.random, recovery)

    def _lease(self) -> Lease:
        member = self._member
        return Lease(
            member.expired_seconds, member.lease_held_since, member.remaining_seconds
        )

    def _heartbeat(self) -> None:
        self._member.heartbeat()

    def start(self) -> None:
        """Join the group if this daemon is a member, and start tracking the owners."""
        if self._role.is_member:
            self._owned_partitions.start()
            self._member.start()
        self.directory.start()

    def leave(self, terms: LeaveTerms | None = None) -> "Deferred[Any]":
        """Release all partitions; continue to send requests to other owners.

        Without terms they are released at once; else while this daemon's calls need
        owners and no other member stays, they are kept. Fires when the log service has
        confirmed the release, or didn't.
        """
        if not self._role.is_member:
            return succeed(None)
        self._is_leaving = True
        if terms is None:
            return self.release()
        return PlannedLeave(self._clock, self._role.name, self, terms).begin()

    # Called by `PlannedLeave`

    @property
    def is_lease_valid(self) -> bool:
        """Whether no other member can own the partitions assigned to this one."""
        return self._member.is_lease_valid

    @property
    def partition_count(self) -> int:
        """Number of owned partitions."""
        return self._owned_partitions.count

    def release(self) -> "Deferred[Any]":
        """Hand all partitions over, and leave the group; fires when it is done."""
        self._member.stop()
        released = self._owned_partitions.release_all()
        return released.addBoth(lambda _: self._member.leave())

    def rejoin(self) -> None:
        """Join the group again."""
        self._owned_partitions.start()
        self._member.start()

    def ask_members(self) -> "Deferred[MembersAsked]":
        """Ask other members whether they stay."""
        return self._staying_members.ask()

    def read_owners(self) -> "Deferred[Owners]":
        """Read the owners of the group's partitions from the log service."""
        return self._log.owners(self._role.name)
