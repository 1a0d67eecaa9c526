"""The present assignment of partitions and engines to daemons, from membership.

Leaving daemons get nothing while there are enough others; what they hold moves away.

Results are kept while the membership changes around them. A member that was not
chosen for a key can go without moving it, and one that comes can only displace who
was chosen, so that the choice among the chosen and the newcomers is the choice among
all (see `spread_over_zones`). Only keys of lost members are ranked anew.
"""

from notcharch.placement.interface import LiveMember, MembershipView
from notcharch.placement.rendezvous import spread_over_zones
from notcharch.values.identifiers import DaemonName, EngineName, PartitionNumber


class Assignment:
    """Replicas of partitions and stewards of engines by rendezvous hashing."""

    def __init__(self, view: MembershipView, replica_count: int) -> None:
        """Follow the changes of `view`."""
        self._view = view
        self._replica_count = replica_count
        self._chosen: dict[str, tuple[DaemonName, ...]] = {}
        self._staying: dict[DaemonName, LiveMember] = {}
        self._leaving: list[LiveMember] = []
        self._read()
        view.on_change(self._follow)

    def replicas_of(self, partition: PartitionNumber) -> tuple[DaemonName, ...]:
        """Give the daemons of a partition, best first; zones differ if possible."""
        return self._choose(f"partition/{partition}", self._replica_count)

    def steward_of(self, engine: EngineName) -> DaemonName | None:
        """Give the daemon of an engine; None when no daemon is known."""
        chosen = self._choose(f"engine/{engine}", 1)
        return chosen[0] if chosen else None

    def _choose(self, key: str, count: int) -> tuple[DaemonName, ...]:
        chosen = self._chosen.get(key)
        if chosen is None:
            chosen = spread_over_zones(key, self._staying.values(), count)
            chosen += spread_over_zones(key, self._leaving, count - len(chosen))
            self._chosen[key] = chosen
        return chosen

    def _read(self) -> None:
        members = self._view.live_members()
        staying = (member for member in members if not member.leaving)
        self._staying = {member.member.daemon: member for member in staying}
        self._leaving = [member for member in members if member.leaving]

    def _follow(self) -> None:
        """Keep each choice that the change cannot move; adjust or drop the others."""
        before = self._staying
        self._read()
        if min(len(before), len(self._staying)) < self._replica_count:
            self._chosen.clear()  # leaving members are among the chosen
            return
        lost = {name for name in before if not self._is_kept(before[name])}
        come = [self._staying[name] for name in self._staying.keys() - before.keys()]
        moved = [self._staying[name] for name in lost & self._staying.keys()]
        come += moved
        for key, chosen in tuple(self._chosen.items()):
            if not lost.isdisjoint(chosen):
                del self._chosen[key]
            elif come:
                candidates = [self._staying[name] for name in chosen]
                candidates += come
                self._chosen[key] = spread_over_zones(key, candidates, len(chosen))

    def _is_kept(self, member: LiveMember) -> bool:
        """Tell whether a member still stays, in the same zone."""
        present = self._staying.get(member.member.daemon)
        return present is not None and present.zone == member.zone
