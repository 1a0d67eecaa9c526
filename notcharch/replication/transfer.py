"""Transfer of a partition's whole state in chunks."""

import msgspec

from notcharch.values.identifiers import Epoch, PartitionNumber
from notcharch.wire.messages.replication import (
    ArchivePosition,
    Configuration,
    SnapshotChunk,
)

CHUNK_BYTES = 128 * 1024


class Snapshot(msgspec.Struct, frozen=True):
    """The state after the entry at `index`, with the configuration there."""

    index: int
    epoch: Epoch
    configuration: Configuration
    archived: ArchivePosition
    data: bytes


class SnapshotSender:
    """Sends one snapshot, chunk by chunk, at the pace of the answers."""

    def __init__(self, snapshot: Snapshot) -> None:
        """Begin at the first byte."""
        self.snapshot = snapshot
        self.received = 0

    def chunk(
        self, partition: PartitionNumber, epoch: Epoch, round_number: int
    ) -> SnapshotChunk:
        """Give the chunk after what was received."""
        snapshot = self.snapshot
        return SnapshotChunk(
            partition,
            epoch,
            round_number,
            snapshot.index,
            snapshot.epoch,
            snapshot.configuration,
            snapshot.archived,
            self.received,
            len(snapshot.data),
            snapshot.data[self.received : self.received + CHUNK_BYTES],
        )


class SnapshotReceiver:
    """Puts one snapshot together; chunks come in order or not at all."""

    def __init__(self, first: SnapshotChunk) -> None:
        """Begin to receive the snapshot that a chunk belongs to."""
        self._identity = (first.epoch, first.index, first.index_epoch, first.total)
        self._data = bytearray()

    @property
    def received(self) -> int:
        """The number of bytes held."""
        return len(self._data)

    def belongs(self, chunk: SnapshotChunk) -> bool:
        """Tell whether a chunk is of the same snapshot of the same leader."""
        identity = (chunk.epoch, chunk.index, chunk.index_epoch, chunk.total)
        return identity == self._identity

    def take(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk if it is the next one; give the snapshot when it is whole."""
        if chunk.offset == len(self._data):
            self._data += chunk.data
        if len(self._data) < chunk.total:
            return None
        return Snapshot(
            chunk.index,
            chunk.index_epoch,
            chunk.configuration,
            chunk.archived,
            bytes(self._data),
        )
