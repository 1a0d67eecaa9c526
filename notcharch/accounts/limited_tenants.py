"""Enforces tenants' rate limits for one partition: decisions, records and log events."""

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.messages import (
    AdmitCall,
    CallAdmitted,
    CallOverLimit,
    NotOwner,
)
from notcharch.accounts.metrics import (
    LIMIT_REFUSALS,
    LIMIT_REFUSED_SECONDS,
    LIMIT_RETRY_SECONDS,
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


class LimitContext(msgspec.Struct, frozen=True):
    """Dependencies and settings for enforcing tenants' limits."""

    tenant: Callable[[str], Tenant | None] = lambda _: None
    """Returns a tenant of the table in force by its name."""
    tolerance: Tolerance = Tolerance()
    sizes: ProgramSizes = msgspec.field(default_factory=ProgramSizes)
    lease: Callable[[], Lease] = lambda: HELD_LEASE
    """Returns the state of this daemon's lease on its partitions."""
    reserves: bool = False
    """Whether limits reserve calls for running programs."""


class LimitedTenants:
    """Admits or refuses the calls of rate-limited tenants in one partition."""

    def __init__(
        self, limit_context: LimitContext, clock: IReactorTime, partition: int
    ) -> None:
        """Start without tenants."""
        self._limit_context = limit_context
        self._clock = clock
        self._partition = partition
        self._limits = PartitionLimits(
            limit_context.tolerance,
            limit_context.sizes,
            reserves=limit_context.reserves,
        )

    # Ownership changes

    def replay(self, record: AnyRecord) -> None:
        """Apply a record of an earlier owner, if it is about limits."""
        if isinstance(record, LimitsHandedOver):
            handover = LimitHandover(record.uses, record.decided_seconds)
            self._limits.replay_handover(handover)
        elif isinstance(record, LimitsTaken):
            self._limits.replay_levels_taken()

    def on_takeover(self) -> LimitsTaken | None:
        """Start deciding; return the record to write before `restore_levels`, if any."""
        self._limits.start(self._clock.seconds())
        return LimitsTaken() if self._limits.has_handover else None

    def restore_levels(self) -> None:
        """Restore the levels handed over by the previous owner, once the record is durable."""
        self._limits.take_levels(self._clock.seconds())

    def hand_over(self) -> LimitsHandedOver | None:
        """Return the record from which the next owner continues, if there is any state."""
        handover = self._limits.hand_over(self._clock.seconds())
        if handover is None:
            return None
        return LimitsHandedOver(handover.uses, handover.decided_seconds)

    # Calls

    def decide(self, request: AdmitCall) -> Message:
        """Admit or refuse a call."""
        tenant = self._limit_context.tenant(request.tenant)
        if tenant is None:
            return NOT_OWNER  # this daemon's table is older than the requester's
        if tenant.limit is None:
            return CallAdmitted()
        verdict = self._limits.decide(
            request.tenant,
            tenant.limit,
            request.program,
            request.route,
            self._clock.seconds(),
            lease=self._limit_context.lease(),
            max_wait_seconds=request.most_wait_seconds,
        )
        if verdict is None:
            return NOT_OWNER  # another daemon may be the owner by now
        if isinstance(verdict, OverLimit):
            self._log(request, tenant.limit, verdict)
            _count_refusal(request.tenant, verdict)
            return CallOverLimit(round(verdict.retry_after_seconds, 3))
        if verdict.refused_seconds > 0.0:
            LIMIT_REFUSED_SECONDS.observe(verdict.refused_seconds)
        return CallAdmitted(round(verdict.wait_seconds, 4))

    def _log(self, message: AdmitCall, limit: RateLimit, verdict: OverLimit) -> None:
        ownership = self._limits.ownership(
            self._clock.seconds(), self._limit_context.lease()
        )
        emit(
            LimitReached(
                request=message.call,
                tenant=message.tenant,
                program=message.program,
                route=message.route,
                begins_program=verdict.is_new_program,
                calls_left=round(verdict.level, 2),
                calls_per_second=limit.per_second,
                burst_calls=limit.burst,
                retry_after_seconds=round(verdict.retry_after_seconds, 3),
                partition=self._partition,
                standing=ownership.value,
                cause=verdict.cause.value,
                reserved_calls=round(verdict.reserved_calls, 2),
                program_calls=verdict.program_calls,
            )
        )


def _count_refusal(tenant: str, verdict: OverLimit) -> None:
    labels = (tenant, verdict.cause.value)
    LIMIT_REFUSALS.labels(*labels).inc()
    LIMIT_RETRY_SECONDS.labels(*labels).inc(verdict.retry_after_seconds)
