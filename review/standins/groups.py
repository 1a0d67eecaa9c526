"""The groups of the store stand-in: members with leases, partitions dealt evenly."""

from dataclasses import dataclass, field

Part = tuple[str, int]
"""A topic and the number of one of its partitions."""


@dataclass
class Group:
    """One group."""

    parts: list[Part] = field(default_factory=list)
    generation: int = 0
    leases: dict[str, float] = field(default_factory=dict)
    """When each member is given up."""
    holders: dict[Part, str] = field(default_factory=dict)
    former: dict[Part, tuple[str, int]] = field(default_factory=dict)
    """Who has to join with which generation before a holder gets the partition."""

    def expire(self, now: float) -> None:
        """Remove the members that have been silent for too long."""
        for member in [m for m, until in self.leases.items() if until <= now]:
            self.remove(member)

    def join(self, member: str, until: float, generation: int) -> list[Part]:
        """Take a member in or renew its lease; return the partitions that it has."""
        is_new = member not in self.leases
        self.leases[member] = until
        if is_new:
            self.deal()
        for part, (former, since) in list(self.former.items()):
            if former == member and generation >= since:
                del self.former[part]
        return [
            p for p, m in self.holders.items() if m == member and not self._waits(p)
        ]

    def _waits(self, part: Part) -> bool:
        return part in self.former

    def remove(self, member: str) -> None:
        """Let a member go."""
        if self.leases.pop(member, None) is None:
            return
        self.former = {p: f for p, f in self.former.items() if f[0] != member}
        self.deal()

    def deal(self) -> None:
        """Deal the partitions evenly, moving few."""
        self.generation += 1
        members = sorted(self.leases)
        if not members:
            self.holders.clear()
            return
        most = -(-len(self.parts) // len(members))
        kept: dict[str, list[Part]] = {member: [] for member in members}
        free: list[Part] = []
        for part in self.parts:
            holder = self.holders.get(part, "")
            has_room = holder in kept and len(kept[holder]) < most
            (kept[holder] if has_room else free).append(part)
        for part in free:
            least = min(members, key=lambda member: len(kept[member]))
            kept[least].append(part)
            self._move(part, least)

    def _move(self, part: Part, member: str) -> None:
        holder = self.holders.get(part, "")
        former = self.former.get(part, (holder, 0))[0]
        self.holders[part] = member
        self.former.pop(part, None)
        if former in self.leases and former != member:
            self.former[part] = (former, self.generation)
