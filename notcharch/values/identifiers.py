"""Names and numbers that identify things, as distinct types.

Every identifier that crosses a module boundary has a type of its own, so that
mypy refuses an engine's name where a daemon's is meant.
"""

from typing import NewType

import msgspec

DaemonName = NewType("DaemonName", str)
"""The name of a daemon, unique in its region; a restarted daemon keeps it."""

RegionName = NewType("RegionName", str)
ZoneName = NewType("ZoneName", str)
EngineName = NewType("EngineName", str)
"""The name of a model engine or application engine in the machine list."""

PoolName = NewType("PoolName", str)
"""The model or application that a group of interchangeable engines serves."""

ServiceName = NewType("ServiceName", str)
"""The key of a row of the table."""

TenantName = NewType("TenantName", str)
ProgramId = NewType("ProgramId", str)
"""`<region>-<partition>-<random>`; see `notcharch.placement.partitions`."""

PartitionNumber = NewType("PartitionNumber", int)
"""The number of a partition of programs, 0 … partition_count - 1 in a region."""

Epoch = NewType("Epoch", int)
"""A fencing number: whoever has seen a higher one refuses a lower one."""

CallSequence = NewType("CallSequence", int)
"""The position of a call in its program, from 1."""

AttemptNumber = NewType("AttemptNumber", int)
"""The number of a try at one call, from 1."""

RequestId = NewType("RequestId", str)
"""A caller-chosen or random id that makes a repeated request recognisable."""

GrantId = NewType("GrantId", str)
"""A steward's permission to open one stream on one engine."""

RecordId = NewType("RecordId", str)
"""The unique id of a record of the log service, chosen by its writer."""

LogOffset = NewType("LogOffset", int)
TableVersion = NewType("TableVersion", int)
"""The log offset of the accepted publication plus 1; 0 before the first one."""

Incarnation = NewType("Incarnation", int)
"""The start of a daemon process, milliseconds since 1970; grows with each start."""


class Member(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One process of a daemon.

    A restarted daemon has lost its memory and is a different member.
    """

    daemon: DaemonName
    incarnation: Incarnation
