"""Events of the partitions of the region's state (numbers 300 to 399)."""

from typing import ClassVar

from notcharch.events.event import Event
from notcharch.values.identifiers import Epoch, PartitionNumber


class LeadershipTaken(Event, frozen=True):
    """This daemon leads a partition from now on, and has replayed its journal."""

    number: ClassVar[int] = 300
    partition: PartitionNumber
    epoch: Epoch
    records: int
    seconds: float


class LeadershipLost(Event, frozen=True):
    """This daemon does not lead a partition any more."""

    number: ClassVar[int] = 301
    partition: PartitionNumber
    epoch: Epoch
    cause: str


class CommandFailed(Event, frozen=True):
    """Applying a durable command raised an exception: a defect of the program."""

    number: ClassVar[int] = 303
    partition: PartitionNumber
    offset: int
    reason: str


class ListenerFailed(Event, frozen=True):
    """A listener to leadership raised an exception: a defect of the program."""

    number: ClassVar[int] = 304
    partition: PartitionNumber
    reason: str


class StateUnreadable(Event, frozen=True):
    """A journal has lost its oldest records and holds no snapshot that replaces them.

    The partition is not served: its state would be wrong. The log service dropped
    what was acknowledged.
    """

    number: ClassVar[int] = 313
    partition: PartitionNumber
    epoch: Epoch
    end: int
