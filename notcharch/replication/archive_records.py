"""The records of a partition's stream in the log service.

Stream `partition-<region>-<n>`. Each record's `data` is JSON. A record counts
only if its epoch's generation is the one in force at its offset; see
`archive_replay`.
"""

import msgspec

from notcharch.values.identifiers import (
    Epoch,
    LogOffset,
    Member,
    PartitionNumber,
    RecordId,
    RegionName,
)
from notcharch.wire.messages.replication import Configuration, Entry


class ArchiveRecord(msgspec.Struct, frozen=True):
    """The base: `epoch` of the writer, and where a replay may begin."""

    epoch: Epoch
    snapshot_offset: LogOffset


class ClaimRecord(ArchiveRecord, frozen=True, tag="claim"):
    """A claim to found (or rebuild) the group with a configuration.

    `last_index` and `last_epoch` tell up to where the claimant holds the log.
    The first claim of a generation, in offset order, is the valid one.
    """

    claimant: Member
    configuration: Configuration
    last_index: int
    last_epoch: Epoch


class BatchRecord(ArchiveRecord, frozen=True, tag="batch"):
    """Committed entries from `first_index` on, without gaps."""

    first_index: int
    entries: tuple[Entry, ...]


class SnapshotRecord(ArchiveRecord, frozen=True, tag="snapshot"):
    """A part, from 0, of the state after the entry at `index`."""

    index: int
    index_epoch: Epoch
    configuration: Configuration
    part: int
    parts: int
    data: bytes


AnyArchiveRecord = ClaimRecord | BatchRecord | SnapshotRecord

_DECODER = msgspec.json.Decoder(AnyArchiveRecord)


def stream_of(region: RegionName, partition: PartitionNumber) -> str:
    """Give the name of a partition's stream."""
    return f"partition-{region}-{partition}"


def encode_record(record: AnyArchiveRecord) -> str:
    """Encode a record as the text that the log service keeps."""
    return msgspec.json.encode(record).decode()


def decode_record(data: str) -> AnyArchiveRecord | None:
    """Decode a record; None for anything else that got into the stream."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


def claim_id(record: ClaimRecord) -> RecordId:
    """Give a claim's id, which its repeats share."""
    claimant = record.claimant
    return RecordId(f"claim/{record.epoch}/{claimant.daemon}/{claimant.incarnation}")


def batch_id(record: BatchRecord) -> RecordId:
    """Give a batch's id, which its repeats share."""
    last_index = record.first_index + len(record.entries) - 1
    return RecordId(f"batch/{record.epoch}/{record.first_index}/{last_index}")


def snapshot_id(record: SnapshotRecord) -> RecordId:
    """Give the id of a snapshot's part, which its repeats share."""
    return RecordId(f"snapshot/{record.epoch}/{record.index}/{record.part}")
