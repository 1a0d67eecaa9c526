"""Pages: runs of a history's turns that lie in the log service.

A replica keeps a page's reference, and a stub of each of its turns: what a command
may still ask of a finished call. The rest is read back by the leader.
"""

import hashlib
import zlib

import msgspec

from notcharch.errors import Problem
from notcharch.programs.turns import StoredAnswer, Turn, decode_turns
from notcharch.values.chat import Answer
from notcharch.values.identifiers import (
    AttemptNumber,
    LogOffset,
    ProgramId,
    RecordId,
)

DIGEST_BYTES = 16
COMPRESSION_LEVEL = 1


class TurnStub(msgspec.Struct, frozen=True, array_like=True):
    """A finished call without its texts: recognises repeats of it and its answer."""

    digest: bytes
    attempt: AttemptNumber
    answer_digest: bytes | None
    problem: Problem | None

    @classmethod
    def of(cls, turn: Turn) -> "TurnStub":
        """Shorten a turn."""
        outcome = turn.outcome
        answer_digest = None if outcome is None else _digest_of_answer(outcome)
        return cls(turn.digest, turn.attempt, answer_digest, turn.problem)

    def is_answer(self, answer: Answer) -> bool:
        """Tell whether the call was answered by exactly this answer."""
        return self.answer_digest == _digest_of_answer(StoredAnswer.of(answer))


class PageReference(msgspec.Struct, frozen=True, array_like=True):
    """Where `turn_count` turns from turn `first_turn` (0-based) on lie.

    `digest` is that of the turns as plain bytes: two builds of zlib may compress
    them differently. `stubs` is the encoded stubs.
    """

    first_turn: int
    turn_count: int
    message_count: int
    offset: LogOffset
    digest: bytes
    stubs: bytes

    def stub(self, index: int) -> TurnStub:
        """Give the stub of the page's turn `index` (0-based)."""
        return _stubs_decoder.decode(self.stubs)[index]


class PageRecord(msgspec.Struct, frozen=True):
    """A page as the log service keeps it; `data` is compressed."""

    program: ProgramId
    first_turn: int
    turn_count: int
    data: bytes


class DamagedPageError(ValueError):
    """A record of the log service is not the page that was written."""


def page_digest(plain: bytes) -> bytes:
    """Give the digest by which a page is recognised when it is read back."""
    return hashlib.blake2b(plain, digest_size=DIGEST_BYTES).digest()


def page_of(
    plain: bytes, first_turn: int, offset: LogOffset, digest: bytes
) -> PageReference:
    """Make the reference to a page from its plain bytes; deterministic."""
    turns = list(decode_turns(plain))
    messages = sum(1 for turn in turns for _ in turn.history())
    stubs = _encoder.encode([TurnStub.of(turn) for turn in turns])
    return PageReference(first_turn, len(turns), messages, offset, digest, stubs)


def page_record_id(program: ProgramId, first_turn: int, digest: bytes) -> RecordId:
    """Give a page's record id, which its repeats share."""
    return RecordId(f"page/{program}/{first_turn}/{digest.hex()}")


def encode_page(
    program: ProgramId, first_turn: int, turn_count: int, plain: bytes
) -> str:
    """Encode a page as the text that the log service keeps."""
    data = zlib.compress(plain, COMPRESSION_LEVEL)
    record = PageRecord(program, first_turn, turn_count, data)
    return msgspec.json.encode(record).decode()


def decode_page(data: str, page: PageReference) -> bytes:
    """Give a page's plain bytes; DamagedPageError if they are not its own."""
    try:
        plain = zlib.decompress(_record_decoder.decode(data).data)
    except (msgspec.DecodeError, zlib.error) as error:
        raise DamagedPageError(str(error)) from error
    if page_digest(plain) != page.digest:
        raise DamagedPageError("the page has another digest")
    return plain


def _digest_of_answer(outcome: StoredAnswer) -> bytes:
    return page_digest(_encoder.encode(outcome))


_encoder = msgspec.msgpack.Encoder()
_stubs_decoder = msgspec.msgpack.Decoder(tuple[TurnStub, ...])
_record_decoder = msgspec.json.Decoder(PageRecord)
