"""Port to a platform's log service: fenced appends, keyed topics and groups."""

from enum import Enum
from typing import Protocol

import msgspec
from result import Result
from twisted.internet.defer import Deferred


class LogFault(Enum):
    """Why a request to the log service failed."""

    NOT_DONE = "not done"
    """The request had no effect: refused, throttled or not delivered."""
    UNKNOWN = "unknown"
    """No response: the request may have taken effect, or may take effect later."""
    FAILED = "failed"
    """The service closed the connection, or reported an error of its own, which may stand
    for a refusal: the request may have taken effect."""
    UNREADABLE = "unreadable"
    """The response can't be read: the request may have taken effect."""
    FENCED = "fenced"
    """A higher epoch writes the partition."""
    OUT_OF_ORDER = "out of order"
    """The sequence number is not the next one."""
    MOVED_ON = "moved on"
    """The end of the partition is not the expected offset of the append."""
    GONE = "gone"
    """The requested records are no longer stored."""
    FULL = "full"
    """The log service has reached its storage limit."""
    REJECTED = "rejected"
    """The request had no effect and never will, such as one that is too large."""


UNCERTAIN_FAULTS = (LogFault.UNKNOWN, LogFault.FAILED, LogFault.UNREADABLE)
"""Faults after which the request may have taken effect, or may take effect later."""


class LogProblem(msgspec.Struct, frozen=True):
    """A failed request, with the offset that the service returned, if any."""

    fault: LogFault
    offset: int = -1
    """First stored offset for GONE; end of the partition for MOVED_ON."""


class LogLimits(msgspec.Struct, frozen=True):
    """The largest records and calls that a log service takes, in bytes."""

    record_bytes: int = 256 * 1024
    call_bytes: int = 2 * 1024 * 1024
    """Of all records of an append, with `framing_bytes` for each."""
    framing_bytes: int = 4
    """Added to each record of a call."""

    @property
    def max_record_bytes(self) -> int:
        """The largest record that fits into a call."""
        return min(self.record_bytes, self.call_bytes - self.framing_bytes)

    def call_size(self, record_size: int) -> int:
        """Return how many bytes of a call a record uses."""
        return record_size + self.framing_bytes


class Appended(msgspec.Struct, frozen=True):
    """Offset of an append, and the end of the partition after it."""

    offset: int
    end: int


class Producer(msgspec.Struct, frozen=True):
    """Identity and sequence number of a writer, for fencing and deduplication."""

    name: str
    epoch: int
    sequence: int


class Records(msgspec.Struct, frozen=True):
    """Consecutive records of a partition."""

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
    unreadable_keys: tuple[str, ...] = ()
    """Keys of the page whose values can't be read."""


class LogPartition(msgspec.Struct, frozen=True, order=True):
    """One partition of a topic."""

    topic: str
    number: int


class Ownership(msgspec.Struct, frozen=True):
    """The member that a partition is assigned to."""

    partition: LogPartition
    member: str


class GroupName(msgspec.Struct, frozen=True):
    """A group, and the topics whose partitions it assigns."""

    group: str
    topics: tuple[str, ...]


class Membership(msgspec.Struct, frozen=True):
    """The partitions that are assigned to a member in a generation of the group."""

    generation: int
    partitions: tuple[LogPartition, ...]
    is_whole: bool = True
    """False if some of the partitions can't be read."""


class LogService(Protocol):
    """The operations of a log service; they return a `Result` and never raise."""

    @property
    def limits(self) -> LogLimits:
        """The largest records and calls that the service takes."""

    def append(
        self,
        topic: str,
        partition: int,
        records: tuple[bytes, ...],
        producer: Producer | None = None,
    ) -> "Deferred[Result[Appended, LogProblem]]":
        """Append records atomically."""

    def read(
        self, topic: str, partition: int, offset: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[Records, LogProblem]]":
        """Read records from an offset; wait up to `wait_seconds` if there is none."""

    def trim(
        self, topic: str, partition: int, before: int
    ) -> "Deferred[Result[None, LogProblem]]":
        """Delete the records before an offset."""

    def newest(
        self, topic: str, partition: int, after: str = ""
    ) -> "Deferred[Result[NewestPage, LogProblem]]":
        """Read a page of the newest values of a keyed topic, after a key."""

    def join(
        self,
        group: "GroupName",
        member: str,
        lease_seconds: float,
        generation: int,
    ) -> "Deferred[Result[Membership, LogProblem]]":
        """Join a group or renew the membership."""

    def leave(self, group: str, member: str) -> "Deferred[Result[None, LogProblem]]":
        """Leave a group."""

    def owners(
        self, group: str
    ) -> "Deferred[Result[tuple[Ownership, ...], LogProblem]]":
        """Return the member that each partition is assigned to."""
