"""What the rest of the system sees of membership and placement."""

from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Result
from twisted.internet.defer import Deferred

from notcharch.clients.ports import Machine
from notcharch.errors import Problem
from notcharch.journal.owner_names import OwnerName
from notcharch.values.identifiers import (
    DaemonName,
    EngineName,
    Member,
    PartitionNumber,
    PoolName,
    ZoneName,
)
from notcharch.wire.messages.base import Message


class LiveMember(msgspec.Struct, frozen=True):
    """A daemon that is believed alive; `address` is its peer `host:port`."""

    member: Member
    zone: ZoneName
    address: str
    leaving: bool


class MembershipView(Protocol):
    """The daemons of the region as this one believes them to be."""

    def live_members(self) -> tuple[LiveMember, ...]:
        """Give every live member, this one included, sorted by name."""

    def is_certainly_dead(self, member: Member) -> bool:
        """Tell whether the process is surely gone.

        That is so when a newer incarnation was seen, or when the machine list says
        that its machine is gone.
        """

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the view changed."""


class EngineDirectory(Protocol):
    """The engines of the region, from the machine list."""

    def engines_of(self, pool: PoolName) -> tuple[Machine, ...]:
        """Give the pool's engines that may get new work, sorted by name."""

    def engine(self, name: EngineName) -> Machine | None:
        """Give an engine's entry, leaving ones included."""

    def all_engines(self) -> tuple[Machine, ...]:
        """Give every engine of the region that is not gone."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the directory changed."""


class PartitionOwners(Protocol):
    """Who leads which partition, as the log service last said."""

    def owner(self, partition: int) -> OwnerName | None:
        """Give a partition's owner, as far as it is known."""

    def suspect_stale(self) -> None:
        """Ask again soon: an owner didn't answer as one."""


class Router(Protocol):
    """Finds the daemon that is responsible, and retries while `ran` stays `no`."""

    def to_partition(
        self, partition: PartitionNumber, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send to the partition's leader, following NOT_LEADER hints."""

    def to_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send to the engine's steward, following NOT_STEWARD hints."""

    def steward_of(self, engine: EngineName) -> DaemonName | None:
        """Give the daemon that should steward the engine, by rendezvous hashing."""
