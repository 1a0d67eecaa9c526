"""Encoding of finished calls, the unit of a program's history.

Turns are encoded as MessagePack, which decodes faster than JSON: histories are read
far more often than written (see docs/design/programs.md). Tool calls stay raw JSON.
"""

from collections.abc import Iterable, Iterator
from itertools import chain

import msgspec

from notcharch.errors import Problem
from notcharch.values.chat import Answer, ChatMessage, FinishReason, TokenUsage
from notcharch.values.identifiers import AttemptNumber

LENGTH_PREFIX_BYTES = 4


class StoredMessage(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A `ChatMessage` with its tool calls as JSON bytes."""

    role: str
    content: str | None = None
    name: str | None = None
    tool_call_id: str | None = None
    tool_calls: bytes | None = None

    @classmethod
    def of(cls, message: ChatMessage) -> "StoredMessage":
        """Convert a message to its stored form."""
        raw = message.tool_calls
        return cls(
            message.role,
            message.content,
            message.name,
            message.tool_call_id,
            None if isinstance(raw, msgspec.UnsetType) else bytes(raw),
        )

    def message(self) -> ChatMessage:
        """Convert the stored form back to a message."""
        raw = self.tool_calls
        return ChatMessage(
            self.role,
            self.content,
            self.name,
            self.tool_call_id,
            msgspec.UNSET if raw is None else msgspec.Raw(raw),
        )


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The compact stored form of an `Answer`."""

    message: StoredMessage
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    finish_reason: FinishReason

    @classmethod
    def of(cls, answer: Answer) -> "StoredAnswer":
        """Convert an answer to its stored form."""
        usage = answer.usage
        return cls(
            StoredMessage.of(answer.message),
            usage.prompt_tokens,
            usage.completion_tokens,
            usage.cached_tokens,
            answer.finish_reason,
        )

    def answer(self) -> Answer:
        """Convert the stored form back to an answer."""
        usage = TokenUsage(
            self.prompt_tokens, self.completion_tokens, self.cached_tokens
        )
        return Answer(self.message.message(), usage, self.finish_reason)


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """One finished call; exactly one of `outcome` and `problem` is set.

    Only a turn with an answer has messages and adds them to the history.
    """

    digest: bytes
    attempt: AttemptNumber
    messages: tuple[StoredMessage, ...]
    outcome: StoredAnswer | None
    problem: Problem | None

    @property
    def answer(self) -> Answer | None:
        """The answer, or None if the call failed."""
        return None if self.outcome is None else self.outcome.answer()

    def history(self) -> Iterator[StoredMessage]:
        """Return the messages that the turn adds to the history."""
        if self.outcome is None:
            return iter(())
        return chain(self.messages, (self.outcome.message,))


class EncodedTurn(msgspec.Struct, frozen=True, array_like=True):
    """A `Turn` with its messages already encoded; encodes to the same bytes."""

    digest: bytes
    attempt: AttemptNumber
    messages: msgspec.Raw
    outcome: StoredAnswer | None
    problem: Problem | None

    def framed(self) -> bytes:
        """Encode the turn with a length prefix."""
        encoded = _encoder.encode(self)
        return len(encoded).to_bytes(LENGTH_PREFIX_BYTES, "big") + encoded


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Turn)
_messages_decoder = msgspec.msgpack.Decoder(tuple[StoredMessage, ...])

NO_MESSAGES = _encoder.encode(())
"""Encoded messages of a turn that adds nothing to the history."""


def encode_messages(messages: Iterable[ChatMessage]) -> bytes:
    """Encode the new messages of a call for an `EncodedTurn`."""
    return _encoder.encode([StoredMessage.of(message) for message in messages])


def count_messages(encoded: bytes) -> int:
    """Return the number of messages in the result of `encode_messages`."""
    return len(_messages_decoder.decode(encoded))


def decode_turns(framed: bytes) -> Iterator[Turn]:
    """Decode consecutive turns that have length prefixes."""
    for encoded in _frames(framed):
        yield _decoder.decode(encoded)


def decode_nth_turn(framed: bytes, index: int) -> Turn:
    """Decode turn `index` (0-based); raise LookupError if there are fewer."""
    for position, encoded in enumerate(_frames(framed)):
        if position == index:
            return _decoder.decode(encoded)
    message = f"there is no turn {index}"
    raise LookupError(message)


def _frames(framed: bytes) -> Iterator[memoryview]:
    view = memoryview(framed)
    position = 0
    while position < len(view):
        begin = position + LENGTH_PREFIX_BYTES
        position = begin + int.from_bytes(view[begin - LENGTH_PREFIX_BYTES : begin])
        yield view[begin:position]
