"""Which programs' prefixes an engine holds, as far as its steward knows. Pure.

Cache events come late and with gaps. After a gap, or when the engine has
restarted, the map is doubted until it was compared with the engine's own list.
"""

import msgspec

from notcharch.clients.ports import CachedProgram, CacheEvents
from notcharch.values.identifiers import ProgramId


class CacheEventsLearnt(msgspec.Struct, frozen=True):
    """What a page of events told: lost events, or a restarted engine."""

    lost_events: int
    restarted: bool


class CacheMap:
    """Programs and the tokens held of each."""

    def __init__(self) -> None:
        """Know nothing, and doubt it: the engine may hold prefixes already."""
        self._tokens: dict[ProgramId, int] = {}
        self._next = 0
        self._synchronised = False
        self.doubtful = True
        """Whether the map must be compared with the engine's own list."""

    @property
    def next_sequence(self) -> int:
        """After which event to read on."""
        return self._next

    def __len__(self) -> int:
        return len(self._tokens)

    def tokens(self, program: ProgramId) -> int:
        """Give how many tokens of a program are believed to be held."""
        return self._tokens.get(program, 0)

    def programs(self) -> tuple[ProgramId, ...]:
        """Give every program of which something is believed to be held."""
        return tuple(self._tokens)

    def learn_events(self, page: CacheEvents) -> CacheEventsLearnt:
        """Take a page of events in, in order."""
        if page.next < self._next:
            self._tokens.clear()
            self._next = page.next
            self.doubtful = True
            return CacheEventsLearnt(0, restarted=True)
        lost = 0
        last = self._next
        for event in page.events:
            if event.sequence <= last:
                continue
            lost += event.sequence - last - 1
            last = event.sequence
            self.set_tokens(event.program, event.tokens)
        self._next = max(page.next, last)
        if self._synchronised and lost:
            self.doubtful = True
        self._synchronised = True
        return CacheEventsLearnt(lost, restarted=False)

    def reconcile(self, truth: tuple[CachedProgram, ...]) -> None:
        """Replace the map by the engine's own list."""
        self._tokens = {held.program: held.tokens for held in truth if held.tokens > 0}
        self.doubtful = False

    def set_tokens(self, program: ProgramId, tokens: int) -> None:
        """Learn what is held of one program; 0 forgets it."""
        if tokens > 0:
            self._tokens[program] = tokens
        else:
            self._tokens.pop(program, None)
