"""The rate limits of the tenants of one partition, through changes of owner. Pure.

One daemon owns a partition and decides every call of its tenants from memory. What it has
let in dies with it, so its successor must not let in what would come on top of it:

- In a planned move the owner hands the levels of its buckets over by the journal, and
  stops deciding first. The successor decides nothing until a record says that the levels
  are taken, and goes on from them: nobody else begins from them again.
- Otherwise a successor begins with nearly empty buckets. A bucket that held its all lets
  in as much before, and the rate alone afterwards, as one owner would have.
- The former owner may be alive and cut off. Once its lease has run out, which is before
  anybody succeeds it, it gives out half of the rate, and nothing after
  `MAX_LAPSED_SECONDS`. So long after it took over, a successor gives out the other half,
  and a little of what the limit tolerates. So does an owner whose lease is renewed after
  it had run out: another one may have decided meanwhile.

Two owners in a row that were cut off within that time, and a third, may give out half a
rate more than the limit between them for the rest of it.
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
from notcharch.tenants.tenant_use import TenantUse

MAX_LAPSED_SECONDS = 4.0
"""An owner that the log service doesn't confirm decides for so long. It bears short
outages of the log service, in which nobody can succeed it either."""
LAPSED_SHARE = 0.5
"""Of the rate, while another owner may have the other half. Tenants ask for two thirds of
their limits on average, so a full bucket lasts for the four seconds."""
LEARNING_SECONDS = 3.0
"""After a change of owner, a program that isn't known here may be under way."""
TOLERATED_BURST_SHARE = 0.55
"""Of the tolerated calls, in the bucket. Small tenants live by it: one program asks for
more calls a second than their rates."""
TOLERATED_START_SHARE = 0.25
"""Of the tolerated calls, with which a successor begins that knows no levels."""
TOLERATED_RATE_SHARE = 0.8
"""Of the tolerated rate, which a successor gives out beyond its half."""


class Tolerance(msgspec.Struct, frozen=True):
    """How far a limit may be exceeded within a window."""

    window_seconds: float = 5.0
    over_share: float = 0.0
    """Of what the limit lets in within a window."""
    calls: float = 0.0

    @property
    def burst_calls(self) -> float:
        """Calls that a bucket may hold beyond its burst."""
        return self.calls * TOLERATED_BURST_SHARE

    @property
    def start_calls(self) -> float:
        """Calls with which a successor may begin."""
        return self.calls * TOLERATED_START_SHARE

    @property
    def successor_share(self) -> float:
        """Share of the rate that a successor may give out beside its predecessor."""
        tolerated = self.over_share * self.window_seconds / MAX_LAPSED_SECONDS
        return min(1.0, 1.0 - LAPSED_SHARE + TOLERATED_RATE_SHARE * tolerated)


class Lease(msgspec.Struct, frozen=True):
    """What a daemon knows of its lease on its partitions."""

    lapsed_seconds: float = 0.0
    """Since it ran out without having been renewed; 0 while it holds."""
    held_since: float = -math.inf
    """Clock seconds at which it was last renewed after it had run out."""
    remaining_seconds: float = math.inf
    """Until it runs out, unless it is renewed."""


HELD_LEASE = Lease()


class LimitHandover(msgspec.Struct, frozen=True):
    """What an owner leaves to its successor in a planned move."""

    uses: dict[str, TenantUse]
    """Of each tenant that asked for any call."""
    decided_seconds: float
    """For so long it, and those that handed over to it, had decided."""


class LimitOwnership(enum.Enum):
    """How sure an owner is that it alone decides."""

    ALONE = "alone"
    SUCCESSOR = "the former owner may decide as well"
    LAPSED = "a successor may decide as well"
    NONE = "it must not decide"


class PartitionLimits:
    """The buckets of one partition's tenants."""

    def __init__(self, tolerance: Tolerance, sizes: ProgramSizes) -> None:
        """Begin without tenants, and without a say."""
        self._tolerance = tolerance
        self._sizes = sizes
        self._limits: dict[str, TenantLimit] = {}
        self._started_at = 0.0
        """When this owner, or the first of those that handed over to it, began to decide
        without knowing what was let in before; clock seconds."""
        self._handover: LimitHandover | None = None
        """What the former owner left; None if it left nothing, or that is taken."""

    # Changes of owner

    def replay_handover(self, handover: LimitHandover) -> None:
        """Hear that an owner handed over."""
        self._handover = handover

    def replay_levels_taken(self) -> None:
        """Hear that an owner went on from the levels that were handed over."""
        self._handover = None

    def start(self, now: float) -> None:
        """Begin to decide."""
        self._started_at = now

    @property
    def has_handover(self) -> bool:
        """Whether there are levels to take, by a record."""
        return self._handover is not None

    def take_levels(self, now: float) -> None:
        """Go on from the levels that were handed over: their record is durable."""
        handover, self._handover = self._handover, None
        if handover is None:
            return
        self._started_at -= handover.decided_seconds
        for tenant, use in handover.uses.items():
            limit = self._limits[tenant] = self._new_limit(use.level, now)
            limit.recent.restore(use.recent, now)

    def _new_limit(self, level: float, now: float) -> TenantLimit:
        recent = RecentCalls(self._tolerance.window_seconds)
        return TenantLimit(level, now, self._sizes, recent)

    def hand_over(self, now: float) -> LimitHandover | None:
        """Give what a successor goes on from; None if there is nothing worth a record."""
        if not self._limits:
            return None
        uses = {
            name: TenantUse(round(limit.level, 2), limit.recent.by_age(now))
            for name, limit in self._limits.items()
        }
        return LimitHandover(uses, round(now - self._started_at, 2))

    def ownership(self, now: float, lease: Lease) -> LimitOwnership:
        """Tell how sure this owner may be that it alone decides."""
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
        """Let a call in, or refuse it; None if this owner must not decide.

        No call is promised a moment at which somebody else may decide.
        """
        ownership = self.ownership(now, lease)
        if ownership is LimitOwnership.NONE or self.has_handover:
            return None
        supply = self._supply(limit, ownership)
        bucket = self._limits.get(tenant)
        if bucket is None:
            level = self._initial_level(supply, now)
            bucket = self._limits[tenant] = self._new_limit(level, now)
        knows_all_programs = now - self._started_at >= LEARNING_SECONDS
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
        """Give the level of a tenant that asks for the first time here."""
        since = now - self._started_at
        level = self._tolerance.start_calls + since * supply.rate
        return min(supply.capacity, level)
