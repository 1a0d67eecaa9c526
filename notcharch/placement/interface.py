"""Interfaces of membership and placement for the rest of the system."""

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
    """A daemon that the failure detector reports as alive.

    `address` is the `host:port` for peer connections.
    """

    member: Member
    zone: ZoneName
    address: str
    leaving: bool


class MembershipView(Protocol):
    """This daemon's view of the daemons in the region."""

    def live_members(self) -> tuple[LiveMember, ...]:
        """Return all live members including this one, sorted by name."""

    def is_certainly_dead(self, member: Member) -> bool:
        """Return whether the process has certainly stopped.

        True if a newer incarnation was seen or the machine list reports its machine
        as removed.
        """

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register `listener`, called after each change of the view."""


class EngineDirectory(Protocol):
    """The engines of the region, from the machine list."""

    def engines_of(self, pool: PoolName) -> tuple[Machine, ...]:
        """Return the pool's engines that may get new work, sorted by name."""

    def engine(self, name: EngineName) -> Machine | None:
        """Return the engine's entry, even if it is leaving, or None."""

    def all_engines(self) -> tuple[Machine, ...]:
        """Return all engines of the region that have not been removed."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register `listener`, called after each change of the directory."""


class PartitionOwners(Protocol):
    """The owners of partitions, as last reported by the log service."""

    def owner(self, partition: int) -> OwnerName | None:
        """Return the partition's owner, or None if it is not known."""

    def suspect_stale(self) -> None:
        """Refresh soon, because an owner may have changed."""


class Router(Protocol):
    """Routes requests to the responsible daemon; retries while nothing was run."""

    def to_partition(
        self, partition: PartitionNumber, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send a request to the partition's leader, following NOT_LEADER hints."""

    def to_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send a request to the engine's steward, following NOT_STEWARD hints."""

    def steward_of(self, engine: EngineName) -> DaemonName | None:
        """Return the engine's steward by rendezvous hashing, or None."""
