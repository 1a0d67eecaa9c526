"""The prefix cache of one engine: limited blocks, keyed by program, least recently used.

A program's prefix is held from its first token on. A program with a running
request is pinned; others lose blocks from the end of their prefix, the least
recently used program first.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence

import attrs

from emulator.engine.answers import message_tokens
from emulator.engine.counters import EngineCounters, FillHistory
from notcharch.clients.ports import CachedProgram, CacheEventKind
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import ProgramId


@attrs.frozen
class PrefixLink:
    """The end of one message: a hash of all messages so far, and their tokens."""

    digest: int
    tokens: int


PrefixChain = tuple[PrefixLink, ...]
CacheEventSink = Callable[[CacheEventKind, ProgramId, int], None]


def prefix_chain(messages: Sequence[ChatMessage]) -> PrefixChain:
    """Chain a prompt's messages, so that equal prefixes have equal links."""
    return _chain_from(PrefixLink(0, 0), messages)


def extended_chain(chain: PrefixChain, message: ChatMessage) -> PrefixChain:
    """Add one message, the answer, to a chain."""
    return chain + _chain_from(chain[-1] if chain else PrefixLink(0, 0), (message,))


def _chain_from(link: PrefixLink, messages: Sequence[ChatMessage]) -> PrefixChain:
    links = []
    digest, tokens = link.digest, link.tokens
    for message in messages:
        digest = hash((digest, message.role, message.content))
        tokens += message_tokens(message)
        links.append(PrefixLink(digest, tokens))
    return tuple(links)


@attrs.define(eq=False)
class CachedPrefix:
    """What is held of one program. `blocks` may run ahead of `tokens` while pinned."""

    program: ProgramId
    chain: PrefixChain = ()
    tokens: int = 0
    reused: int = 0
    """Tokens from the start that have served a later prompt since they were filled."""

    blocks: int = 0
    pinned: bool = False
    drop_when_unpinned: bool = False

    def matched(self, chain: PrefixChain) -> int:
        """Count the tokens of a prompt that this prefix spares."""
        matched = 0
        for mine, wanted in zip(self.chain, chain, strict=False):
            if mine.digest != wanted.digest:
                break
            matched = mine.tokens
        return min(matched, self.tokens)


@attrs.define(eq=False)
class CacheHold:
    """A running request's claim on blocks; `cached` tokens need no prefill."""

    prefix: CachedPrefix
    cached: int
    private: bool
    """Whether the program's own prefix was busy, so this one is thrown away."""


class PrefixCache:
    """Blocks of KV cache, shared by the programs of one engine."""

    def __init__(
        self,
        total_blocks: int,
        block_tokens: int,
        counters: EngineCounters,
        fills: FillHistory,
        on_event: CacheEventSink,
    ) -> None:
        """Start empty; `on_event` is called for what is stored and evicted."""
        self.total_blocks = total_blocks
        self.block_tokens = block_tokens
        self.free_blocks = total_blocks
        self._counters = counters
        self._fills = fills
        self._on_event = on_event
        self._prefixes: dict[ProgramId, CachedPrefix] = {}
        self._unpinned: OrderedDict[ProgramId, CachedPrefix] = OrderedDict()
        self._evictable_blocks = 0

    def fits(self, tokens: int) -> bool:
        """Return whether a number of tokens fits the cache at all."""
        return self._blocks_of(tokens) <= self.total_blocks

    def programs(self) -> tuple[CachedProgram, ...]:
        """Give the truth of what is held, in tokens, of each program."""
        return tuple(
            CachedProgram(prefix.program, prefix.tokens)
            for prefix in self._prefixes.values()
        )

    def blocks_by_program(self) -> dict[ProgramId, int]:
        """Give the blocks taken by each program."""
        return {name: prefix.blocks for name, prefix in self._prefixes.items()}

    def prefix_of(self, program: ProgramId) -> CachedPrefix | None:
        """Give what is held of a program."""
        return self._prefixes.get(program)

    def acquire(
        self, program: ProgramId, chain: PrefixChain, answer_tokens: int
    ) -> CacheHold | None:
        """Pin a program's prefix and take blocks for a prompt and its whole answer.

        None when the memory is taken by running requests; nothing has changed then.
        """
        prefix = self._prefixes.get(program) or CachedPrefix(program)
        prompt_tokens = chain[-1].tokens if chain else 0
        cached = min(prefix.matched(chain), max(0, prompt_tokens - 1))
        blocks = self._blocks_of(prompt_tokens + answer_tokens)
        if prefix.pinned:
            return self._acquire_private(program, cached, blocks)
        if self.free_blocks + self._evictable_blocks < blocks:
            return None
        self._pin(prefix)
        self._cut(prefix, cached)
        self._take(prefix, blocks)
        prefix.reused = max(prefix.reused, cached)
        prefix.chain = chain
        return CacheHold(prefix, cached, private=False)

    def settle(self, hold: CacheHold, filled: int, chain: PrefixChain) -> None:
        """End a hold: `filled` tokens from the start of `chain` are in the cache."""
        prefix = hold.prefix
        self._fills.note(prefix.program, filled)
        if hold.private:
            self._counters.tokens_evicted_unused += max(0, filled - hold.cached)
            self.free_blocks += prefix.blocks
            return
        prefix.chain = chain
        prefix.tokens = filled
        self._shrink(prefix, self._blocks_of(filled))
        self._unpin(prefix)
        if prefix.drop_when_unpinned or filled == 0:
            self._drop(prefix)
        else:
            self._on_event(CacheEventKind.STORED, prefix.program, filled)

    def release(self, program: ProgramId) -> int:
        """Free a program's blocks, those of a running request when it ends."""
        prefix = self._prefixes.get(program)
        if prefix is None:
            return 0
        if prefix.pinned:
            prefix.drop_when_unpinned = True
            return 0
        return self._drop(prefix)

    def store(self, program: ProgramId, chain: PrefixChain, tokens: int) -> bool:
        """Place an imported prefix; False when there is no room or it is busy."""
        prefix = self._prefixes.get(program) or CachedPrefix(program)
        if prefix.pinned:
            return False
        if prefix.tokens >= tokens:
            return True
        blocks = self._blocks_of(tokens)
        if self.free_blocks + self._evictable_blocks < blocks:
            return False
        self._pin(prefix)
        self._cut(prefix, prefix.matched(chain))
        self._take(prefix, blocks)
        prefix.chain = chain
        prefix.tokens = tokens
        self._unpin(prefix)
        self._on_event(CacheEventKind.STORED, program, tokens)
        return True

    def lose_everything(self) -> None:
        """Clear the cache, as a restart does."""
        self._counters.tokens_lost_unused += sum(
            prefix.tokens - prefix.reused for prefix in self._prefixes.values()
        )
        self._prefixes.clear()
        self._unpinned.clear()
        self.free_blocks = self.total_blocks
        self._evictable_blocks = 0

    def _blocks_of(self, tokens: int) -> int:
        return -(-tokens // self.block_tokens)

    def _acquire_private(
        self, program: ProgramId, cached: int, blocks: int
    ) -> CacheHold | None:
        needed = blocks - self._blocks_of(cached)
        if self.free_blocks + self._evictable_blocks < needed:
            return None
        private = CachedPrefix(program, pinned=True)
        self._take(private, needed)
        return CacheHold(private, cached, private=True)

    def _pin(self, prefix: CachedPrefix) -> None:
        prefix.pinned = True
        self._prefixes[prefix.program] = prefix
        if self._unpinned.pop(prefix.program, None) is not None:
            self._evictable_blocks -= prefix.blocks

    def _unpin(self, prefix: CachedPrefix) -> None:
        prefix.pinned = False
        self._unpinned[prefix.program] = prefix
        self._evictable_blocks += prefix.blocks

    def _take(self, prefix: CachedPrefix, blocks: int) -> None:
        wanted = blocks - prefix.blocks
        if wanted <= 0:
            return
        while self.free_blocks < wanted:
            self._evict(wanted - self.free_blocks)
        self.free_blocks -= wanted
        prefix.blocks += wanted

    def _evict(self, wanted: int) -> None:
        victim = next(iter(self._unpinned.values()))
        left = max(0, victim.blocks - wanted)
        self._evictable_blocks -= victim.blocks - left
        self._cut(victim, left * self.block_tokens)
        self._shrink(victim, left)
        if left == 0:
            self._forget(victim)
        self._on_event(CacheEventKind.EVICTED, victim.program, victim.tokens)

    def _cut(self, prefix: CachedPrefix, tokens: int) -> None:
        """Throw away what lies beyond `tokens`, counting what was never used."""
        if tokens >= prefix.tokens:
            return
        before = self._blocks_of(prefix.tokens)
        used = max(tokens, prefix.reused)
        self._counters.blocks_evicted += before - self._blocks_of(tokens)
        self._counters.blocks_evicted_unused += max(0, before - self._blocks_of(used))
        self._counters.tokens_evicted_unused += max(0, prefix.tokens - used)
        prefix.tokens = tokens
        prefix.reused = min(prefix.reused, tokens)
        self._shrink(prefix, self._blocks_of(tokens))

    def _shrink(self, prefix: CachedPrefix, blocks: int) -> None:
        if blocks < prefix.blocks:
            self.free_blocks += prefix.blocks - blocks
            prefix.blocks = blocks

    def _drop(self, prefix: CachedPrefix) -> int:
        blocks = prefix.blocks
        self._counters.tokens_released_unused += prefix.tokens - prefix.reused
        self._evictable_blocks -= blocks
        self._shrink(prefix, 0)
        self._forget(prefix)
        self._on_event(CacheEventKind.EVICTED, prefix.program, 0)
        return blocks

    def _forget(self, prefix: CachedPrefix) -> None:
        prefix.tokens = 0
        self._unpinned.pop(prefix.program, None)
        self._prefixes.pop(prefix.program, None)
