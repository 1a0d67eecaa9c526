"""What the administration interface shows of replication."""

import msgspec

from notcharch.events.replication import (
    CommittedCommandsInDoubt,
    GroupRebuiltElsewhere,
)
from notcharch.replication.archiver import Archiver
from notcharch.replication.host import GroupHost
from notcharch.values.identifiers import Epoch, Member, PartitionNumber


class PartitionStatus(msgspec.Struct, frozen=True):
    """A led partition. Indexes count entries; sizes are bytes."""

    partition: PartitionNumber
    epoch: Epoch
    configuration_version: int
    members: tuple[Member, ...]
    commit_index: int
    archived_index: int
    backlog_bytes: int


class ReplicationStatus(msgspec.Struct, frozen=True):
    """Replication on one daemon.

    `in_doubt` and `rebuilt_elsewhere` say which acknowledged commands cannot be
    promised any more, after the loss of a majority.
    """

    led: tuple[PartitionStatus, ...]
    replicated: int
    backlog_bytes: int
    archive_failing_seconds: float | None
    in_doubt: tuple[CommittedCommandsInDoubt, ...]
    rebuilt_elsewhere: tuple[GroupRebuiltElsewhere, ...]


def status_of(host: GroupHost, archiver: Archiver, now: float) -> ReplicationStatus:
    """Read the status of a daemon."""
    led = [_partition_status(host, partition) for partition in host.led_partitions()]
    failing_since = archiver.failing_since
    return ReplicationStatus(
        tuple(status for status in led if status is not None),
        sum(group.holds_state for group in host.groups()),
        archiver.backlog_bytes(),
        None if failing_since is None else now - failing_since,
        tuple(host.doubts.values()),
        tuple(host.losses.values()),
    )


def _partition_status(
    host: GroupHost, partition: PartitionNumber
) -> PartitionStatus | None:
    group = host.group(partition)
    if group is None:
        return None
    replica = group.replica
    configuration = replica.log.configuration
    return PartitionStatus(
        partition,
        replica.epoch,
        configuration.version,
        configuration.members,
        replica.commit_index,
        replica.archived.index,
        group.backlog_bytes,
    )
