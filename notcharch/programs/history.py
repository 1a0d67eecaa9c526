"""A program's history: its turns as compact bytes.

Recent turns lie in a plain tail; when the tail reaches `SEALED_CHUNK_BYTES` it is
compressed into a chunk, so that each byte is compressed once. The rule depends only
on the turns, so that all replicas hold the same chunks. The oldest turns may have
been paged out to the log service; the history keeps references to those pages, and
a reader brings their plain bytes along, by digest.
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
"""The size of the tail at which it is compressed, bytes."""

COMPRESSION_LEVEL = 1

Pages = Mapping[bytes, bytes]
"""Plain bytes of pages, by their digests."""

NO_PAGES: Pages = MappingProxyType({})


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """A compressed run of turns; the counts let a reader skip it."""

    turn_count: int
    message_count: int
    data: bytes


class PageDraft(msgspec.Struct, frozen=True):
    """Turns that may be paged out: the oldest that are held, as plain bytes."""

    first_turn: int
    turn_count: int
    plain: bytes


class History(msgspec.Struct, array_like=True):
    """All turns of one program, oldest first, sequence 1 first.

    `pages` go before the chunks, the chunks before the tail.
    """

    chunks: tuple[Chunk, ...] = ()
    tail: bytes = b""
    tail_turn_count: int = 0
    tail_message_count: int = 0
    pages: tuple[PageReference, ...] = ()

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
        paged = sum(page.message_count for page in self.pages)
        sealed = sum(chunk.message_count for chunk in self.chunks)
        return paged + sealed + self.tail_message_count

    @property
    def paged_turns(self) -> int:
        """Give the number of turns that were paged out."""
        return sum(page.turn_count for page in self.pages)

    @property
    def stored_bytes(self) -> int:
        """Give the bytes that the chunks and the tail take."""
        return sum(len(chunk.data) for chunk in self.chunks) + len(self.tail)

    def turn(self, sequence: CallSequence, pages: Pages = NO_PAGES) -> Turn:
        """Give the turn of a finished call.

        LookupError if it is not finished, or if `pages` lacks its page.
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
        """Give what a command may ask of a finished call, wherever its turn is."""
        page = self.page_of_turn(sequence)
        if page is None:
            return TurnStub.of(self.turn(sequence))
        return page.stub(sequence - 1 - page.first_turn)

    def page_of_turn(self, sequence: CallSequence) -> PageReference | None:
        """Give the page of a finished call's turn; None if it is held here."""
        for page in self.pages:
            if sequence <= page.first_turn + page.turn_count:
                return page
        return None

    def pages_of_messages(self, start: int, limit: int) -> tuple[PageReference, ...]:
        """Give the pages that `messages` needs for the same arguments."""
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
        """Give up to `limit` messages from message `start` (0-based) on.

        LookupError if `pages` lacks one of `pages_of_messages`.
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
        """Take whole chunks up to a plain size (at least one), then the tail.

        The tail goes only together with every chunk. Without turns the draft is
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
        """Drop turns that lie in the log service; False if they are not just these."""
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
        """Give the oldest turns that are held, if they end where a part ends."""
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
