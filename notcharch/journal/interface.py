"""The port to a platform's log service, with fenced appends, keyed topics and groups."""

from enum import Enum
from typing import Protocol

import msgspec
from result import Result
from twisted.internet.defer import Deferred


class LogFault(Enum):
    """Why the log service did not do what was asked."""

    NOT_DONE = "not done"
    """Certainly nothing was done: refused, throttled or not reached."""
    UNKNOWN = "unknown"
    """No answer: it may have been done, or may be done later."""
    FENCED = "fenced"
    """A higher epoch writes this partition."""
    OUT_OF_ORDER = "out of order"
    """The sequence number is not the one that follows."""
    MOVED_ON = "moved on"
    """The partition does not end where the append was to begin."""
    GONE = "gone"
    """The records asked for are no longer kept."""
    FULL = "full"
    """The log service keeps as much as it may."""
    REJECTED = "rejected"
    """The request is not one that the service takes."""


class LogProblem(msgspec.Struct, frozen=True):
    """A fault, with the offset that the service named, if any."""

    fault: LogFault
    offset: int = -1
    """First kept offset for GONE; end of the partition for MOVED_ON."""


class Appended(msgspec.Struct, frozen=True):
    """Where an append went."""

    offset: int
    end: int


class Producer(msgspec.Struct, frozen=True):
    """The identity under which a partition is written."""

    name: str
    epoch: int
    sequence: int


class Records(msgspec.Struct, frozen=True):
    """Records of a partition."""

    first: int
    """Offset of the first of `records`."""
    records: tuple[bytes, ...]
    end: int
    """The end of the partition."""


class KeyedRecord(msgspec.Struct, frozen=True):
    """The newest value of a key."""

    key: str
    value: bytes
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """A page of the newest values of a keyed topic."""

    items: tuple[KeyedRecord, ...]
    has_more: bool
    end: int


class LogPartition(msgspec.Struct, frozen=True, order=True):
    """One partition of a topic."""

    topic: str
    number: int


class Ownership(msgspec.Struct, frozen=True):
    """Who a partition is dealt to."""

    partition: LogPartition
    member: str


class GroupName(msgspec.Struct, frozen=True):
    """A group and the topics whose partitions it deals out."""

    group: str
    topics: tuple[str, ...]


class Membership(msgspec.Struct, frozen=True):
    """A member's part of a group."""

    generation: int
    partitions: tuple[LogPartition, ...]


class LogService(Protocol):
    """The calls to a log service. All answers are `Result`s; none raises."""

    def append(
        self,
        topic: str,
        partition: int,
        records: tuple[bytes, ...],
        producer: Producer | None = None,
    ) -> "Deferred[Result[Appended, LogProblem]]":
        """Append records, all or none."""

    def read(
        self, topic: str, partition: int, offset: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[Records, LogProblem]]":
        """Read records from an offset, waiting for the first if need be."""

    def trim(
        self, topic: str, partition: int, before: int
    ) -> "Deferred[Result[None, LogProblem]]":
        """Drop the records that lie before an offset."""

    def newest(
        self, topic: str, partition: int, after: str = ""
    ) -> "Deferred[Result[NewestPage, LogProblem]]":
        """Read a page of the newest value of each key."""

    def join(
        self,
        group: "GroupName",
        member: str,
        lease_seconds: float,
        generation: int,
    ) -> "Deferred[Result[Membership, LogProblem]]":
        """Join a group, or stay in it."""

    def leave(self, group: str, member: str) -> "Deferred[Result[None, LogProblem]]":
        """Leave a group."""

    def owners(
        self, group: str
    ) -> "Deferred[Result[tuple[Ownership, ...], LogProblem]]":
        """Tell who each partition is dealt to."""
