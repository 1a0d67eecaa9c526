"""The present assignment of partitions and engines to daemons, from membership.

Leaving daemons get nothing while there are enough others; what they hold moves away.
Results are kept until the membership changes.
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
        view.on_change(self._clear)

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
            staying, leaving = self._members()
            chosen = spread_over_zones(key, staying, count)
            chosen += spread_over_zones(key, leaving, count - len(chosen))
            self._chosen[key] = chosen
        return chosen

    def _members(self) -> tuple[list[LiveMember], list[LiveMember]]:
        members = self._view.live_members()
        staying = [member for member in members if not member.leaving]
        leaving = [member for member in members if member.leaving]
        return staying, leaving

    def _clear(self) -> None:
        self._chosen.clear()
