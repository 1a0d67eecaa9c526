"""This daemon's membership in the group that deals partitions out."""

from collections.abc import Callable, Generator
from typing import Any

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.journal.interface import LogProblem, LogService, Membership

HEARTBEAT_SECONDS = 0.35
LEASE_SECONDS = 1.2


class GroupName(msgspec.Struct, frozen=True):
    """A group and the topic whose partitions it deals out."""

    group: str
    topic: str


class GroupMember:
    """Stays in a group by heartbeats, and tells which partitions it was dealt."""

    def __init__(
        self,
        service: LogService,
        clock: IReactorTime,
        name: GroupName,
        member: str,
        *,
        least_lease_seconds: float,
        dealt: Callable[[Membership], None],
    ) -> None:
        """Call `dealt` after each heartbeat that was answered."""
        self._service = service
        self._clock = clock
        self._name = name
        self._member = member
        self._lease_seconds = max(LEASE_SECONDS, least_lease_seconds)
        self._dealt = dealt
        self._generation = 0
        self._is_member = False

    def start(self) -> None:
        """Join, and stay."""
        self._is_member = True
        self._stay()

    @inlineCallbacks
    def _stay(self) -> Generator["Deferred[Any]", Any, None]:
        while self._is_member:
            answer: Result[Membership, LogProblem] = yield self._service.join(
                self._name.group,
                self._member,
                self._name.topic,
                self._lease_seconds,
                self._generation,
            )
            if self._is_member and not isinstance(answer, Err):
                self._generation = answer.ok_value.generation
                self._dealt(answer.ok_value)
            yield deferLater(self._clock, HEARTBEAT_SECONDS, lambda: None)

    def leave(self) -> None:
        """Give all partitions up at once."""
        self._is_member = False
        self._service.leave(self._name.group, self._member)
