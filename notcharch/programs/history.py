"""A program's history: its turns in compact form.

Recent turns are in an uncompressed tail. When it reaches `SEALED_CHUNK_BYTES` it is
compressed into a chunk; this depends on the turns only, so all replicas have the same
chunks. The oldest turns may be paged out to the log service; the history then has
references to their pages, and readers pass in the pages' plain bytes by digest.
"""

import zlib
from collections.abc import Iterator, Mapping
from types import MappingProxyType

import msgspec

from notcharch.programs.pages import PageReference, TurnStub, page_digest, page_of
from notcharch.programs.turns import (
    EncodedTurn,
    StoredMessage,
    Turn,
    decode_nth_turn,
    decode_turns,
)
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import CallSequence, LogOffset

SEALED_CHUNK_BYTES = 8 * 1024
"""Size of the tail, in bytes, at which it is compressed."""

COMPRESSION_LEVEL = 1

Pages = Mapping[bytes, bytes]
"""Uncompressed bytes of pages by digest."""

NO_PAGES: Pages = MappingProxyType({})


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """Compressed consecutive turns; a reader can skip them by the counts."""

    turn_count: int
    message_count: int
    data: bytes


class PageDraft(msgspec.Struct, frozen=True):
    """The oldest turns in memory, uncompressed, that may be paged out."""

    first_turn: int
    turn_count: int
    plain: bytes


class History(msgspec.Struct, array_like=True):
    """All turns of one program in order of their sequence.

    The turns of `pages` come first, then those of `chunks`, then the tail.
    """

    chunks: tuple[Chunk, ...] = ()
    tail: bytes = b""
    tail_turn_count: int = 0
    tail_message_count: int = 0
    pages: tuple[PageReference, ...] = ()

    def append(self, turn: EncodedTurn, message_count: int) -> None:
        """Append a turn that adds `message_count` messages to the history."""
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
        """Number of messages in the whole history."""
        paged = sum(page.message_count for page in self.pages)
        sealed = sum(chunk.message_count for chunk in self.chunks)
        return paged + sealed + self.tail_message_count

    @property
    def paged_turns(self) -> int:
        """Number of turns that were paged out."""
        return sum(page.turn_count for page in self.pages)

    @property
    def stored_bytes(self) -> int:
        """Size of the chunks and the tail, in bytes."""
        return sum(len(chunk.data) for chunk in self.chunks) + len(self.tail)

    def turn(self, sequence: CallSequence, pages: Pages = NO_PAGES) -> Turn:
        """Return the turn of a finished call.

        Raises LookupError if it is not finished or if `pages` lacks its page.
        """
        index = sequence - 1
        for page in self.pages:
            if index < page.turn_count:
                return decode_nth_turn(pages[page.digest], index)
            index -= page.turn_count
        for chunk in self.chunks:
            if index < chunk.turn_count:
                return decode_nth_turn(zlib.decompress(chunk.data), index)
            index -= chunk.turn_count
        return decode_nth_turn(self.tail, index)

    def stub(self, sequence: CallSequence) -> TurnStub:
        """Return the stub of a finished call, whether its turn is paged out or not."""
        page = self.page_of_turn(sequence)
        if page is None:
            return TurnStub.of(self.turn(sequence))
        return page.stub(sequence - 1 - page.first_turn)

    def page_of_turn(self, sequence: CallSequence) -> PageReference | None:
        """Return the page of a finished call's turn; None if it is in memory."""
        for page in self.pages:
            if sequence <= page.first_turn + page.turn_count:
                return page
        return None

    def pages_of_messages(self, start: int, limit: int) -> tuple[PageReference, ...]:
        """Return the pages that `messages` needs for these arguments."""
        end = start + limit
        needed: list[PageReference] = []
        position = 0
        for page in self.pages:
            after = position + page.message_count
            if position < end and after > start:
                needed.append(page)
            position = after
        return tuple(needed)

    def messages(
        self, start: int, limit: int, pages: Pages = NO_PAGES
    ) -> tuple[ChatMessage, ...]:
        """Return up to `limit` messages from message `start` (0-based).

        Raises LookupError if `pages` lacks one of `pages_of_messages`.
        """
        skip = start
        found: list[ChatMessage] = []
        for part, count in self._parts():
            if len(found) >= limit:
                break
            if skip >= count:
                skip -= count
                continue
            plain = _plain(part, pages)
            selected = _messages_of(plain)[skip : skip + limit - len(found)]
            found.extend(message.message() for message in selected)
            skip = 0
        return tuple(found)

    def _parts(self) -> Iterator[tuple[PageReference | Chunk | bytes, int]]:
        for page in self.pages:
            yield page, page.message_count
        for chunk in self.chunks:
            yield chunk, chunk.message_count
        yield self.tail, self.tail_message_count

    def draft_page(self, plain_limit: int) -> PageDraft:
        """Draft a page of whole chunks, at least one, up to an uncompressed size.

        The tail is included only after every chunk. Without turns the draft is
        empty.
        """
        plain = b""
        turn_count = 0
        for chunk in self.chunks:
            data = zlib.decompress(chunk.data)
            if plain and len(plain) + len(data) > plain_limit:
                return PageDraft(self.paged_turns, turn_count, plain)
            plain += data
            turn_count += chunk.turn_count
        if not plain or len(plain) + len(self.tail) <= plain_limit:
            plain += self.tail
            turn_count += self.tail_turn_count
        return PageDraft(self.paged_turns, turn_count, plain)

    def page_out(
        self, first_turn: int, turn_count: int, offset: LogOffset, digest: bytes
    ) -> bool:
        """Replace the oldest turns by a page reference; False if they do not match."""
        plain = self._oldest(turn_count)
        if first_turn != self.paged_turns or plain is None:
            return False
        if page_digest(plain) != digest:
            return False
        page = page_of(plain, first_turn, offset, digest)
        self.pages = (*self.pages, page)
        self._drop_oldest(turn_count)
        return True

    def _oldest(self, turn_count: int) -> bytes | None:
        """Return the oldest turns in memory, if they end at the end of a part."""
        plain = b""
        for chunk in self.chunks:
            if turn_count <= 0:
                break
            plain += zlib.decompress(chunk.data)
            turn_count -= chunk.turn_count
        if turn_count and turn_count == self.tail_turn_count:
            return plain + self.tail
        return plain if turn_count == 0 and plain else None

    def _drop_oldest(self, turn_count: int) -> None:
        chunks = list(self.chunks)
        while chunks and turn_count > 0:
            turn_count -= chunks.pop(0).turn_count
        self.chunks = tuple(chunks)
        if turn_count:
            self.tail = b""
            self.tail_turn_count = 0
            self.tail_message_count = 0


def _plain(part: PageReference | Chunk | bytes, pages: Pages) -> bytes:
    match part:
        case PageReference():
            return pages[part.digest]
        case Chunk():
            return zlib.decompress(part.data)
        case bytes():
            return part


def _messages_of(framed: bytes) -> list[StoredMessage]:
    return [message for turn in decode_turns(framed) for message in turn.history()]
