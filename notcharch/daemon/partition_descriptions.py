"""Describes the partitions that a daemon leads, for the operators' interface."""

from notcharch.daemon.state_access import StateAccess
from notcharch.replication.service import ReplicationService
from notcharch.replication.status import PartitionStatus
from notcharch.services.allotments import AllotmentsState
from notcharch.wire.messages.administration import PartitionDescription


def describe_partitions(
    replicas: ReplicationService, access: StateAccess
) -> tuple[PartitionDescription, ...]:
    """Give every led partition with its backlog and its programs."""
    return tuple(_describe(status, access) for status in replicas.status().led)


def _describe(status: PartitionStatus, access: StateAccess) -> PartitionDescription:
    programs = access.programs(status.partition)
    allotments = access.allotments(status.partition)
    return PartitionDescription(
        partition=status.partition,
        is_leader=True,
        epoch=status.epoch,
        applied=status.commit_index,
        archived=status.archived_index,
        archive_backlog_bytes=status.backlog_bytes,
        programs=0 if programs is None else len(programs.programs()),
        queued_calls=0 if programs is None else len(programs.running_programs()),
        reserved_tokens=0 if programs is None else programs.reserved_tokens(),
        leases=0 if allotments is None else _lease_count(allotments),
    )


def _lease_count(allotments: AllotmentsState) -> int:
    return sum(len(allotments.leases(name)) for name in allotments.services())
