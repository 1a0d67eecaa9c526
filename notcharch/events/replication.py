"""Events of the replica groups and their archive (numbers 300 to 399)."""

from typing import ClassVar

from notcharch.events.event import Event
from notcharch.values.identifiers import Epoch, Member, PartitionNumber


class LeadershipTaken(Event, frozen=True):
    """This daemon leads a partition from now on."""

    number: ClassVar[int] = 300
    partition: PartitionNumber
    epoch: Epoch


class LeadershipLost(Event, frozen=True):
    """This daemon does not lead a partition any more."""

    number: ClassVar[int] = 301
    partition: PartitionNumber
    epoch: Epoch


class GroupChanged(Event, frozen=True):
    """A configuration of a partition was committed."""

    number: ClassVar[int] = 302
    partition: PartitionNumber
    version: int
    members: tuple[Member, ...]


class CommandFailed(Event, frozen=True):
    """Applying a committed command raised an exception: a defect of the program."""

    number: ClassVar[int] = 303
    partition: PartitionNumber
    index: int
    reason: str


class ListenerFailed(Event, frozen=True):
    """A listener to leadership raised an exception: a defect of the program."""

    number: ClassVar[int] = 304
    partition: PartitionNumber
    reason: str


class GroupClaimed(Event, frozen=True):
    """This daemon won the claim that founds or rebuilds a partition's group."""

    number: ClassVar[int] = 305
    partition: PartitionNumber
    epoch: Epoch
    members: tuple[Member, ...]


class CommittedCommandsInDoubt(Event, frozen=True):
    """A group was rebuilt after it had lost the majority for good.

    Held are the commands up to `held_index`, of `held_epoch`; the last one was
    proposed at `held_until`, seconds since 1970 (None: no command is known). A
    command that was acknowledged later and is not among them is lost.
    """

    number: ClassVar[int] = 306
    partition: PartitionNumber
    epoch: Epoch
    held_index: int
    held_epoch: Epoch
    held_until: float | None
    from_archive: bool


class GroupSuperseded(Event, frozen=True):
    """This daemon dropped its state of a group that had gone on without it.

    If the group was rebuilt meanwhile, entries behind `archived_index` that were
    committed here may be lost.
    """

    number: ClassVar[int] = 307
    partition: PartitionNumber
    epoch: Epoch
    archived_index: int
    committed_index: int


class ArchiveDelayed(Event, frozen=True):
    """The log service fails; calls go on and the backlog waits in memory."""

    number: ClassVar[int] = 308
    reason: str
    backlog_bytes: int


class ArchiveResumed(Event, frozen=True):
    """The log service works again after so many seconds."""

    number: ClassVar[int] = 309
    seconds: float
    backlog_bytes: int


class ArchiveBacklogDropped(Event, frozen=True):
    """The backlog reached its bound, so a partition's commands were dropped from it.

    The replicas still hold the state; a snapshot is archived when the log
    service works again.
    """

    number: ClassVar[int] = 310
    partition: PartitionNumber
    dropped_bytes: int


class GroupRebuiltElsewhere(Event, frozen=True):
    """Another daemon rebuilt the group that this one led, while it was cut off.

    `lost_entries` entries behind `archived_index` were committed here and are
    in no archive: what was acknowledged by them cannot be promised any more.
    """

    number: ClassVar[int] = 311
    partition: PartitionNumber
    epoch: Epoch
    archived_index: int
    lost_entries: int


class ReplicationTaskFailed(Event, frozen=True):
    """A background task raised an exception: a defect of the program."""

    number: ClassVar[int] = 312
    task: str
    reason: str
