"""This daemon's membership in the group that deals partitions out."""

import math
from collections.abc import Callable, Generator
from typing import Any

from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.journal.interface import (
    GroupName,
    LogFault,
    LogProblem,
    LogService,
    Membership,
)

HEARTBEAT_SECONDS = 0.35
"""A third of the lease, so two heartbeats in a row may be lost."""
FAST_HEARTBEAT_SECONDS = 0.1
"""Between heartbeats while the group changes, or after one that had no answer."""
FAST_HEARTBEATS = 5
"""So many heartbeats follow quickly when the group has changed: more may be dealt."""
LEASE_SECONDS = 1.2
"""So long the partitions of a dead daemon stay unserved. The platform takes 1 s at least;
a fifth more for a heartbeat that comes late."""


class GroupMember:
    """Stays in a group by heartbeats, and tells which partitions it was dealt."""

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
    ) -> None:
        """Call `on_assignment` after each heartbeat that was answered.

        `on_recovery` is called before it when the heartbeat before had no answer.
        """
        self._service = service
        self._clock = clock
        self._name = name
        self._member = member
        self._lease_seconds = max(LEASE_SECONDS, min_lease_seconds)
        self._on_assignment = on_assignment
        self._on_recovery = on_recovery
        self._has_failed = False
        """Whether the last heartbeat was refused or not answered."""
        self._generation = 0
        self._is_member = False
        self._is_joining = False
        self._confirmed_at: float | None = None
        """When the last heartbeat that was answered was sent."""
        self.lease_held_since = -math.inf
        """When the lease was last renewed after it had run out, clock seconds."""
        self._fast_heartbeats_left = 0
        self._next: IDelayedCall | None = None

    def start(self) -> None:
        """Join, and stay."""
        self._is_member = True
        self.heartbeat()

    @property
    def is_lease_valid(self) -> bool:
        """Whether nobody else can have been dealt what was dealt to this member."""
        if self._confirmed_at is None:
            return False
        return self._clock.seconds() - self._confirmed_at < self._lease_seconds

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the lease runs out, if the service doesn't renew it; or 0."""
        if self._confirmed_at is None:
            return 0.0
        elapsed = self._clock.seconds() - self._confirmed_at
        return max(self._lease_seconds - elapsed, 0.0)

    @property
    def expired_seconds(self) -> float:
        """Seconds since the lease ran out, if the service didn't renew it; or 0."""
        if self._confirmed_at is None:
            return math.inf
        elapsed = self._clock.seconds() - self._confirmed_at
        return max(elapsed - self._lease_seconds, 0.0)

    @property
    def unanswered_seconds(self) -> float:
        """Seconds for which heartbeats have not been answered as they should; or 0."""
        if self._confirmed_at is None:
            return 0.0
        elapsed = self._clock.seconds() - self._confirmed_at
        return max(elapsed - 2 * HEARTBEAT_SECONDS, 0.0)

    def heartbeat(self) -> None:
        """Join now, not at the next time."""
        if self._next is not None and self._next.active():
            self._next.cancel()
        if self._is_member and not self._is_joining:
            self._join()

    @inlineCallbacks
    def _join(self) -> Generator["Deferred[Any]", Any, None]:
        self._is_joining = True
        sent_at = self._clock.seconds()
        answer: Result[Membership, LogProblem] = yield self._service.join(
            self._name, self._member, self._lease_seconds, self._generation
        )
        self._is_joining = False
        if not self._is_member:
            return
        # Before anything else, so that no fault keeps the next heartbeat away.
        if self._next is None or not self._next.active():
            self._next = self._clock.callLater(self._pause(answer), self.heartbeat)
        had_failed, self._has_failed = self._has_failed, isinstance(answer, Err)
        if not isinstance(answer, Err):
            if self.expired_seconds > 0.0:
                self.lease_held_since = self._clock.seconds()
            self._confirmed_at = sent_at
            if had_failed:
                self._on_recovery()
            self._on_assignment(answer.ok_value)

    def _pause(self, answer: Result[Membership, LogProblem]) -> float:
        """Give the time to the next heartbeat; note the group's generation.

        One whose answer was lost has spent much of the lease already.
        """
        if isinstance(answer, Err):
            is_lost = answer.err_value.fault is LogFault.UNKNOWN
            return FAST_HEARTBEAT_SECONDS if is_lost else HEARTBEAT_SECONDS
        if answer.ok_value.generation != self._generation:
            self._fast_heartbeats_left = FAST_HEARTBEATS
        self._generation = answer.ok_value.generation
        if self._fast_heartbeats_left <= 0:
            return HEARTBEAT_SECONDS
        self._fast_heartbeats_left -= 1
        return FAST_HEARTBEAT_SECONDS

    def stop(self) -> None:
        """Send no more heartbeats."""
        self._is_member = False
        if self._next is not None and self._next.active():
            self._next.cancel()

    def leave(self) -> None:
        """Give all partitions up at once."""
        self.stop()
        self._service.leave(self._name.group, self._member)
