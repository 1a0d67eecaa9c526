"""Pages: consecutive turns of a history that are stored in the log service.

A replica keeps a reference to the page and a stub of each of its turns, as much as
commands need of a finished call. The leader reads the rest from the log service.
"""

import hashlib
import zlib

import msgspec

from notcharch.errors import Problem
from notcharch.programs.turns import StoredAnswer, Turn, decode_turns
from notcharch.values.chat import Answer
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.identifiers import (
    AttemptNumber,
    LogOffset,
    ProgramId,
    RecordId,
)

DIGEST_BYTES = 16
COMPRESSION_LEVEL = 1


class TurnStub(msgspec.Struct, frozen=True, array_like=True):
    """A finished call without its texts, to recognize repeats of it or its answer."""

    digest: bytes
    attempt: AttemptNumber
    answer_digest: bytes | None
    problem: Problem | None

    @classmethod
    def of(cls, turn: Turn) -> "TurnStub":
        """Return the stub of a turn."""
        outcome = turn.outcome
        answer_digest = None if outcome is None else _digest_of_answer(outcome)
        return cls(turn.digest, turn.attempt, answer_digest, turn.problem)

    def is_answer(self, answer: Answer) -> bool:
        """Return whether this is the stored answer of the call."""
        return self.answer_digest == _digest_of_answer(StoredAnswer.of(answer))


class PageReference(msgspec.Struct, frozen=True, array_like=True):
    """Location of `turn_count` turns from `first_turn` (0-based).

    `digest` is the digest of the uncompressed turns, since builds of zlib may
    compress them differently. `stubs` has the encoded stubs.
    """

    first_turn: int
    turn_count: int
    message_count: int
    offset: LogOffset
    digest: bytes
    stubs: bytes

    def stub(self, index: int) -> TurnStub:
        """Return the stub of the page's turn `index` (0-based)."""
        return _stubs_decoder.decode(self.stubs)[index]


class PageRecord(msgspec.Struct, frozen=True):
    """A page as stored in the log service; `data` is compressed."""

    program: ProgramId
    first_turn: int
    turn_count: int
    data: bytes


class DamagedPageError(ValueError):
    """A record of the log service is not the page that was written."""


def page_digest(plain: bytes) -> bytes:
    """Return the digest that verifies a page when it is read."""
    return hashlib.blake2b(plain, digest_size=DIGEST_BYTES).digest()


def page_of(
    plain: bytes, first_turn: int, offset: LogOffset, digest: bytes
) -> PageReference:
    """Build the reference to a page from its uncompressed bytes; deterministic."""
    turns = list(decode_turns(plain))
    messages = sum(1 for turn in turns for _ in turn.history())
    stubs = _encoder.encode([TurnStub.of(turn) for turn in turns])
    return PageReference(first_turn, len(turns), messages, offset, digest, stubs)


def page_record_id(program: ProgramId, first_turn: int, digest: bytes) -> RecordId:
    """Return the record id of a page; the same page always gets the same id."""
    return RecordId(f"page/{program}/{first_turn}/{digest.hex()}")


def encode_page(
    program: ProgramId, first_turn: int, turn_count: int, plain: bytes
) -> str:
    """Encode a page as the text stored in the log service."""
    data = zlib.compress(plain, COMPRESSION_LEVEL)
    record = PageRecord(program, first_turn, turn_count, data)
    return msgspec.json.encode(record).decode()


def decode_page(data: str, page: PageReference) -> bytes:
    """Return a page's uncompressed bytes; DamagedPageError if they don't match."""
    try:
        plain = zlib.decompress(_record_decoder.decode(data).data)
    except (*DECODING_ERRORS, zlib.error) as error:
        raise DamagedPageError(str(error)) from error
    if page_digest(plain) != page.digest:
        raise DamagedPageError("the digest does not match")
    return plain


def _digest_of_answer(outcome: StoredAnswer) -> bytes:
    return page_digest(_encoder.encode(outcome))


_encoder = msgspec.msgpack.Encoder()
_stubs_decoder = msgspec.msgpack.Decoder(tuple[TurnStub, ...])
_record_decoder = msgspec.json.Decoder(PageRecord)
