"""The leases of one service, with running totals. No I/O.

A request takes O(log n) for n holders, or O(n log n) if the service is contended,
as the fair shares then depend on all holders.
"""

import heapq

import msgspec

from notcharch.services.shares import Demand, fair_targets
from notcharch.values.identifiers import Member


class Lease(msgspec.Struct, frozen=True):
    """One holder's lease. `counted` slots must not be leased to others.

    `slots` is the number last granted. Times are by the leader's clock.
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
    def expires_at(self) -> float:
        """The time, by this clock, from which the holder starts no new calls."""
        return self.renewed_at + self.lease_seconds

    @property
    def free_at(self) -> float:
        """The time at which the slots are freed without a further request."""
        return self.renewed_at + self.keep_seconds


class _Expiry(msgspec.Struct, frozen=True, order=True):
    """A heap entry; outdated entries of a holder are skipped."""

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
        """Return a holder's lease, or None."""
        return self._leases.get(holder)

    def all(self) -> tuple[Lease, ...]:
        """Return all leases, sorted by holder."""
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
        """Remove a holder's lease."""
        lease = self._leases.pop(holder, None)
        if lease is not None:
            self._counted -= lease.counted
            self._wanted -= lease.wanted

    def drop_expired(self, now: float) -> None:
        """Remove holders without a request for their `keep_seconds`."""
        while self._expiries and self._expiries[0].at <= now:
            expiry = heapq.heappop(self._expiries)
            lease = self._leases.get(expiry.holder)
            if lease is not None and lease.free_at <= now:
                self.drop(expiry.holder)

    def restart(self, now: float) -> None:
        """Restart the term of every lease at `now`, by a new leader's clock."""
        for lease in self.all():
            self.put(msgspec.structs.replace(lease, renewed_at=now))
        self._rebuild_expiries()

    def counted_by_others(self, holder: Member) -> int:
        """Return the number of slots counted for the other holders."""
        known = self._leases.get(holder)
        return self._counted - (known.counted if known else 0)

    def target(
        self, holder: Member, wanted: int, favoured: int, slots: int, now: float
    ) -> int:
        """Return a holder's fair share of `slots` if it wants `wanted`."""
        known = self._leases.get(holder)
        wanted_by_others = self._wanted - (known.wanted if known else 0)
        if wanted_by_others + wanted <= slots:
            return wanted
        demands = self._demands(now)
        demands[holder] = Demand(wanted, favoured)
        return fair_targets(slots, demands)[holder]

    def above_share(self, slots: int, now: float) -> list[Member]:
        """Return the holders with more counted slots than their fair share."""
        targets = fair_targets(slots, self._demands(now))
        return [
            lease.holder
            for lease in self.all()
            if lease.counted > targets[lease.holder]
        ]

    def min_favoured(self) -> int:
        """Return the lowest `favoured` count of all holders."""
        return min((lease.favoured for lease in self._leases.values()), default=0)

    def _demands(self, now: float) -> dict[Member, Demand]:
        """Return the holders' demands, which are zero after the lease expired."""
        return {
            holder: Demand(
                lease.wanted if lease.expires_at > now else 0, lease.favoured
            )
            for holder, lease in self._leases.items()
        }

    def _rebuild_expiries(self) -> None:
        self._expiries = [_Expiry(lease.free_at, lease.holder) for lease in self.all()]
        heapq.heapify(self._expiries)
