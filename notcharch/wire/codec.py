"""The JSON form of messages and of the envelopes that carry them.

A frame is one JSON array, framed as a netstring by the connection:
`["request", id, message]`, `["reply", id, message]`, `["notice", message]`, and
the connection's own `hello`, `goodbye`, `ping` and `pong`. A message is a JSON
object whose `type` names its class. The sender is told once, in the hello.
"""

import importlib
import pkgutil
from collections.abc import Iterator
from functools import lru_cache
from typing import Union

import msgspec
from result import Err, Ok, Result

import notcharch.wire.messages as messages_package
from notcharch.errors import Problem, ProblemCode
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.identifiers import DaemonName, Member, RegionName
from notcharch.wire.messages.base import Message

PROTOCOL_VERSION = 1
"""Raised when an older daemon could no longer understand the envelopes."""

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
"""The largest frame; a history of 850,000 tokens is about 4 MB."""


class Envelope(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """The base of everything that a connection carries."""


class Hello(Envelope, frozen=True, tag="hello"):
    """The first envelope in either direction: who speaks, and to whom."""

    version: int
    region: RegionName
    sender: Member
    receiver: DaemonName


class Goodbye(Envelope, frozen=True, tag="goodbye"):
    """The sender starts no more requests on this connection.

    The receiver closes it when nothing is open on it in either direction.
    """


class Ping(Envelope, frozen=True, tag="ping"):
    """Asks whether the connection still carries bytes both ways."""


class Pong(Envelope, frozen=True, tag="pong"):
    """The answer to a `Ping`."""


class RequestEnvelope(Envelope, frozen=True, tag="request"):
    """A message that awaits one reply with the same id."""

    request_id: int
    message: msgspec.Raw


class ReplyEnvelope(Envelope, frozen=True, tag="reply"):
    """The reply to the request of that id on the same connection."""

    request_id: int
    message: msgspec.Raw


class NoticeEnvelope(Envelope, frozen=True, tag="notice"):
    """A one-way message."""

    message: msgspec.Raw


AnyEnvelope = (
    Hello | Goodbye | Ping | Pong | RequestEnvelope | ReplyEnvelope | NoticeEnvelope
)


def collect_message_types() -> tuple[type[Message], ...]:
    """Give every message class of the modules under `notcharch.wire.messages`."""
    prefix = f"{messages_package.__name__}."
    for module_info in pkgutil.iter_modules(messages_package.__path__):
        importlib.import_module(prefix + module_info.name)
    found = (c for c in _subclasses(Message) if c.__module__.startswith(prefix))
    return tuple(sorted(found, key=lambda found_class: found_class.__name__))


def _subclasses(base: type[Message]) -> Iterator[type[Message]]:
    for subclass in base.__subclasses__():
        yield subclass
        yield from _subclasses(subclass)


class MessageCodec:
    """Encodes and decodes envelopes, and messages of a fixed set of types."""

    def __init__(
        self,
        message_types: tuple[type[Message], ...],
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        """Build the decoder of the union; two types of one name are an error."""
        self.max_message_bytes = max_message_bytes
        self._encoder = msgspec.json.Encoder()
        self._messages = msgspec.json.Decoder(Union[message_types])  # noqa: UP007
        self._envelopes = msgspec.json.Decoder(AnyEnvelope)

    def encode_message(self, message: Message) -> msgspec.Raw:
        """Encode a message for an envelope."""
        return msgspec.Raw(self._encoder.encode(message))

    def encode(self, envelope: Envelope) -> Result[bytes, Problem]:
        """Encode an envelope; Err (`ran: no`) when it is larger than the bound."""
        frame = self._encoder.encode(envelope)
        if len(frame) <= self.max_message_bytes:
            return Ok(frame)
        text = f"message of {len(frame)} bytes; at most {self.max_message_bytes}"
        return Err(Problem.of(ProblemCode.BODY_TOO_LARGE, text))

    def decode(self, frame: bytes) -> Result[AnyEnvelope, Problem]:
        """Decode an envelope, leaving its message raw."""
        try:
            return Ok(self._envelopes.decode(frame))
        except DECODING_ERRORS as error:
            return Err(_bad_message(f"not an envelope: {error}"))

    def decode_message(self, raw: msgspec.Raw) -> Result[Message, Problem]:
        """Decode a message; an unknown type is an Err with `ran: no`."""
        try:
            message: Message = self._messages.decode(raw)
        except DECODING_ERRORS as error:
            return Err(_bad_message(f"not a known message: {error}"))
        return Ok(message)


def _bad_message(text: str) -> Problem:
    return Problem.of(ProblemCode.BAD_REQUEST, text)


@lru_cache(maxsize=1)
def default_codec() -> MessageCodec:
    """Give the codec of all message types, built once."""
    return MessageCodec(collect_message_types())
