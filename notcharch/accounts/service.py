"""Wires the accounts of programs: group, owned partitions, directory, admission."""

import time
from random import Random

import msgspec

from notcharch.accounts.admission import AccountAdmission, AccountServices
from notcharch.accounts.directory import OwnerDirectory, Partitioning
from notcharch.accounts.messages import account_codec
from notcharch.accounts.owned_partitions import OwnedPartitions
from notcharch.accounts.owner_names import OwnerName
from notcharch.http.reactor import TimedReactor
from notcharch.journal.group import GroupMember, GroupName
from notcharch.journal.interface import LogService
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    RegionName,
)
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.limits import ConnectionLimits

TOPIC = "accounts"
GROUP = "account-owners"
REGION = RegionName("accounts")
MILLISECONDS = 1000
LIMITS = ConnectionLimits(
    connect_seconds=0.5,
    first_delay_seconds=0.03,
    max_delay_seconds=0.4,
    silence_seconds=0.8,
)


class AccountSettings(msgspec.Struct, frozen=True):
    """Where this daemon listens for peers, and how programs are spread."""

    daemon: str
    host: str
    port: int
    partitions: int
    least_lease_seconds: float


class AccountsService:
    """This daemon's part in keeping the accounts of programs."""

    def __init__(
        self,
        settings: AccountSettings,
        service: LogService,
        reactor: TimedReactor,
        random: Random,
    ) -> None:
        """Wire the parts; nothing is spoken before `start`."""
        self._settings = settings
        incarnation = int(time.time() * MILLISECONDS)
        daemon = DaemonName(settings.daemon)
        self._network = TcpPeerNetwork(
            reactor,
            reactor,
            own=Member(daemon, Incarnation(incarnation)),
            region=REGION,
            codec=account_codec(),
            random=random,
            limits=LIMITS,
        )
        self._owned = OwnedPartitions(service, reactor, random, TOPIC, self._network)
        self._directory = OwnerDirectory(service, reactor, self._network, GROUP)
        address = f"{settings.host}:{settings.port}"
        self._group = GroupMember(
            service,
            reactor,
            GroupName(GROUP, TOPIC),
            OwnerName(daemon, address, incarnation).text(),
            least_lease_seconds=settings.least_lease_seconds,
            dealt=self._owned.dealt,
        )
        partitioning = Partitioning(TOPIC, settings.partitions)
        self.admission = AccountAdmission(
            AccountServices(reactor, self._network, self._directory, partitioning)
        )

    def start(self) -> None:
        """Listen for peers, join the group and follow the owners."""
        self._network.listen(self._settings.host, self._settings.port)
        self._owned.start()
        self._group.start()
        self._directory.start()

    def leave(self) -> None:
        """Own nothing any more; go on as a client of the owners."""
        self._group.leave()
        self._owned.give_up_all()
