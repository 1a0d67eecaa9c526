"""Builds each partition's picture of the region from the membership."""

from collections.abc import Callable

from notcharch.placement.interface import MembershipView
from notcharch.replication.picture import Picture
from notcharch.values.identifiers import DaemonName, Member, PartitionNumber
from notcharch.wire.messages.replication import Configuration

ReplicasOf = Callable[[PartitionNumber], tuple[DaemonName, ...]]


class Pictures:
    """The region as this daemon believes it to be, read once per change."""

    def __init__(
        self, own: Member, membership: MembershipView, replicas_of: ReplicasOf
    ) -> None:
        """Read the membership for the first time."""
        self._own = own
        self._membership = membership
        self._replicas_of = replicas_of
        self.is_own_leaving = False
        self._by_name: dict[DaemonName, Member] = {}
        self._alive: frozenset[Member] = frozenset()
        self._leaving: frozenset[Member] = frozenset()
        self._ever_seen: set[Member] = set()
        self.refresh()

    def refresh(self) -> None:
        """Read the membership again."""
        live = self._membership.live_members()
        self._by_name = {entry.member.daemon: entry.member for entry in live}
        self._by_name[self._own.daemon] = self._own
        self._alive = frozenset(self._by_name.values())
        leaving = {entry.member for entry in live if entry.leaving}
        if self.is_own_leaving:
            leaving.add(self._own)
        self._leaving = frozenset(leaving)
        self._ever_seen |= self._alive
        self._forget_dead()

    def _forget_dead(self) -> None:
        is_dead = self._membership.is_certainly_dead
        missing = self._ever_seen - self._alive
        self._ever_seen -= {member for member in missing if is_dead(member)}

    @property
    def others_alive(self) -> frozenset[Member]:
        """Every other live member."""
        return self._alive - {self._own}

    def has_other_staying(self) -> bool:
        """Tell whether another live member is not leaving."""
        return bool(self.others_alive - self._leaving)

    def of(self, partition: PartitionNumber, configuration: Configuration) -> Picture:
        """Give the picture for a partition with the configuration."""
        is_dead = self._membership.is_certainly_dead
        dead = frozenset(member for member in configuration.members if is_dead(member))
        return Picture(self._alive, self._leaving, dead, self.targets_of(partition))

    def targets_of(self, partition: PartitionNumber) -> tuple[Member, ...]:
        """Give the live, staying members that should replicate a partition."""
        members = [
            self._by_name[name]
            for name in self._replicas_of(partition)
            if name in self._by_name
        ]
        return tuple(member for member in members if member not in self._leaving)

    def is_region_majority(self) -> bool:
        """Tell whether most processes that may still live are seen.

        The smaller side of a cut must not rebuild groups: their members may be
        on the other side, unknown to this one.
        """
        self._forget_dead()
        return len(self._alive) * 2 > len(self._ever_seen)
