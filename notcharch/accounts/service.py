"""Assembles the accounts of programs: one group of all daemons and one per region in use."""

import math
import time
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.account_group import (
    AccountGroup,
    GroupRole,
    GroupServices,
    GroupSettings,
)
from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.admission import MAX_BODY_BYTES
from notcharch.accounts.group_network import SharedNetwork
from notcharch.accounts.limited_admission import LimitedAdmission
from notcharch.accounts.messages import account_codec
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.resident_accounts import ResidentAccounts
from notcharch.http.reactor import TimedReactor
from notcharch.journal.interface import LogService
from notcharch.journal.partitioning import partitioning_for_topics
from notcharch.journal.planned_leave import LeaveTerms
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.renewal import USUAL_ABSENCE_SECONDS, renewal_schedule
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.settings.mechanisms import ALL_MECHANISMS, Mechanism
from notcharch.tenants.interface import Tenant
from notcharch.tenants.partition_limits import Tolerance
from notcharch.values.identifiers import Member, RegionName
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.limits import ConnectionLimits
from notcharch.wire.messages.base import Message
from notcharch.wire.peer_memory import PeerMemory
from notcharch.wire.peers import PeerNetwork

TOPIC = "accounts"
TOPICS = 4
"""Number of topics; at 12 partitions each, enough owners for some hundred daemons."""
REGION_TOPICS = 1
"""Topics of a regional group, which serves a part of the programs."""
GROUP = "account-owners"
PARTITION_NUMBER_STRIDE = 100_000
"""Distance between the first partition numbers of groups; no group has more partitions."""
REGION = RegionName("accounts")
LIMITS = ConnectionLimits(
    connect_seconds=0.5,
    first_delay_seconds=0.03,
    max_delay_seconds=0.4,
    silence_seconds=0.8,
    is_incarnation_rising=False,
)


class AccountSettings(msgspec.Struct, frozen=True):
    """Settings of this daemon's accounts service."""

    address: str
    """`host:port` at which peers reach this daemon."""
    partitions: int
    """Number of partitions per topic."""
    min_lease_seconds: float
    retention_seconds: float
    """Retention of records in the log service."""
    partition_bytes: float = math.inf
    """Size beyond which a partition loses its oldest records."""
    absence_seconds: float = USUAL_ABSENCE_SECONDS
    """How long all daemons may be gone, or the log service may not answer."""
    topics: int = TOPICS
    tolerance: Tolerance = Tolerance()
    """How far the limits of tenants may be exceeded."""
    mechanisms: frozenset[Mechanism] = ALL_MECHANISMS
    region: str = ""
    """Region of this daemon."""
    regions: tuple[str, ...] = ()
    """Names of all regions."""
    max_body_bytes: int = MAX_BODY_BYTES
    """Bound of a body together with the turns before it."""
    has_competing_callers: bool = False
    """Whether callers compete for less capacity than they need."""


class AccountsService:
    """Runs this daemon's share of the accounts of programs."""

    def __init__(
        self,
        settings: AccountSettings,
        log: LogService,
        clock: IReactorTime,
        network: PeerNetwork,
        random: Random,
        *,
        suspicions: SharedSuspicions | None = None,
        recovery: RecoverySignal | None = None,
        tenant: Callable[[str], Tenant | None] = lambda _: None,
        wall_clock: Callable[[], float] = time.time,
        memory: AccountMemory | None = None,
    ) -> None:
        """Create the components; `start` begins communication.

        `suspicions` about engines are shared with peers. Heartbeats report to `recovery`
        when the log service responds again. `tenant` returns a tenant of the table in
        force. `memory` bounds what accounts hold in this process.
        """
        self._settings = settings
        self._shared_network = SharedNetwork(network)
        self._group_settings = GroupSettings(
            settings.address,
            settings.min_lease_seconds,
            renewal_schedule(
                settings.retention_seconds,
                settings.partition_bytes,
                settings.absence_seconds,
            ),
            settings.tolerance,
            settings.mechanisms,
            settings.max_body_bytes,
            settings.has_competing_callers,
        )
        self._services = GroupServices(
            log,
            clock,
            random,
            suspicions or SharedSuspicions(),
            recovery or RecoverySignal(clock),
            tenant,
            wall_clock,
            memory or AccountMemory(),
        )
        partitioning = partitioning_for_topics(
            TOPIC, settings.topics, settings.partitions
        )
        self._default_group = self._create_group(GroupRole(GROUP, partitioning))
        self.directory = self._default_group.directory
        self._regional_accounts = ResidentAccounts(
            self._default_group.admission,
            settings.regions,
            self._create_regional_group,
            clock.seconds,
        )
        self.admission = LimitedAdmission(
            self._regional_accounts,
            self._default_group.owners,
            shapes=Mechanism.LIMIT_SHAPING in settings.mechanisms,
        )

    def _create_group(self, role: GroupRole) -> AccountGroup:
        network = self._shared_network.of_group(role.name, role.partitioning)
        group = AccountGroup(
            role,
            self._group_settings,
            self._services,
            network,
            other_groups=lambda: tuple(
                owners for owners in self._all_owners() if owners is not group.owners
            ),
        )
        return group

    def _all_owners(self) -> tuple[OwnerRequests, ...]:
        return (self._default_group.owners, *self._regional_accounts.owners())

    def _create_regional_group(self, region: str) -> AccountGroup:
        """Create the group of a region, whose members are the region's daemons."""
        settings = self._settings
        position = sorted(settings.regions).index(region) + 1
        partitioning = partitioning_for_topics(
            f"{TOPIC}-{region}",
            REGION_TOPICS,
            settings.partitions,
            first=position * PARTITION_NUMBER_STRIDE,
        )
        is_member = region == settings.region
        return self._create_group(
            GroupRole(f"{GROUP}-{region}", partitioning, is_member)
        )

    def use_regions(self, regions: Iterable[str]) -> None:
        """Start the groups of the regions that the table in force uses for residence."""
        self._regional_accounts.join_groups(regions)

    @property
    def regional_groups(self) -> Mapping[str, AccountGroup]:
        """The groups of the regions in use."""
        return self._regional_accounts.groups

    def start(self) -> None:
        """Join the group of all daemons and start tracking the owners."""
        self._default_group.start()

    def leave(self, terms: LeaveTerms | None = None) -> "Deferred[Any]":
        """Release all partitions; continue to send requests to other owners.

        With terms, partitions that no other daemon takes over are kept while the calls of
        this daemon need them; without terms all are released at once. Fires when the log
        service has confirmed it, or didn't.
        """
        return DeferredList(
            [self._default_group.leave(terms), self._regional_accounts.leave(terms)],
            consumeErrors=True,
        )


def account_network(
    reactor: TimedReactor,
    local_member: Member,
    random: Random,
    *,
    other_messages: tuple[type[Message], ...] = (),
    memory: PeerMemory | None = None,
) -> TcpPeerNetwork:
    """Create the peer network between the daemons that own accounts.

    Other services of the daemons use it too; `other_messages` are theirs. `memory` bounds
    what all connections hold.
    """
    return TcpPeerNetwork(
        reactor,
        reactor,
        own=local_member,
        region=REGION,
        codec=account_codec(other_messages),
        random=random,
        limits=LIMITS,
        memory=memory,
    )
