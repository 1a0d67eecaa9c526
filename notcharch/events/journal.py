"""Events of the partitions that the log service deals out: 2500 to 2599."""

from typing import ClassVar

from notcharch.events.event import Event


class TakeoverFailed(Event, frozen=True):
    """A defect of this program ended a takeover; it is tried again soon."""

    number: ClassVar[int] = 2500
    partition: int
    epoch: int
    failure: str


class OwnersChanged(Event, frozen=True):
    """Another view of who owns the partitions is in force."""

    number: ClassVar[int] = 2501
    owners: dict[str, str]
    """Daemon by partition."""
    seconds_since_last: float


class EntryRefused(Event, frozen=True):
    """The log service does not take an entry of a partition; it is not written again."""

    number: ClassVar[int] = 2502
    topic: str
    partition: int
    epoch: int
    entry_bytes: int
    record_bytes: int
    """The refused record, a part of the entry; 0 if no record can hold any of it."""
