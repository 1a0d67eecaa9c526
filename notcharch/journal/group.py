"""This daemon's membership in the group that assigns partitions."""

import math
from collections.abc import Callable, Generator
from typing import Any

from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.events.event import emit
from notcharch.events.feed_faults import FeedFaults
from notcharch.events.outages import StoreOutageKnown, StoreOutageOver
from notcharch.journal.interface import (
    UNCERTAIN_FAULTS,
    GroupName,
    LogFault,
    LogProblem,
    LogService,
    Membership,
)
from notcharch.journal.metrics import OUTAGE_SECONDS, OUTAGES
from notcharch.journal.store_outage import StoreOutage

HEARTBEAT_SECONDS = 0.35
"""Under a third of the lease, so that two consecutive heartbeats may fail."""
FAST_HEARTBEAT_SECONDS = 0.1
"""Interval after a change of the group or a heartbeat without a response."""
FAST_HEARTBEATS = 5
"""Number of heartbeats at the short interval after a new generation."""
LEASE_SECONDS = 1.2
"""How long the partitions of a failed daemon stay unserved.

The platform's minimum is 1 s; the rest allows for a late heartbeat.
"""


OUTAGE_FAULTS = (LogFault.NOT_DONE, *UNCERTAIN_FAULTS)
"""Faults of heartbeats that the service did not answer, or refused for the moment."""


class GroupMember:
    """Renews a group membership by heartbeats and reports the assigned partitions."""

    def __init__(
        self,
        service: LogService,
        clock: IReactorTime,
        name: GroupName,
        member: str,
        *,
        min_lease_seconds: float,
        on_assignment: Callable[[Membership], None],
        on_recovery: Callable[[], None] = lambda: None,
        outage: StoreOutage | None = None,
    ) -> None:
        """Call `on_assignment` after each successful heartbeat.

        `on_recovery` is called before it if the previous heartbeat failed. `outage` is
        told of each heartbeat.
        """
        self._outage = outage
        self._is_outage_logged = False
        self._faults = FeedFaults(name.group)
        self._service = service
        self._clock = clock
        self._name = name
        self._member = member
        self._lease_seconds = max(LEASE_SECONDS, min_lease_seconds)
        self._on_assignment = on_assignment
        self._on_recovery = on_recovery
        self._has_failed = False
        """Whether the last heartbeat was refused or timed out."""
        self._generation = 0
        self._is_member = False
        self._is_joining = False
        self._confirmed_at: float | None = None
        """Send time of the last successful heartbeat, in clock seconds."""
        self.lease_held_since = -math.inf
        """When the lease was last acquired after an expiry, in clock seconds."""
        self._fast_heartbeats_left = 0
        self._next: IDelayedCall | None = None

    def start(self) -> None:
        """Join the group and start sending heartbeats."""
        self._is_member = True
        self.heartbeat()

    @property
    def is_lease_valid(self) -> bool:
        """Whether no other member can own the partitions assigned to this one."""
        if self._confirmed_at is None:
            return False
        return self._clock.seconds() - self._confirmed_at < self._lease_seconds

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the lease expires unless renewed; 0 if it has expired."""
        if self._confirmed_at is None:
            return 0.0
        elapsed = self._clock.seconds() - self._confirmed_at
        return max(self._lease_seconds - elapsed, 0.0)

    @property
    def expired_seconds(self) -> float:
        """Seconds since the lease expired; 0 if it is valid, infinite if never held."""
        if self._confirmed_at is None:
            return math.inf
        elapsed = self._clock.seconds() - self._confirmed_at
        return max(elapsed - self._lease_seconds, 0.0)

    @property
    def unanswered_seconds(self) -> float:
        """Seconds by which a response to the heartbeats is overdue; 0 if none is."""
        if self._confirmed_at is None:
            return 0.0
        elapsed = self._clock.seconds() - self._confirmed_at
        return max(elapsed - 2 * HEARTBEAT_SECONDS, 0.0)

    def heartbeat(self) -> None:
        """Send a heartbeat now instead of at the next scheduled time."""
        if self._next is not None and self._next.active():
            self._next.cancel()
        if self._is_member and not self._is_joining:
            self._join()

    @inlineCallbacks
    def _join(self) -> Generator["Deferred[Any]", Any, None]:
        self._is_joining = True
        sent_at = self._clock.seconds()
        response: Result[Membership, LogProblem] = yield self._service.join(
            self._name, self._member, self._lease_seconds, self._generation
        )
        self._is_joining = False
        if not self._is_member:
            return
        if self._next is None or not self._next.active():
            self._next = self._clock.callLater(
                self._next_delay(response), self.heartbeat
            )
        had_failed, self._has_failed = self._has_failed, isinstance(response, Err)
        self._report_to_outage(response)
        if not isinstance(response, Err):
            if self.expired_seconds > 0.0:
                self.lease_held_since = self._clock.seconds()
            self._confirmed_at = sent_at
            if had_failed:
                self._faults.isolate("recovery", self._on_recovery)
            membership = response.ok_value
            self._faults.isolate("assignment", lambda: self._on_assignment(membership))

    def _report_to_outage(self, response: Result[Membership, LogProblem]) -> None:
        """Record whether the service answered, and log an outage that is known or over."""
        if self._outage is None:
            return
        now = self._clock.seconds()
        if isinstance(response, Err) and response.err_value.fault in OUTAGE_FAULTS:
            sent_at = now if self._confirmed_at is None else self._confirmed_at
            self._outage.failed(sent_at + HEARTBEAT_SECONDS, now)
            seconds = self._outage.known_seconds(now)
            if seconds and not self._is_outage_logged:
                self._is_outage_logged = True
                OUTAGES.inc()
                emit(StoreOutageKnown(self._name.group, round(seconds, 3)))
            return
        seconds = self._outage.answered(now)
        if self._is_outage_logged:
            self._is_outage_logged = False
            OUTAGE_SECONDS.inc(seconds)
            emit(StoreOutageOver(self._name.group, round(seconds, 3)))

    def _next_delay(self, response: Result[Membership, LogProblem]) -> float:
        """Return the delay until the next heartbeat; store the group's generation.

        A heartbeat that timed out has used up much of the lease: repeat it soon.
        """
        if isinstance(response, Err):
            is_timed_out = response.err_value.fault in UNCERTAIN_FAULTS
            return FAST_HEARTBEAT_SECONDS if is_timed_out else HEARTBEAT_SECONDS
        if response.ok_value.generation != self._generation:
            self._fast_heartbeats_left = FAST_HEARTBEATS
        self._generation = response.ok_value.generation
        if self._fast_heartbeats_left <= 0:
            return HEARTBEAT_SECONDS
        self._fast_heartbeats_left -= 1
        return FAST_HEARTBEAT_SECONDS

    def stop(self) -> None:
        """Stop sending heartbeats."""
        self._is_member = False
        if self._outage is not None:
            self._outage.forget()
        if self._next is not None and self._next.active():
            self._next.cancel()

    def leave(self) -> "Deferred[Any]":
        """Leave the group, which releases all partitions immediately."""
        self.stop()
        return self._service.leave(self._name.group, self._member)
