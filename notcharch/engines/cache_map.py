"""A steward's view of the prefixes that its engine has cached. No I/O.

Cache events arrive late and with gaps. After a gap or a restart of the engine
the map is stale until it is reconciled with the engine's list.
"""

import msgspec

from notcharch.clients.ports import CachedProgram, CacheEvents
from notcharch.values.identifiers import ProgramId


class EventPageResult(msgspec.Struct, frozen=True):
    """Gaps and restarts that a page of events revealed."""

    missed_events: int
    restarted: bool


class CacheMap:
    """Cached tokens by program."""

    def __init__(self) -> None:
        """Start empty and stale: the engine may already have cached prefixes."""
        self._tokens: dict[ProgramId, int] = {}
        self._next_sequence = 0
        self._has_read_page = False
        self.is_stale = True
        """Whether the map needs reconciliation with the engine's list."""

    @property
    def next_sequence(self) -> int:
        """The sequence number after which to read the next events."""
        return self._next_sequence

    def __len__(self) -> int:
        return len(self._tokens)

    def tokens(self, program: ProgramId) -> int:
        """Return the number of tokens of a program that are probably cached."""
        return self._tokens.get(program, 0)

    def programs(self) -> tuple[ProgramId, ...]:
        """Return every program that probably has cached tokens."""
        return tuple(self._tokens)

    def learn_events(self, page: CacheEvents) -> EventPageResult:
        """Apply a page of events in order."""
        if page.next < self._next_sequence:
            self._tokens.clear()
            self._next_sequence = page.next
            self.is_stale = True
            return EventPageResult(0, restarted=True)
        missed = 0
        last = self._next_sequence
        for event in page.events:
            if event.sequence <= last:
                continue
            missed += event.sequence - last - 1
            last = event.sequence
            self.set_tokens(event.program, event.tokens)
        self._next_sequence = max(page.next, last)
        if self._has_read_page and missed:
            self.is_stale = True
        self._has_read_page = True
        return EventPageResult(missed, restarted=False)

    def reconcile(self, cached_programs: tuple[CachedProgram, ...]) -> None:
        """Replace the map by the engine's list."""
        self._tokens = {
            cached.program: cached.tokens
            for cached in cached_programs
            if cached.tokens > 0
        }
        self.is_stale = False

    def set_tokens(self, program: ProgramId, tokens: int) -> None:
        """Set the cached tokens of one program; 0 removes it."""
        if tokens > 0:
            self._tokens[program] = tokens
        else:
            self._tokens.pop(program, None)
