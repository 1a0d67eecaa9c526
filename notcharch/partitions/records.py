"""Records of a partition's journal: commands, and snapshots split into parts."""

import msgspec

from notcharch.journal.partition_journal import decode_entry
from notcharch.partitions.interface import Command
from notcharch.values.identifiers import Epoch

PART_BYTES = 128 * 1024
"""Size of a snapshot part; the log service limits the size of a record."""


class Record(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """Base class of journal records."""


class CommandRecord(Record, frozen=True, tag="command"):
    """A command and the epoch of the leader that proposed it."""

    epoch: Epoch
    command: bytes
    """JSON, tagged with the class name."""


class SnapshotPart(Record, frozen=True, tag="snapshot"):
    """A part of a snapshot; the parts of a snapshot are consecutive records."""

    covers_to: int
    """The snapshot includes exactly the commands before this offset."""
    number: int
    """Index of the part, from 0."""
    count: int
    written_at: float
    """Time of the snapshot, in seconds since 1970."""
    data: bytes


AnyRecord = CommandRecord | SnapshotPart

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyRecord)


def encode_record(record: AnyRecord) -> bytes:
    """Encode a record as MessagePack."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> AnyRecord:
    """Decode a record; raises `UnreadableEntryError` if it can't be read."""
    return decode_entry(_DECODER, data)


def snapshot_parts(
    snapshot: bytes, covers_to: int, written_at: float
) -> list[SnapshotPart]:
    """Split a snapshot into one or more parts."""
    starts = range(0, max(len(snapshot), 1), PART_BYTES)
    return [
        SnapshotPart(
            covers_to,
            number,
            len(starts),
            written_at,
            snapshot[start : start + PART_BYTES],
        )
        for number, start in enumerate(starts)
    ]


class CommandCodec:
    """Encodes commands of a fixed set of types as JSON, tagged with the class name."""

    def __init__(self, command_types: tuple[type[Command], ...]) -> None:
        """Build a decoder for the union of the types."""
        self._encoder = msgspec.json.Encoder()
        self._decoder = _decoder_of(command_types)

    def encode(self, command: Command) -> bytes:
        """Encode a command for the journal."""
        return self._encoder.encode(command)

    def decode(self, encoded: bytes) -> Command:
        """Decode a command; raises `msgspec.ValidationError` if its type is unknown."""
        return self._decoder.decode(encoded)


def _decoder_of(
    command_types: tuple[type[Command], ...],
) -> "msgspec.json.Decoder[Command]":
    union: object = command_types[0]
    for command_type in command_types[1:]:
        union = union | command_type
    return msgspec.json.Decoder(union)
