"""Reads the chain of a turn from an owner, page by page."""

from collections.abc import Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from notcharch.accounts.messages import ReadTurns, TurnsRead
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.turns import PAGE_BYTES, TranscriptPage, Turn, TurnCache


class CollectedTranscript:
    """The text of a chain as far as it has arrived, after the turns of a cache."""

    def __init__(self, cache: TurnCache, program: str, turn: str) -> None:
        """Collect the chain that ends with `turn`, for a program."""
        self._cache = cache
        self._program = program
        self.turn = turn
        self._after = ""
        """The cached turn that the text follows; empty if it begins with the first turn."""
        self._parts: list[bytes] = []
        """The text of the cached turns, then the pages."""
        self._last = ""
        """The turn with which the text ends."""

    @property
    def known(self) -> str:
        """The turn up to which the text needs not be requested; empty for none."""
        if self._last:
            return self._last
        if self._cache.has_chain(self.turn):
            return self.turn
        return self._cache.newest(self._program)

    @property
    def size_bytes(self) -> int:
        """The length of the text so far."""
        return sum(map(len, self._parts))

    @property
    def is_complete(self) -> bool:
        """Whether the text ends with the requested turn."""
        return not self.turn or self._last == self.turn

    def add(self, page: TranscriptPage) -> bool:
        """Add a page; False if the turns before it are not known here any more."""
        if not self._last or page.after != self._last:
            cached = self._cache.transcript(page.after) if page.after else None
            if page.after and cached is None:
                self.restart()
                return False
            self._after = page.after
            self._parts = [] if cached is None else [cached.text]
        self._parts.append(page.text)
        self._last = page.last
        if self.is_complete:
            self._cache_pages()
        return True

    def restart(self) -> None:
        """Discard what has arrived."""
        self._parts, self._last = [], ""

    def _cache_pages(self) -> None:
        has_prefix = bool(self._after)
        text = b"".join(self._parts[has_prefix:])
        if text:
            turn = Turn(self._after, text, b"")
            self._cache.add_newest(self._program, self.turn, turn)

    def take_with(self, new_input: bytes) -> bytes:
        """Return the complete text with a new input after it, and discard the text."""
        text = b"".join((*self._parts, new_input))
        self.restart()
        return text

    def text(self) -> bytes:
        """Return the complete text."""
        return b"".join(self._parts)


@inlineCallbacks
def read_remaining_pages(
    owners: OwnerRequests, partition: int, transcript: CollectedTranscript
) -> Generator["Deferred[Any]", Any, bool]:
    """Request pages until a chain is complete; False if the owner does not reply in time.

    What has arrived stays, so that a later attempt continues from there.
    """
    while not transcript.is_complete:
        known = transcript.known
        reply = yield owners.send_request(
            partition, ReadTurns(partition, transcript.turn, known, PAGE_BYTES)
        )
        if not isinstance(reply, TurnsRead) or reply.after != known:
            return False
        page = TranscriptPage(
            reply.after, reply.text, reply.last, reply.remaining_bytes
        )
        if not transcript.add(page):
            return False
    return True
