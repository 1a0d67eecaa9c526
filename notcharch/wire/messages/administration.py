"""Requests of the operators' interface to every daemon."""

import msgspec

from notcharch.values.identifiers import (
    Epoch,
    Member,
    PartitionNumber,
    TableVersion,
    ZoneName,
)
from notcharch.wire.messages.base import Message


class DescribeDaemon(Message, frozen=True):
    """Ask a daemon about itself. Reply: `DaemonDescription`.

    With `partitions` it lists those that it leads, too.
    """

    partitions: bool = False


class PartitionDescription(msgspec.Struct, frozen=True):
    """A partition, as the daemon that leads it sees it.

    `applied` and `snapshot` are positions in its journal: the end of what is applied,
    and how far the newest snapshot reaches. `waiting` commands are not durable yet.
    `reserved_tokens` are budgets that running calls hold.
    """

    partition: PartitionNumber
    epoch: Epoch
    applied: int
    snapshot: int
    waiting: int
    programs: int
    queued_calls: int
    reserved_tokens: int
    leases: int


class DaemonDescription(Message, frozen=True):
    """A daemon as it describes itself; ages in seconds.

    `state` is `live`, `draining` or `starting`. `log_age_seconds` tells how long
    ago the table's stream was read to its end, None if never.
    """

    member: Member
    zone: ZoneName
    state: str
    uptime_seconds: float
    running_calls: int
    table_version: TableVersion
    table_source: str
    table_in_force_seconds: float
    log_age_seconds: float | None
    partitions: tuple[PartitionDescription, ...] = ()


class DrainDaemon(Message, frozen=True):
    """Stop (or resume) giving a daemon new work. Reply: `DrainStarted`."""

    drain: bool


class DrainStarted(Message, frozen=True):
    """The daemon has begun, or ended, its drain."""

    running_calls: int
