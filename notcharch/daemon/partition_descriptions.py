"""Descriptions of the partitions that a daemon leads, for the operators' API."""

from notcharch.daemon.state_access import StateAccess
from notcharch.partitions.service import PartitionService, PartitionStatus
from notcharch.services.allotments import AllotmentsState
from notcharch.wire.messages.administration import PartitionDescription


def describe_partitions(
    partitions: PartitionService, access: StateAccess
) -> tuple[PartitionDescription, ...]:
    """Return a description of every partition that this daemon leads."""
    return tuple(_describe(status, access) for status in partitions.status())


def _describe(status: PartitionStatus, access: StateAccess) -> PartitionDescription:
    programs = access.programs(status.partition)
    allotments = access.allotments(status.partition)
    return PartitionDescription(
        partition=status.partition,
        epoch=status.epoch,
        applied=status.end,
        snapshot=status.snapshot_covers_to,
        waiting=status.waiting,
        programs=0 if programs is None else len(programs.programs()),
        queued_calls=0 if programs is None else len(programs.running_programs()),
        reserved_tokens=0 if programs is None else programs.reserved_tokens(),
        leases=0 if allotments is None else _lease_count(allotments),
    )


def _lease_count(allotments: AllotmentsState) -> int:
    return sum(len(allotments.leases(name)) for name in allotments.services())
