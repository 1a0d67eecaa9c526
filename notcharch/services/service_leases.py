"""The leases of one service, with the sums that most requests need. Pure.

A request is answered in O(log n) of the holders unless the service is contended,
when the fair division looks at all of them.
"""

import heapq

import msgspec

from notcharch.services.shares import Demand, fair_targets
from notcharch.values.identifiers import Member


class Lease(msgspec.Struct, frozen=True):
    """One holder's lease. `counted` slots must not be given to others.

    `slots` is what the holder was told last. Times are the leader's clock.
    """

    holder: Member
    number: int
    wanted: int
    slots: int
    counted: int
    favoured: int
    lease_seconds: float
    keep_seconds: float
    renewed_at: float

    @property
    def lapses_at(self) -> float:
        """When the holder, by this clock, starts no new calls any more."""
        return self.renewed_at + self.lease_seconds

    @property
    def free_at(self) -> float:
        """When the slots are free if nothing more is heard."""
        return self.renewed_at + self.keep_seconds


class _Expiry(msgspec.Struct, frozen=True, order=True):
    """An entry of the heap of expiries; old entries of a holder are skipped."""

    at: float
    holder: Member


class ServiceLeases:
    """All leases of one service."""

    def __init__(self) -> None:
        """Start without leases."""
        self._leases: dict[Member, Lease] = {}
        self._expiries: list[_Expiry] = []
        self._counted = 0
        self._wanted = 0

    def __len__(self) -> int:
        return len(self._leases)

    def get(self, holder: Member) -> Lease | None:
        """Give a holder's lease."""
        return self._leases.get(holder)

    def all(self) -> tuple[Lease, ...]:
        """Give all leases, sorted by holder."""
        return tuple(self._leases[holder] for holder in sorted(self._leases))

    def put(self, lease: Lease) -> None:
        """Add or replace a holder's lease."""
        self.drop(lease.holder)
        self._leases[lease.holder] = lease
        self._counted += lease.counted
        self._wanted += lease.wanted
        heapq.heappush(self._expiries, _Expiry(lease.free_at, lease.holder))
        if len(self._expiries) > 4 * len(self._leases) + 16:
            self._rebuild_expiries()

    def drop(self, holder: Member) -> None:
        """Forget a holder."""
        lease = self._leases.pop(holder, None)
        if lease is not None:
            self._counted -= lease.counted
            self._wanted -= lease.wanted

    def free_lapsed(self, now: float) -> None:
        """Forget holders of which nothing was heard for their `keep_seconds`."""
        while self._expiries and self._expiries[0].at <= now:
            expiry = heapq.heappop(self._expiries)
            lease = self._leases.get(expiry.holder)
            if lease is not None and lease.free_at <= now:
                self.drop(expiry.holder)

    def restart(self, now: float) -> None:
        """Let every lease begin again at `now`, by another leader's clock."""
        for lease in self.all():
            self.put(msgspec.structs.replace(lease, renewed_at=now))
        self._rebuild_expiries()

    def counted_of_others(self, holder: Member) -> int:
        """Give the slots that count for everyone else."""
        own = self._leases.get(holder)
        return self._counted - (own.counted if own else 0)

    def target(
        self, holder: Member, wanted: int, favoured: int, slots: int, now: float
    ) -> int:
        """Give a holder's fair part of `slots` if it wants so many."""
        own = self._leases.get(holder)
        of_others = self._wanted - (own.wanted if own else 0)
        if of_others + wanted <= slots:
            return wanted
        demands = self._demands(now)
        demands[holder] = Demand(wanted, favoured)
        return fair_targets(slots, demands)[holder]

    def above_share(self, slots: int, now: float) -> list[Member]:
        """Give the holders that count more slots than their fair part."""
        targets = fair_targets(slots, self._demands(now))
        return [
            lease.holder
            for lease in self.all()
            if lease.counted > targets[lease.holder]
        ]

    def fewest_favours(self) -> int:
        """Give how often the least favoured holder had a turn."""
        return min((lease.favoured for lease in self._leases.values()), default=0)

    def _demands(self, now: float) -> dict[Member, Demand]:
        """Give what holders want; those whose lease has lapsed want nothing."""
        return {
            holder: Demand(lease.wanted if lease.lapses_at > now else 0, lease.favoured)
            for holder, lease in self._leases.items()
        }

    def _rebuild_expiries(self) -> None:
        self._expiries = [_Expiry(lease.free_at, lease.holder) for lease in self.all()]
        heapq.heapify(self._expiries)
