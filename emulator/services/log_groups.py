"""The groups of the stand-in's log service: leases, and an even assignment of partitions."""

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.journal.interface import (
    GroupName,
    LogPartition,
    Membership,
    Ownership,
)


class Release(msgspec.Struct, frozen=True):
    """A partition that its former holder may not know to have lost."""

    former: str
    generation: int
    """It is free once the former holder has joined with this generation."""


class Group(msgspec.Struct):
    """One group."""

    topics: tuple[str, ...] = ()
    generation: int = 0
    leases: dict[str, float] = {}
    """When each member is given up, in clock seconds."""
    holders: dict[LogPartition, str] = {}
    releases: dict[LogPartition, Release] = {}
    """Partitions that their new holders are not told of yet."""


class Groups:
    """All groups."""

    def __init__(self, clock: IReactorTime, partitions: int) -> None:
        """Assign `partitions` partitions of each topic."""
        self._clock = clock
        self._partitions = partitions
        self._groups: dict[str, Group] = {}

    def _group(self, name: str) -> Group:
        group = self._groups.setdefault(name, Group())
        now = self._clock.seconds()
        lapsed = [member for member, until in group.leases.items() if until <= now]
        for member in lapsed:
            self._remove(group, member)
        return group

    def join(
        self, name: GroupName, member: str, seconds: float, generation: int
    ) -> Membership:
        """Take a member in, or renew its lease; it heard of `generation` last."""
        group = self._group(name.group)
        group.topics = name.topics
        is_new = member not in group.leases
        group.leases[member] = self._clock.seconds() + seconds
        if is_new:
            self._deal(group)
        group.releases = {
            partition: release
            for partition, release in group.releases.items()
            if release.former != member or release.generation > generation
        }
        return Membership(group.generation, self._held(group, member))

    def _held(self, group: Group, member: str) -> tuple[LogPartition, ...]:
        """Give what a member holds: not what its former holder may not know of."""
        return tuple(
            partition
            for partition, holder in sorted(group.holders.items())
            if holder == member and partition not in group.releases
        )

    def leave(self, name: str, member: str) -> None:
        """Let a member go at once."""
        self._remove(self._group(name), member)

    def _remove(self, group: Group, member: str) -> None:
        if group.leases.pop(member, None) is not None:
            group.releases = {
                partition: release
                for partition, release in group.releases.items()
                if release.former != member
            }
            self._deal(group)

    def _deal(self, group: Group) -> None:
        """Deal evenly, moving as little as can be."""
        group.generation += 1
        members = sorted(group.leases)
        group.holders = {
            partition: holder
            for partition, holder in group.holders.items()
            if holder in group.leases
        }
        if not members:
            return
        for partition in self._all(group):
            if partition not in group.holders:
                group.holders[partition] = self._least(group, members)
        self._even_out(group, members)

    def _all(self, group: Group) -> list[LogPartition]:
        return [
            LogPartition(topic, number)
            for topic in group.topics
            for number in range(self._partitions)
        ]

    def _load(self, group: Group, member: str) -> int:
        return sum(1 for holder in group.holders.values() if holder == member)

    def _least(self, group: Group, members: list[str]) -> str:
        return min(members, key=lambda member: self._load(group, member))

    def _even_out(self, group: Group, members: list[str]) -> None:
        while True:
            least = self._least(group, members)
            most = max(members, key=lambda member: self._load(group, member))
            if self._load(group, most) - self._load(group, least) <= 1:
                return
            moved = next(p for p, holder in group.holders.items() if holder == most)
            self._move(group, moved, least)

    def _move(self, group: Group, partition: LogPartition, member: str) -> None:
        """Deal a partition to another member, once its holder knows."""
        release = group.releases.pop(partition, None)
        former = group.holders[partition] if release is None else release.former
        group.holders[partition] = member
        if former != member:
            group.releases[partition] = Release(former, group.generation)

    def owners(self, name: str) -> tuple[Ownership, ...]:
        """Return the owner of each partition."""
        group = self._group(name)
        return tuple(
            Ownership(partition, holder)
            for partition, holder in sorted(group.holders.items())
        )

    def rebalance(self, name: str) -> None:
        """Reassign all partitions."""
        group = self._group(name)
        members = sorted(group.leases)
        group.generation += 1
        for place, partition in enumerate(self._all(group)):
            member = members[(place + group.generation) % len(members)]
            if partition in group.holders:
                self._move(group, partition, member)
            else:
                group.holders[partition] = member
