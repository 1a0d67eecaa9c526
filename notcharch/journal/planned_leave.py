"""The planned stop of a group's member: when it releases its partitions.

```
KEEPING --a member stays--> RELEASING --released--> RELEASED
RELEASED --the group has no member--> KEEPING
any --no call needs an owner, or the time is up--> partitions released, OVER
```

With another member left, partitions are released at once. If all members that were asked
stop as well, the member keeps its partitions while its daemon's calls need owners. A
daemon whose calls still run although the last member has left joins the group again.
"""

import enum
from functools import partial
from typing import Any, Protocol

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.events.event import emit
from notcharch.events.journal import GroupRejoined, PartitionsKept, PartitionsReleased
from notcharch.events.stop_steps import isolated
from notcharch.journal.interface import LogProblem, Ownership
from notcharch.journal.metrics import KEPT_RELEASES, REJOINS
from notcharch.journal.staying_members import MembersAsked

ASK_SECONDS = 0.25
"""Interval of the questions whether another member stays, while partitions are kept."""
WATCH_SECONDS = 0.5
"""Interval of the questions whether a member is left, after the release.

Each may cost a read of the log service, and a turn is stored later by at most this time.
"""

Owners = Result[tuple[Ownership, ...], LogProblem]


class LeaveTerms(msgspec.Struct, frozen=True):
    """For how long a daemon that stops may need owners of partitions."""

    not_needed: "Deferred[None]"
    """Fires when no call of this daemon runs, and none may come."""
    max_seconds: float
    """After which partitions are released in any case."""
    release_seconds: float
    """Longest wait for the release; after it, partitions have no owner until the lease
    expires."""


class ReleaseCause(enum.Enum):
    """Why a member releases its partitions."""

    TAKEN = "another member stays"
    NOT_NEEDED = "no call of this daemon needs an owner"
    TIME_UP = "the grace period ends"


class Phase(enum.Enum):
    """The phases of a planned leave."""

    KEEPING = enum.auto()
    RELEASING = enum.auto()
    RELEASED = enum.auto()
    OVER = enum.auto()


class LeavingMember(Protocol):
    """A member of a group, with the partitions that it owns."""

    @property
    def is_lease_valid(self) -> bool:
        """Whether no other member can own the partitions assigned to this one."""

    @property
    def partition_count(self) -> int:
        """Number of owned partitions."""

    def release(self) -> "Deferred[Any]":
        """Hand all partitions over, and leave the group; fires when it is done."""

    def rejoin(self) -> None:
        """Join the group again."""

    def ask_members(self) -> "Deferred[MembersAsked]":
        """Ask other members whether they stay."""

    def read_owners(self) -> "Deferred[Owners]":
        """Read the owners of the group's partitions from the log service."""


class PlannedLeave:
    """Releases a member's partitions in a planned stop."""

    def __init__(
        self, clock: IReactorTime, group: str, member: LeavingMember, terms: LeaveTerms
    ) -> None:
        """Prepare; `begin` starts."""
        self._clock = clock
        self._group = group
        self._member = member
        self._terms = terms
        self._phase = Phase.KEEPING
        self._began = self._kept_since = clock.seconds()
        self._is_asking = False
        self._is_keeping_logged = False
        self._over: Deferred[None] = Deferred()

    def begin(self) -> "Deferred[None]":
        """Start; fires when the partitions are released for good."""
        self._clock.callLater(
            self._terms.max_seconds, self._finish, ReleaseCause.TIME_UP
        )
        self._terms.not_needed.addBoth(lambda _: self._finish(ReleaseCause.NOT_NEEDED))
        self._ask_periodically()
        return self._over

    @property
    def _elapsed(self) -> float:
        return self._clock.seconds() - self._began

    def _ask_periodically(self) -> None:
        """Ask members until the end, but for the time of a release."""
        if self._phase is Phase.OVER:
            return
        if not self._is_asking and self._phase is not Phase.RELEASING:
            isolated("ask other members", self._ask)
        is_keeping = self._phase is Phase.KEEPING
        interval = ASK_SECONDS if is_keeping else WATCH_SECONDS
        self._clock.callLater(interval, self._ask_periodically)

    def _ask(self) -> None:
        self._is_asking = True
        self._member.ask_members().addCallback(self._on_answer)

    def _on_answer(self, answer: MembersAsked) -> None:
        self._is_asking = False
        if self._phase is Phase.KEEPING:
            if answer.is_any_staying:
                self._release(ReleaseCause.TAKEN)
            else:
                self._log_kept(answer.asked)
        elif self._phase is Phase.RELEASED and not answer.is_any_staying:
            self._is_asking = True
            self._member.read_owners().addCallback(self._on_owners)

    def _on_owners(self, owners: Owners) -> None:
        """Join again if the group has no member that could store this daemon's turns."""
        self._is_asking = False
        is_empty = not isinstance(owners, Err) and not owners.ok_value
        if is_empty and self._phase is Phase.RELEASED:
            self._phase = Phase.KEEPING
            self._kept_since = self._clock.seconds()
            REJOINS.inc()
            emit(GroupRejoined(self._group, round(self._elapsed, 3)))
            self._member.rejoin()

    def _log_kept(self, asked: int) -> None:
        if not self._is_keeping_logged:
            self._is_keeping_logged = True
            count = self._member.partition_count
            emit(PartitionsKept(self._group, count, asked))

    def _release(self, cause: ReleaseCause) -> None:
        self._phase = Phase.RELEASING
        self._is_keeping_logged = False
        count = self._member.partition_count
        kept_seconds = self._clock.seconds() - self._kept_since
        KEPT_RELEASES.labels(cause.name.lower()).inc(count)
        emit(
            PartitionsReleased(self._group, count, cause.value, round(kept_seconds, 3))
        )
        self._member.release().addBoth(self._on_released)

    def _on_released(self, _: object) -> None:
        if self._phase is Phase.OVER:
            self._end()
        else:
            self._phase = Phase.RELEASED

    def _finish(self, cause: ReleaseCause) -> None:
        """Release what is kept; end when it is released, or takes too long."""
        if self._phase is Phase.OVER:
            return
        former = self._phase
        # Without a lease there is no owner whose partitions others could take over now.
        has_lease = self._member.is_lease_valid
        if former is Phase.KEEPING:
            isolated("release partitions", partial(self._release, cause))
        is_pending = self._phase is Phase.RELEASING
        self._phase = Phase.OVER
        if is_pending and has_lease:
            self._clock.callLater(self._terms.release_seconds, self._end)
        else:
            self._end()

    def _end(self) -> None:
        if not self._over.called:
            self._over.callback(None)
