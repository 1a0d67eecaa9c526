"""Stored conversation turns and the chains that they form."""

from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterable
from itertools import accumulate
from typing import Protocol

import msgspec

from notcharch.values.memory_pool import (
    PRESSURE_SHARE,
    HeldPart,
    PoolHolder,
    unbounded_holder,
)

PAGE_BYTES = 240 * 1024
"""Text of a chain in one message, which takes some milliseconds between two daemons.

A turn of this size fits into one record of a log service that takes 256 KiB."""
TURN_CACHE_BYTES = 8 * 1024 * 1024
"""Most bytes of a cache of turns; after the first one, a program's turns have 0.3 to
2.6 KB."""
TURN_BYTES = 600
"""Memory of a turn besides its names and its text."""
FULL_SHARE = 0.9
"""Share of the bound of all turns above which each new one sets older texts aside."""
MIN_ASIDE_BYTES = 1024
"""Shorter texts stay: without its text a turn takes half a kilobyte."""
MAX_CACHED_SHARE = 1 / 2
"""A larger turn would evict most of the others from a cache."""


class Turn(msgspec.Struct, frozen=True):
    """A stored turn, or the combined text of several consecutive turns."""

    previous: str
    """Id of the preceding turn; empty for the first."""
    input: bytes
    output: bytes
    """Data of the output events, each followed by a line feed."""

    @property
    def size_bytes(self) -> int:
        """Total length of input and output."""
        return len(self.input) + len(self.output)


class Transcript(msgspec.Struct, frozen=True):
    """Inputs and outputs of a chain of turns, oldest first."""

    after: str
    """Id of the turn before the text, which the requester has; empty if the text begins
    with the first turn."""
    text: bytes


class TranscriptPage(msgspec.Struct, frozen=True):
    """A part of a chain of turns, oldest first."""

    after: str
    """Id of the turn before the text; empty if the text begins with the first turn."""
    text: bytes
    last: str
    """Id of the turn with which the text ends."""
    remaining_bytes: int
    """Length of the text that follows up to the requested turn."""


class ChainLink(Protocol):
    """A turn of a chain, also one whose text is not in memory."""

    @property
    def previous(self) -> str:
        """Id of the preceding turn; empty for the first."""

    @property
    def size_bytes(self) -> int:
        """Length of its text."""


class PagePlan(msgspec.Struct, frozen=True):
    """Which turns a page holds; see `TranscriptPage`."""

    after: str
    names: list[str]
    """The turns of the page, oldest first."""
    last: str
    remaining_bytes: int

    def page(self, turns: Iterable[Turn]) -> TranscriptPage:
        """Return the page with the text of its turns."""
        return TranscriptPage(self.after, _text(turns), self.last, self.remaining_bytes)


class TurnStore:
    """Turns by id."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._turns: dict[str, Turn] = {}

    def __contains__(self, turn: str) -> bool:
        """Return whether a turn is stored."""
        return turn in self._turns

    def add(self, name: str, turn: Turn) -> None:
        """Store a turn."""
        self._turns[name] = turn

    def get(self, name: str) -> Turn | None:
        """Return a turn, or None if it is not stored."""
        return self._turns.get(name)

    def _link(self, name: str) -> ChainLink | None:
        """Return a turn as a part of its chain, or None if it is not stored."""
        return self.get(name)

    def transcript(self, last: str, known: str = "") -> Transcript | None:
        """Return the chain that ends with turn `last`.

        It starts after turn `known` if the chain includes that turn. None if `last` or a
        preceding turn is not stored.
        """
        page = self.page(last, known)
        return None if page is None else Transcript(page.after, page.text)

    def page(
        self, last: str, known: str = "", max_bytes: int = 0
    ) -> TranscriptPage | None:
        """Return the beginning of the chain that ends with turn `last`.

        Like `transcript`, but with the first turns only, up to `max_bytes` and one at least;
        0 bytes are no bound. None also if the text of a turn is not in memory.
        """
        plan = self.plan(last, known, max_bytes)
        if plan is None:
            return None
        turns = [turn for name in plan.names if (turn := self.get(name)) is not None]
        return plan.page(turns) if len(turns) == len(plan.names) else None

    def plan(self, last: str, known: str = "", max_bytes: int = 0) -> PagePlan | None:
        """Return which turns `page` has; None if one of the chain is not stored."""
        chain = self._chain(last, known)
        if chain is None:
            return None
        sizes = list(accumulate(link.size_bytes for link in chain.links))
        count = max(bisect_right(sizes, max_bytes), min(1, len(sizes)))
        if not max_bytes or count == len(sizes):
            return PagePlan(chain.after, chain.names, last, 0)
        return PagePlan(
            chain.after,
            chain.names[:count],
            chain.names[count - 1],
            sizes[-1] - sizes[count - 1],
        )

    def has_chain(self, last: str) -> bool:
        """Return whether a turn and all preceding ones are stored."""
        return self._chain(last, "") is not None

    def _chain(self, last: str, known: str) -> "Chain | None":
        """Return the chain that ends with turn `last`, without the turns up to `known`."""
        names: list[str] = []
        links: list[ChainLink] = []
        name = last
        while name and name != known:
            link = self._link(name)
            if link is None:
                return None
            names.append(name)
            links.append(link)
            name = link.previous
        if name and name not in self:
            return None  # the requester's turn `known` is not stored here
        return Chain(name, names[::-1], links[::-1])


class Chain(msgspec.Struct, frozen=True):
    """Consecutive turns, oldest first."""

    after: str
    """Id of the turn before them; empty if they begin with the first one."""
    names: list[str]
    links: list[ChainLink]


def _text(turns: Iterable[Turn]) -> bytes:
    return b"".join(part for turn in turns for part in (turn.input, turn.output))


def aside_bytes(name: str, turn: "AsideTurn") -> int:
    """Return how much memory a turn takes under a name without its text, about."""
    return TURN_BYTES + len(name) + len(turn.previous)


def stored_bytes(name: str, turn: Turn) -> int:
    """Return how much memory a turn takes under a name, about."""
    return TURN_BYTES + len(name) + len(turn.previous) + turn.size_bytes


class AsideTurn(msgspec.Struct, frozen=True):
    """A turn whose text is in the journal alone."""

    previous: str
    size_bytes: int
    offset: int
    """Of its first record in the partition of the log."""


class StoredTurns(TurnStore):
    """Turns with the times of their last use and the places of their journal records.

    While memory is short, texts that were not used for longest are set aside: they are read
    from the journal when a call needs them.
    """

    def __init__(self, held: HeldPart | None = None) -> None:
        """Create an empty store, whose memory `held` counts."""
        super().__init__()
        self._held = held or HeldPart(unbounded_holder())
        self._by_use: OrderedDict[str, None] = OrderedDict()
        """The texts that can be set aside, the least recently used first."""
        self._aside: dict[str, AsideTurn] = {}
        self._offsets: dict[str, int] = {}
        """Where the first record of each turn is, if that is known."""
        self._used_at: dict[str, float] = {}

    def __contains__(self, turn: str) -> bool:
        """Return whether a turn is stored, here or in the journal."""
        return turn in self._turns or turn in self._aside

    def _link(self, name: str) -> ChainLink | None:
        return self._turns.get(name) or self._aside.get(name)

    def store(self, name: str, turn: Turn, now: float, offset: int = -1) -> None:
        """Store a turn that is in the journal, and mark its chain as used.

        `offset` is that of its first record, negative if it is not known.
        """
        self.remove(name)
        if offset >= 0:
            self._offsets[name] = offset
        self._hold(name, turn)
        self.touch(name, now)
        self._set_aside_down_to(FULL_SHARE)

    def _hold(self, name: str, turn: Turn) -> None:
        """Hold the text of a turn in memory."""
        self._held.change(stored_bytes(name, turn))
        self.add(name, turn)
        if name in self._offsets and turn.size_bytes >= MIN_ASIDE_BYTES:
            self._by_use[name] = None

    def remove(self, name: str) -> None:
        """Remove a turn, wherever its text is."""
        self._by_use.pop(name, None)
        turn = self._turns.pop(name, None)
        if turn is not None:
            self._held.change(-stored_bytes(name, turn))
        aside = self._aside.pop(name, None)
        if aside is not None:
            self._held.change(-aside_bytes(name, aside))
        for values in (self._offsets, self._used_at):
            values.pop(name, None)

    def touch(self, last: str, now: float) -> None:
        """Mark a chain as used, so that it is retained as long as its last turn."""
        name = last
        while self._used_at.get(name) != now:
            link = self._link(name)
            if link is None:
                return
            self._used_at[name] = now
            if name in self._by_use:
                self._by_use.move_to_end(name)
            name = link.previous

    def evict_unused_since(self, limit: float) -> None:
        """Remove turns last used before `limit`, in clock seconds."""
        expired = [name for name, used in self._used_at.items() if used < limit]
        for name in expired:
            self.remove(name)

    # Texts that are set aside

    def aside(self, name: str) -> AsideTurn | None:
        """Return a turn whose text is in the journal alone, if it is one."""
        return self._aside.get(name)

    def restore(self, name: str, turn: Turn) -> None:
        """Keep the text of a turn that was read from the journal, while there is room."""
        aside = self._aside.get(name)
        if aside is None:
            return
        if self._held.holder.fits(turn.size_bytes):
            del self._aside[name]
            self._held.change(-aside_bytes(name, aside))
            self._hold(name, turn)

    def set_aside_unused(self) -> None:
        """Set texts aside while all partitions' turns take much of what they may."""
        self._set_aside_down_to(PRESSURE_SHARE)

    def _set_aside_down_to(self, share: float) -> None:
        """Set the least recently used texts aside, down to a share of the bound."""
        holder = self._held.holder
        while self._by_use and holder.held > holder.limit_bytes * share:
            name, _ = self._by_use.popitem(last=False)
            self._set_aside(name)

    def _set_aside(self, name: str) -> None:
        turn = self._turns.pop(name)
        aside = AsideTurn(turn.previous, turn.size_bytes, self._offsets[name])
        self._aside[name] = aside
        self._held.change(aside_bytes(name, aside) - stored_bytes(name, turn))

    def has_room(self, size: int) -> bool:
        """Return whether a new turn of `size` bytes may be stored."""
        return self._held.holder.has_room(TURN_BYTES + size)

    @property
    def is_under_pressure(self) -> bool:
        """Whether all partitions' turns take much of the memory that they may."""
        return self._held.holder.is_under_pressure

    def on_rewritten(self, name: str, offset: int) -> None:
        """Update where the record of a turn is that was written again."""
        self._offsets[name] = offset
        aside = self._aside.get(name)
        if aside is not None:
            self._aside[name] = msgspec.structs.replace(aside, offset=offset)

    def stored_before(
        self, offset: int, used_since: float
    ) -> list[tuple[str, ChainLink]]:
        """Return the turns whose record lies before an offset, in the order of the log.

        Those that were last used before `used_since`, in clock seconds, are left out.
        """
        due = [
            (place, name)
            for name, place in self._offsets.items()
            if place < offset and self._used_at[name] >= used_since
        ]
        due.sort(key=lambda item: item[0])
        links = ((name, self._link(name)) for _, name in due)
        return [(name, link) for name, link in links if link is not None]

    def first_offset(self, used_since: float) -> tuple[int, ...]:
        """Return the offset of the first record of these turns; empty if there is none."""
        places = (
            place
            for name, place in self._offsets.items()
            if self._used_at[name] >= used_since
        )
        first = min(places, default=None)
        return () if first is None else (first,)


class TurnCache(TurnStore):
    """A size-bounded LRU cache of turns, with the newest turn of each program."""

    def __init__(self, max_bytes: int, held: PoolHolder | None = None) -> None:
        """Cache at most `max_bytes` of turns; `held` counts them."""
        super().__init__()
        self._recent: OrderedDict[str, Turn] = OrderedDict()
        self._turns = self._recent
        self._max_bytes = max_bytes
        self._held = held or unbounded_holder()
        self._bytes = 0
        self._newest: OrderedDict[str, str] = OrderedDict()

    def _count(self, size: int) -> None:
        self._bytes += size
        self._held.change(size)

    def add(self, name: str, turn: Turn) -> None:
        """Add a turn and evict the least recently used ones beyond the size limit.

        A turn that would take most of the cache is not added.
        """
        replaced = self._recent.pop(name, None)
        if replaced is not None:
            self._count(-stored_bytes(name, replaced))
        if turn.size_bytes > self._max_bytes * MAX_CACHED_SHARE:
            return
        self._recent[name] = turn
        self._count(stored_bytes(name, turn))
        while self._recent and (self._bytes > self._max_bytes or self._held.is_over):
            oldest_name, oldest = self._recent.popitem(last=False)
            self._count(-stored_bytes(oldest_name, oldest))

    def get(self, name: str) -> Turn | None:
        """Return a turn, or None, and mark it as used."""
        if name in self._recent:
            self._recent.move_to_end(name)
        return super().get(name)

    def add_newest(self, program: str, name: str, turn: Turn) -> None:
        """Add a turn as the newest of its program."""
        self.add(name, turn)
        self._forget_newest(program)
        if name not in self._recent:
            return
        self._newest[program] = name
        self._count(len(program))
        while len(self._newest) > len(self._recent):
            self._forget_newest(next(iter(self._newest)))

    def _forget_newest(self, program: str) -> None:
        if self._newest.pop(program, None) is not None:
            self._count(-len(program))

    def newest(self, program: str) -> str:
        """Return the program's newest turn if its complete chain is cached, else empty."""
        name = self._newest.get(program, "")
        return name if name and self.has_chain(name) else ""
