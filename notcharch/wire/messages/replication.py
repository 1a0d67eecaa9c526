"""Messages between the replicas of partitions.

All group messages of one turn to one daemon travel in one `ReplicationNotice`.
They are arrays on the wire, because they are the bulk of the control traffic.
"""

import enum

import msgspec

from notcharch.values.identifiers import Epoch, LogOffset, Member, PartitionNumber
from notcharch.wire.messages.base import Message

NO_COMMAND = msgspec.Raw(b"null")
"""The command of an entry that changes no state."""


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members of a replica group; each change raises `version` by one."""

    version: int
    members: tuple[Member, ...]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a partition's command log; its position gives its index.

    `command` is an encoded Command, or null for an entry that only marks the
    start of an epoch or changes the configuration.
    """

    epoch: Epoch
    command: msgspec.Raw = NO_COMMAND
    configuration: Configuration | None = None


class GroupMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A message between two replicas of a partition, from a holder of `epoch`."""

    partition: PartitionNumber
    epoch: Epoch


class ArchivePosition(msgspec.Struct, frozen=True, array_like=True):
    """How far the partition's stream of the log service goes.

    Commands up to `index` are archived before the record at `offset`; a replay
    may begin at the record `snapshot_offset`.
    """

    index: int
    offset: LogOffset
    snapshot_offset: LogOffset


NOTHING_ARCHIVED = ArchivePosition(0, LogOffset(0), LogOffset(0))


class Append(GroupMessage, frozen=True, array_like=True, tag="A"):
    """The leader's entries after `previous_index`; none to tell only the rest.

    Entries up to `commit_index` are committed. Those up to `discard_index` need
    not be kept. `round_number` comes back in the answer, so that the leader can
    tell an answer given after some moment from an older one.
    """

    round_number: int
    previous_index: int
    previous_epoch: Epoch
    commit_index: int
    discard_index: int
    archived: ArchivePosition
    entries: tuple[Entry, ...] = ()


class AppendReply(GroupMessage, frozen=True, array_like=True, tag="a"):
    """`index` is the last entry known to match, or on refusal where to go on from.

    `needs_snapshot` says that the leader's log contradicts committed entries of
    an older lineage, so that only a snapshot helps.
    """

    round_number: int
    accepted: bool
    index: int
    needs_snapshot: bool = False


class VoteRequest(GroupMessage, frozen=True, array_like=True, tag="V"):
    """Ask for a vote in `epoch`; `prospective` only asks whether it would be given.

    `transfer` says that the leader itself asked for the election.
    """

    last_index: int
    last_epoch: Epoch
    prospective: bool
    transfer: bool


class VoteReply(GroupMessage, frozen=True, array_like=True, tag="v"):
    """The answer to a `VoteRequest`; `asked_epoch` is the epoch of the request."""

    asked_epoch: Epoch
    granted: bool
    prospective: bool


class TakeOver(GroupMessage, frozen=True, array_like=True, tag="T"):
    """The leader asks an up-to-date member to start an election at once.

    `leaving` holds the members of the group that are about to stop, as far as the
    leader knows: the heir may know of fewer, and must not hand on to one of them.
    """

    leaving: tuple[Member, ...] = ()


class SnapshotChunk(GroupMessage, frozen=True, array_like=True, tag="S"):
    """`data` at byte `offset` of the `total` bytes of the state after `index`."""

    round_number: int
    index: int
    index_epoch: Epoch
    configuration: Configuration
    archived: ArchivePosition
    offset: int
    total: int
    data: bytes


class SnapshotReply(GroupMessage, frozen=True, array_like=True, tag="s"):
    """The receiver has `received` bytes of the snapshot at `index`."""

    round_number: int
    index: int
    received: int


class Retire(GroupMessage, frozen=True, array_like=True, tag="R"):
    """The committed `configuration` has the receiver no more; it forgets its state.

    Reply: `AppendReply`.
    """

    round_number: int
    configuration: Configuration


AnyGroupMessage = (
    Append
    | AppendReply
    | VoteRequest
    | VoteReply
    | TakeOver
    | SnapshotChunk
    | SnapshotReply
    | Retire
)


class ReplicationNotice(Message, frozen=True):
    """All group messages of one turn to one daemon, in order."""

    messages: tuple[AnyGroupMessage, ...]


class Holding(enum.Enum):
    """What a daemon has of a partition."""

    NOTHING = "nothing"
    """It never voted for, held or acknowledged anything of the partition."""

    CLAIMING = "claiming"
    """Its claim is on the way to the log service."""

    STATE = "state"
    RETIRED = "retired"
    """A committed configuration removed it, and it forgot its state."""


class DescribeGroups(Message, frozen=True):
    """Ask what a daemon holds of partitions. Reply: `GroupDescriptions`."""

    partitions: tuple[PartitionNumber, ...]


class GroupDescription(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a daemon holds of one partition; `leader` is whom it follows.

    `leading` says that it leads with a majority behind it. `configuration` is
    then the committed one, else the newest that it knows.
    """

    partition: PartitionNumber
    holding: Holding
    epoch: Epoch = Epoch(0)
    last_index: int = 0
    last_epoch: Epoch = Epoch(0)
    configuration: Configuration | None = None
    leader: Member | None = None
    leading: bool = False


class GroupDescriptions(Message, frozen=True):
    """Only partitions of which the daemon holds something."""

    groups: tuple[GroupDescription, ...]
