"""The tenants whose limits one partition's owner counts: its answers, records and lines."""

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.messages import (
    AdmitCall,
    CallAdmitted,
    CallOverLimit,
    NotOwner,
)
from notcharch.accounts.records import AnyRecord, LimitsHandedOver, LimitsTaken
from notcharch.events.event import emit
from notcharch.events.tenants import LimitReached
from notcharch.tenants.interface import RateLimit, Tenant
from notcharch.tenants.limit import OverLimit
from notcharch.tenants.partition_limits import (
    HELD_LEASE,
    Lease,
    LimitHandover,
    PartitionLimits,
    Tolerance,
)
from notcharch.tenants.program_sizes import ProgramSizes
from notcharch.wire.messages.base import Message

NOT_OWNER = NotOwner()


class Limiting(msgspec.Struct, frozen=True):
    """What owners of tenants' limits work with."""

    tenant: Callable[[str], Tenant | None] = lambda _: None
    """Gives a tenant of the table in force by its name."""
    tolerance: Tolerance = Tolerance()
    sizes: ProgramSizes = msgspec.field(default_factory=ProgramSizes)
    lease: Callable[[], Lease] = lambda: HELD_LEASE
    """Gives what this daemon knows of its lease on its partitions."""


class LimitedTenants:
    """Decides about the calls of limited tenants for one partition."""

    def __init__(self, limiting: Limiting, clock: IReactorTime, partition: int) -> None:
        """Begin without tenants."""
        self._limiting = limiting
        self._clock = clock
        self._partition = partition
        self._limits = PartitionLimits(limiting.tolerance, limiting.sizes)

    # Changes of owner

    def replay(self, record: AnyRecord) -> None:
        """Take a record of an earlier owner, if it is about limits."""
        if isinstance(record, LimitsHandedOver):
            left = LimitHandover(record.uses, record.decided_seconds)
            self._limits.replay_handover(left)
        elif isinstance(record, LimitsTaken):
            self._limits.replay_levels_taken()

    def taken_over(self) -> LimitsTaken | None:
        """Begin to decide; give the record to write before `take_levels`, if any."""
        self._limits.start(self._clock.seconds())
        return LimitsTaken() if self._limits.has_handover else None

    def take_levels(self) -> None:
        """Go on from what the former owner left: the record is durable."""
        self._limits.take_levels(self._clock.seconds())

    def hand_over(self) -> LimitsHandedOver | None:
        """Give the record that a successor goes on from, if there is anything to say."""
        left = self._limits.hand_over(self._clock.seconds())
        if left is None:
            return None
        return LimitsHandedOver(left.uses, left.decided_seconds)

    # Calls

    def decide(self, ask: AdmitCall) -> Message:
        """Let a call in, or refuse it."""
        tenant = self._limiting.tenant(ask.tenant)
        if tenant is None:
            return NOT_OWNER  # our table is older than the asker's
        if tenant.limit is None:
            return CallAdmitted()
        verdict = self._limits.decide(
            ask.tenant,
            tenant.limit,
            ask.program,
            ask.route,
            self._clock.seconds(),
            lease=self._limiting.lease(),
            max_wait_seconds=ask.most_wait_seconds,
        )
        if verdict is None:
            return NOT_OWNER  # another owner may decide by now
        if isinstance(verdict, OverLimit):
            self._log(ask, tenant.limit, verdict)
            return CallOverLimit(round(verdict.retry_after_seconds, 3))
        return CallAdmitted(round(verdict.wait_seconds, 4))

    def _log(self, ask: AdmitCall, limit: RateLimit, verdict: OverLimit) -> None:
        standing = self._limits.ownership(self._clock.seconds(), self._limiting.lease())
        emit(
            LimitReached(
                request=ask.call,
                tenant=ask.tenant,
                program=ask.program,
                route=ask.route,
                begins_program=verdict.is_new_program,
                calls_left=round(verdict.level, 2),
                calls_per_second=limit.per_second,
                burst_calls=limit.burst,
                retry_after_seconds=round(verdict.retry_after_seconds, 3),
                partition=self._partition,
                standing=standing.value,
            )
        )
