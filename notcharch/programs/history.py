"""A program's history: its turns as compact bytes.

Recent turns lie in a plain tail; when the tail reaches `SEALED_CHUNK_BYTES` it is
compressed into a chunk, so that each byte is compressed once. The rule depends only
on the turns, so that all replicas hold the same chunks.
"""

import zlib
from collections.abc import Iterator

import msgspec

from notcharch.programs.turns import (
    EncodedTurn,
    StoredMessage,
    Turn,
    decode_nth_turn,
    decode_turns,
)
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import CallSequence

SEALED_CHUNK_BYTES = 8 * 1024
"""The size of the tail at which it is compressed, bytes."""

COMPRESSION_LEVEL = 1


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """A compressed run of turns; the counts let a reader skip it."""

    turn_count: int
    message_count: int
    data: bytes


class History(msgspec.Struct, array_like=True):
    """All turns of one program, oldest first, sequence 1 first."""

    chunks: tuple[Chunk, ...] = ()
    tail: bytes = b""
    tail_turn_count: int = 0
    tail_message_count: int = 0

    def append(self, turn: EncodedTurn, message_count: int) -> None:
        """Add a turn that adds `message_count` messages to the history."""
        self.tail += turn.framed()
        self.tail_turn_count += 1
        self.tail_message_count += message_count
        if len(self.tail) >= SEALED_CHUNK_BYTES:
            self._seal_tail()

    def _seal_tail(self) -> None:
        data = zlib.compress(self.tail, COMPRESSION_LEVEL)
        chunk = Chunk(self.tail_turn_count, self.tail_message_count, data)
        self.chunks = (*self.chunks, chunk)
        self.tail = b""
        self.tail_turn_count = 0
        self.tail_message_count = 0

    @property
    def message_count(self) -> int:
        """Give the number of messages in the whole history."""
        sealed = sum(chunk.message_count for chunk in self.chunks)
        return sealed + self.tail_message_count

    @property
    def stored_bytes(self) -> int:
        """Give the bytes that the chunks and the tail take."""
        return sum(len(chunk.data) for chunk in self.chunks) + len(self.tail)

    def turn(self, sequence: CallSequence) -> Turn:
        """Give the turn of a finished call; LookupError if it is not finished."""
        index = sequence - 1
        for chunk in self.chunks:
            if index < chunk.turn_count:
                return decode_nth_turn(zlib.decompress(chunk.data), index)
            index -= chunk.turn_count
        return decode_nth_turn(self.tail, index)

    def messages(self, start: int, limit: int) -> tuple[ChatMessage, ...]:
        """Give up to `limit` messages from message `start` (0-based) on."""
        skip = start
        found: list[ChatMessage] = []
        for count, data, sealed in self._parts():
            if skip >= count:
                skip -= count
                continue
            plain = zlib.decompress(data) if sealed else data
            wanted = _messages_of(plain)[skip : skip + limit - len(found)]
            found.extend(message.message() for message in wanted)
            skip = 0
            if len(found) >= limit:
                break
        return tuple(found)

    def _parts(self) -> Iterator[tuple[int, bytes, bool]]:
        for chunk in self.chunks:
            yield chunk.message_count, chunk.data, True
        yield self.tail_message_count, self.tail, False


def _messages_of(framed: bytes) -> list[StoredMessage]:
    return [message for turn in decode_turns(framed) for message in turn.history()]
