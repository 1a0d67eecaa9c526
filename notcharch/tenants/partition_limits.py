"""The rate limits of one partition's tenants, across changes of its owner. Pure.

One daemon owns a partition and decides every call of its tenants from memory. This
state is lost with the daemon, and a successor must not exceed the limits in addition to
what the former owner admitted:

- In a planned move the owner stops deciding and then hands over its bucket levels in
  the journal. The successor continues from them, but only after a record states that
  the levels are taken, so that no other owner can start from them again.
- Otherwise the successor starts with nearly empty buckets. Together with a full bucket
  of the former owner, this admits what a single owner would have admitted.
- The former owner may be running, but disconnected. After its lease has expired, which
  is before a successor starts, it admits half of the rate, and nothing after
  `MAX_LAPSED_SECONDS`. For the same time after its start, a successor admits the other
  half, plus a part of the tolerance. So does an owner whose lease was renewed after it
  had expired, because another owner may have decided meanwhile.

If two successive owners are disconnected within that time, they and a third one may
together exceed the limit by half of the rate until that time has passed.
"""

import enum
import math

import msgspec

from notcharch.tenants.interface import RateLimit
from notcharch.tenants.limit import (
    Supply,
    TenantLimit,
    Verdict,
    exclusive_supply,
    shared_supply,
)
from notcharch.tenants.program_sizes import ProgramSizes
from notcharch.tenants.recent_calls import RecentCalls
from notcharch.tenants.reserving_limit import ReservingLimit
from notcharch.tenants.tenant_use import TenantUse

MAX_LAPSED_SECONDS = 4.0
"""How long an owner decides after its lease has expired. This bridges short outages of
the log service, during which no successor can start either."""
LAPSED_SHARE = 0.5
"""Share of the rate while another owner may use the other half. Tenants use less than
their limits on average, so a full bucket makes up for the difference."""
LEARNING_SECONDS = 3.0
"""How long after a change of owner an unknown program may be running already."""
TOLERATED_BURST_SHARE = 0.55
"""Share of the tolerated calls that the bucket may hold in addition to the burst.
Tenants with a low rate need it, because one program can exceed that rate."""
TOLERATED_START_SHARE = 0.25
"""Share of the tolerated calls with which a successor without known levels starts."""
TOLERATED_RATE_SHARE = 0.8
"""Share of the tolerated rate that a successor admits in addition to its half."""


class Tolerance(msgspec.Struct, frozen=True):
    """How far a limit may be exceeded within a window."""

    window_seconds: float = 5.0
    over_share: float = 0.0
    """Share of the calls that the limit allows in a window."""
    calls: float = 0.0

    @property
    def burst_calls(self) -> float:
        """Number of calls that a bucket may hold beyond the burst."""
        return self.calls * TOLERATED_BURST_SHARE

    @property
    def start_calls(self) -> float:
        """Number of calls with which a successor may start."""
        return self.calls * TOLERATED_START_SHARE

    @property
    def successor_share(self) -> float:
        """Share of the rate for a successor while its predecessor may decide."""
        tolerated = self.over_share * self.window_seconds / MAX_LAPSED_SECONDS
        return min(1.0, 1.0 - LAPSED_SHARE + TOLERATED_RATE_SHARE * tolerated)


class Lease(msgspec.Struct, frozen=True):
    """The state of a daemon's lease on its partitions."""

    lapsed_seconds: float = 0.0
    """Seconds since it expired without renewal; 0 while it is valid."""
    held_since: float = -math.inf
    """Clock time of the last renewal after it had expired."""
    remaining_seconds: float = math.inf
    """Seconds until it expires, unless it is renewed."""


HELD_LEASE = Lease()


class LimitHandover(msgspec.Struct, frozen=True):
    """What an owner hands over to its successor in a planned move."""

    uses: dict[str, TenantUse]
    """By tenant, for those that made calls."""
    decided_seconds: float
    """How long this owner, and those that handed over to it, had decided."""


class LimitOwnership(enum.Enum):
    """Whether other owners may decide at the same time."""

    ALONE = "alone"
    SUCCESSOR = "the former owner may decide as well"
    LAPSED = "a successor may decide as well"
    NONE = "it must not decide"


class PartitionLimits:
    """The token buckets of one partition's tenants."""

    def __init__(
        self, tolerance: Tolerance, sizes: ProgramSizes, *, reserves: bool = False
    ) -> None:
        """Start without tenants, and without deciding.

        `reserves`: whether calls are reserved for running programs.
        """
        self._reserves = reserves
        self._tolerance = tolerance
        self._sizes = sizes
        self._limits: dict[str, TenantLimit] = {}
        self._started_at = 0.0
        """Clock time at which this owner, or the first in its chain of handovers,
        started to decide without knowing the calls admitted before."""
        self._learns_since = 0.0
        """Clock time since which all programs that began are known."""
        self._handover: LimitHandover | None = None
        """The former owner's handover; None if there is none, or it was taken."""

    # Changes of owner

    def replay_handover(self, handover: LimitHandover) -> None:
        """Replay the record of a handover."""
        self._handover = handover

    def replay_levels_taken(self) -> None:
        """Replay the record that an owner took the levels of a handover."""
        self._handover = None

    def start(self, now: float) -> None:
        """Start to decide."""
        self._started_at = self._learns_since = now

    @property
    def has_handover(self) -> bool:
        """Whether there is a recorded handover whose levels aren't taken."""
        return self._handover is not None

    def take_levels(self, now: float) -> None:
        """Continue from the handover's levels, after their record is durable."""
        handover, self._handover = self._handover, None
        if handover is None:
            return
        self._started_at -= handover.decided_seconds
        # Running programs are not handed over. With a reserve they would count as
        # beginning and be refused, so they are learned from their calls first.
        self._learns_since = now if self._reserves else self._started_at
        for tenant, use in handover.uses.items():
            limit = self._limits[tenant] = self._new_limit(use.level, now)
            limit.recent.restore(use.recent, now)

    def _new_limit(self, level: float, now: float) -> TenantLimit:
        window = self._tolerance.window_seconds
        recent = RecentCalls(window)
        if self._reserves:
            return ReservingLimit(level, now, self._sizes, recent, window)
        return TenantLimit(level, now, self._sizes, recent)

    def hand_over(self, now: float) -> LimitHandover | None:
        """Return the handover for a successor, None if no tenant made calls."""
        if not self._limits:
            return None
        uses = {
            name: TenantUse(round(limit.level, 2), limit.recent.by_age(now))
            for name, limit in self._limits.items()
        }
        return LimitHandover(uses, round(now - self._started_at, 2))

    def ownership(self, now: float, lease: Lease) -> LimitOwnership:
        """Return whether other owners may decide at the same time."""
        if lease.lapsed_seconds > MAX_LAPSED_SECONDS:
            return LimitOwnership.NONE
        if lease.lapsed_seconds > 0.0:
            return LimitOwnership.LAPSED
        if now - max(self._started_at, lease.held_since) < MAX_LAPSED_SECONDS:
            return LimitOwnership.SUCCESSOR
        return LimitOwnership.ALONE

    # Calls

    def decide(
        self,
        tenant: str,
        limit: RateLimit,
        program: str,
        kind: str,
        now: float,
        *,
        lease: Lease,
        max_wait_seconds: float = 0.0,
    ) -> Verdict | None:
        """Admit or refuse a call; None if this owner must not decide.

        No call is promised a time at which another owner may decide.
        """
        ownership = self.ownership(now, lease)
        if ownership is LimitOwnership.NONE or self.has_handover:
            return None
        supply = self._supply(limit, ownership)
        bucket = self._limits.get(tenant)
        if bucket is None:
            level = self._initial_level(supply, now)
            bucket = self._limits[tenant] = self._new_limit(level, now)
        knows_all_programs = now - self._learns_since >= LEARNING_SECONDS
        max_wait = min(max_wait_seconds, lease.remaining_seconds)
        return bucket.decide(
            program,
            kind,
            supply,
            now,
            knows_all_programs=knows_all_programs,
            max_wait_seconds=max_wait,
        )

    def _supply(self, limit: RateLimit, ownership: LimitOwnership) -> Supply:
        tolerance = self._tolerance
        window, calls = tolerance.window_seconds, tolerance.burst_calls
        if ownership is LimitOwnership.ALONE:
            return exclusive_supply(limit, window, calls)
        share = LAPSED_SHARE
        if ownership is LimitOwnership.SUCCESSOR:
            share = tolerance.successor_share
        return shared_supply(limit, window, calls, share)

    def _initial_level(self, supply: Supply, now: float) -> float:
        """Return the initial bucket level of a tenant."""
        since = now - self._started_at
        level = self._tolerance.start_calls + since * supply.rate
        return min(supply.capacity, level)
