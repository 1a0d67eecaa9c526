"""Wires the accounts of programs: a group of all daemons, and one a region in use."""

import time
from collections.abc import Callable, Iterable, Mapping
from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.account_group import (
    AccountGroup,
    GroupPart,
    GroupServices,
    GroupSettings,
)
from notcharch.accounts.group_network import SharedNetwork
from notcharch.accounts.limited_admission import LimitedAdmission
from notcharch.accounts.messages import account_codec
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.resident_accounts import ResidentAccounts
from notcharch.http.reactor import TimedReactor
from notcharch.journal.interface import LogService
from notcharch.journal.partitioning import partitioning_for_topics
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.settings.mechanisms import ALL_MECHANISMS, Mechanism
from notcharch.tenants.interface import Tenant
from notcharch.tenants.partition_limits import Tolerance
from notcharch.values.identifiers import Member, RegionName
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.limits import ConnectionLimits
from notcharch.wire.peers import PeerNetwork

TOPIC = "accounts"
TOPICS = 4
"""A topic of the present platform has 12 partitions. With four, the owners of a region
of some hundred daemons are many enough, and a small region pays nothing for it.
"""
REGION_TOPICS = 1
"""Of each region with residence: a region has a part of the daemons and of the programs."""
GROUP = "account-owners"
REGION_SPAN = 100_000
"""Between the first partition numbers of two groups; no group has as many partitions."""
REGION = RegionName("accounts")
LIMITS = ConnectionLimits(
    connect_seconds=0.5,
    first_delay_seconds=0.03,
    max_delay_seconds=0.4,
    silence_seconds=0.8,
    is_incarnation_rising=False,
)


class AccountSettings(msgspec.Struct, frozen=True):
    """Where this daemon listens for peers, and how programs are spread."""

    address: str
    """`host:port` at which peers reach this daemon."""
    partitions: int
    """Of each topic."""
    least_lease_seconds: float
    retention_seconds: float
    """So long the log service keeps records."""
    topics: int = TOPICS
    tolerance: Tolerance = Tolerance()
    """How far the limits of tenants may be exceeded."""
    mechanisms: frozenset[Mechanism] = ALL_MECHANISMS
    """What is switched on."""
    region: str = ""
    """Where this daemon is."""
    regions: tuple[str, ...] = ()
    """All regions."""


class AccountsService:
    """This daemon's part in keeping the accounts of programs."""

    def __init__(
        self,
        settings: AccountSettings,
        service: LogService,
        clock: IReactorTime,
        network: PeerNetwork,
        random: Random,
        *,
        suspicions: SharedSuspicions | None = None,
        recovery: RecoverySignal | None = None,
        tenant: Callable[[str], Tenant | None] = lambda _: None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Wire the parts; nothing is spoken before `start`.

        `suspicions` about engines are shared with peers; `recovery` hears from the
        heartbeats when the log service is back; `tenant` gives one of the table in force.
        """
        self._settings = settings
        self._shared = SharedNetwork(network)
        self._group_settings = GroupSettings(
            settings.address,
            settings.least_lease_seconds,
            settings.retention_seconds,
            settings.tolerance,
            settings.mechanisms,
        )
        self._services = GroupServices(
            service,
            clock,
            random,
            suspicions or SharedSuspicions(),
            recovery or RecoverySignal(clock),
            tenant,
            wall,
        )
        partitioning = partitioning_for_topics(
            TOPIC, settings.topics, settings.partitions
        )
        self._anywhere = self._wire(GroupPart(GROUP, partitioning))
        self.directory = self._anywhere.directory
        self._resident = ResidentAccounts(
            self._anywhere.admission, settings.regions, self._make, clock.seconds
        )
        self.admission = LimitedAdmission(
            self._resident,
            self._anywhere.owners,
            shapes=Mechanism.LIMIT_SHAPING in settings.mechanisms,
        )

    def _wire(self, part: GroupPart) -> AccountGroup:
        network = self._shared.of_group(part.name, part.partitioning)
        group = AccountGroup(
            part,
            self._group_settings,
            self._services,
            network,
            elsewhere=lambda: tuple(
                owners for owners in self._all_owners() if owners is not group.owners
            ),
        )
        return group

    def _all_owners(self) -> tuple[OwnerRequests, ...]:
        return (self._anywhere.owners, *self._resident.owners())

    def _make(self, region: str) -> AccountGroup:
        """Wire the group of a region; the daemons there are its members."""
        settings = self._settings
        place = sorted(settings.regions).index(region) + 1
        partitioning = partitioning_for_topics(
            f"{TOPIC}-{region}",
            REGION_TOPICS,
            settings.partitions,
            first=place * REGION_SPAN,
        )
        is_member = region == settings.region
        return self._wire(GroupPart(f"{GROUP}-{region}", partitioning, is_member))

    def use_regions(self, regions: Iterable[str]) -> None:
        """Hear in which regions the table in force has anything reside."""
        self._resident.use(regions)

    @property
    def regional_groups(self) -> Mapping[str, AccountGroup]:
        """Give the groups of regions that are in use."""
        return self._resident.groups

    def start(self) -> None:
        """Join the group and follow the owners."""
        self._anywhere.start()

    def leave(self) -> None:
        """Own nothing any more; go on as a client of the owners."""
        self._anywhere.leave()
        self._resident.leave()


def account_network(
    reactor: TimedReactor, own: Member, random: Random
) -> TcpPeerNetwork:
    """Give the network between the daemons that keep accounts."""
    return TcpPeerNetwork(
        reactor,
        reactor,
        own=own,
        region=REGION,
        codec=account_codec(),
        random=random,
        limits=LIMITS,
    )
