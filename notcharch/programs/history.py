"""A program's history: committed turns as compact bytes.

A turn is one finished call: its new messages and its outcome, as JSON (JSON, since
`ChatMessage.tool_calls` is raw JSON). Recent turns lie in a plain tail; when the
tail grows past `SEALED_CHUNK_BYTES` it is compressed into a chunk. The rule depends
only on the turns, so that all replicas hold the same chunks.
"""

import zlib
from collections.abc import Iterator

import msgspec

from notcharch.errors import Problem
from notcharch.values.chat import Answer, ChatMessage
from notcharch.values.identifiers import AttemptNumber, CallSequence

SEALED_CHUNK_BYTES = 32 * 1024
"""The size of the tail at which it is compressed, bytes."""

COMPRESSION_LEVEL = 1
LENGTH_PREFIX_BYTES = 4


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """One finished call; exactly one of `answer` and `problem` is given.

    Only a turn with an answer adds to the messages of the history.
    """

    digest: bytes
    attempt: AttemptNumber
    messages: tuple[ChatMessage, ...]
    answer: Answer | None
    problem: Problem | None

    def history_messages(self) -> tuple[ChatMessage, ...]:
        """Give the messages that this turn adds to the history."""
        if self.answer is None:
            return ()
        return (*self.messages, self.answer.message)


class EncodedTurn(msgspec.Struct, frozen=True, array_like=True):
    """A `Turn` whose messages are already JSON; it encodes to the same bytes."""

    digest: bytes
    attempt: AttemptNumber
    messages: msgspec.Raw
    answer: Answer | None
    problem: Problem | None


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """A compressed run of turns; the counts let a reader skip it."""

    turn_count: int
    message_count: int
    data: bytes


_turn_encoder = msgspec.json.Encoder()
_turn_decoder = msgspec.json.Decoder(Turn)


class History(msgspec.Struct, array_like=True):
    """All turns of one program, oldest first, sequence 1 first."""

    chunks: list[Chunk] = msgspec.field(default_factory=list)
    tail: bytes = b""
    tail_turn_count: int = 0
    tail_message_count: int = 0

    def append(self, turn: EncodedTurn, message_count: int) -> None:
        """Add a turn that adds `message_count` messages to the history."""
        encoded = _turn_encoder.encode(turn)
        prefix = len(encoded).to_bytes(LENGTH_PREFIX_BYTES, "big")
        self.tail = b"".join((self.tail, prefix, encoded))
        self.tail_turn_count += 1
        self.tail_message_count += message_count
        if len(self.tail) >= SEALED_CHUNK_BYTES:
            self._seal_tail()

    def _seal_tail(self) -> None:
        data = zlib.compress(self.tail, COMPRESSION_LEVEL)
        chunk = Chunk(self.tail_turn_count, self.tail_message_count, data)
        self.chunks.append(chunk)
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
        """Give the turn of a finished call."""
        index = sequence - 1
        for chunk in self.chunks:
            if index < chunk.turn_count:
                return _nth_turn(zlib.decompress(chunk.data), index)
            index -= chunk.turn_count
        return _nth_turn(self.tail, index)

    def messages(self, start: int, limit: int) -> tuple[ChatMessage, ...]:
        """Give up to `limit` messages from message `start` (0-based) on."""
        skip = start
        found: list[ChatMessage] = []
        for count, data, sealed in self._parts():
            if skip >= count:
                skip -= count
                continue
            plain = zlib.decompress(data) if sealed else data
            found.extend(_messages_of(plain)[skip : skip + limit - len(found)])
            skip = 0
            if len(found) >= limit:
                break
        return tuple(found)

    def _parts(self) -> Iterator[tuple[int, bytes, bool]]:
        for chunk in self.chunks:
            yield chunk.message_count, chunk.data, True
        yield self.tail_message_count, self.tail, False


def _encoded_turns(data: bytes) -> Iterator[memoryview]:
    view = memoryview(data)
    position = 0
    while position < len(view):
        begin = position + LENGTH_PREFIX_BYTES
        position = begin + int.from_bytes(view[begin - LENGTH_PREFIX_BYTES : begin])
        yield view[begin:position]


def _nth_turn(data: bytes, index: int) -> Turn:
    for position, encoded in enumerate(_encoded_turns(data)):
        if position == index:
            return _turn_decoder.decode(encoded)
    message = f"the history holds no turn {index}"
    raise LookupError(message)


def _messages_of(data: bytes) -> list[ChatMessage]:
    found: list[ChatMessage] = []
    for encoded in _encoded_turns(data):
        found.extend(_turn_decoder.decode(encoded).history_messages())
    return found
