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


class PartitionsKept(Event, frozen=True):
    """A daemon that stops keeps its partitions for its calls: no member asked stays."""

    number: ClassVar[int] = 2503
    group: str
    partitions: int
    asked_members: int
    """Other members that were asked, a few of those known; 0 if none is known."""


class PartitionsReleased(Event, frozen=True):
    """A daemon that stops hands its partitions over and leaves the group."""

    number: ClassVar[int] = 2504
    group: str
    partitions: int
    cause: str
    kept_seconds: float
    """Since the stop, or since it joined again."""


class GroupRejoined(Event, frozen=True):
    """A daemon that stops joined its group again: its calls run and no member was left."""

    number: ClassVar[int] = 2505
    group: str
    seconds_since_stop: float
