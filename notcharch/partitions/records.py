"""What the journal of a partition holds: commands, and snapshots in parts."""

import msgspec

from notcharch.partitions.interface import Command
from notcharch.values.identifiers import Epoch

PART_BYTES = 128 * 1024
"""A log service takes records up to some size, so a snapshot is written in parts."""


class Record(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """The base of the journal's records."""


class CommandRecord(Record, frozen=True, tag="command"):
    """One command, as its leader applied it."""

    epoch: Epoch
    command: bytes
    """JSON, tagged by its class."""


class SnapshotPart(Record, frozen=True, tag="snapshot"):
    """A part of a snapshot; its parts follow one another."""

    covers_to: int
    """The state holds the commands before this offset, and none from it on."""
    number: int
    """From 0."""
    count: int
    written_at: float
    """Seconds since 1970."""
    data: bytes


AnyRecord = CommandRecord | SnapshotPart

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyRecord)


def encode_record(record: AnyRecord) -> bytes:
    """Write a record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> AnyRecord:
    """Read a record; raises `msgspec.DecodeError` for a kind not known here."""
    return _DECODER.decode(data)


def snapshot_parts(
    snapshot: bytes, covers_to: int, written_at: float
) -> list[SnapshotPart]:
    """Divide a snapshot; there is one part at least."""
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
    """Encodes commands of a fixed set of types as JSON, tagged by class name."""

    def __init__(self, command_types: tuple[type[Command], ...]) -> None:
        """Build the decoder of the union of the types."""
        self._encoder = msgspec.json.Encoder()
        self._decoder = _decoder_of(command_types)

    def encode(self, command: Command) -> bytes:
        """Encode a command, as it is journalled."""
        return self._encoder.encode(command)

    def decode(self, encoded: bytes) -> Command:
        """Decode a command; raises msgspec.ValidationError on an unknown one."""
        return self._decoder.decode(encoded)


def _decoder_of(
    command_types: tuple[type[Command], ...],
) -> "msgspec.json.Decoder[Command]":
    union: object = command_types[0]
    for command_type in command_types[1:]:
        union = union | command_type
    return msgspec.json.Decoder(union)
