"""The prefix cache: hits, eviction order, and what counts as wasted."""

import pytest

from emulator.engine.counters import EngineCounters, FillHistory
from emulator.engine.prefix_cache import PrefixCache, prefix_chain
from notcharch.clients.ports import CacheEventKind
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import ProgramId

BLOCKS = 10
BLOCK_TOKENS = 10


class Cache:
    """A cache of 10 blocks of 10 tokens; a message "x" * 24 has 10 tokens."""

    def __init__(self):
        self.counters = EngineCounters()
        self.fills = FillHistory()
        self.events = []
        self.cache = PrefixCache(
            BLOCKS, BLOCK_TOKENS, self.counters, self.fills, self.hear
        )

    def hear(self, kind, program, tokens):
        self.events.append((kind, program, tokens))

    def hold(self, program, texts, answer=0):
        chain = prefix_chain([ChatMessage("user", text * 24) for text in texts])
        return self.cache.acquire(ProgramId(program), chain, answer), chain

    def run(self, program, texts):
        """Fill a program's prefix; gives the tokens that were there already."""
        hold, chain = self.hold(program, texts)
        self.cache.settle(hold, chain[-1].tokens, chain)
        return hold.cached

    def held(self):
        return self.cache.blocks_by_program()


# earlier prompts of the program, the next prompt, tokens spared
HITS = [
    ((), "ab", 0),
    (("ab",), "abc", 20),
    (("ab",), "ac", 10),
    (("ab",), "ba", 0),
    (("abc",), "ab", 19),  # at least one token is always prefilled
    (("ab", "ac"), "ab", 10),
]


@pytest.mark.parametrize(("earlier", "prompt", "spared"), HITS)
def test_a_hit_is_the_common_prefix(earlier, prompt, spared):
    cache = Cache()
    for texts in earlier:
        cache.run("p", texts)
    assert cache.run("p", prompt) == spared
    assert cache.run("other", prompt) == 0


def test_eviction_takes_the_least_recently_used_from_its_end():
    cache = Cache()
    cache.run("a", "1234")
    cache.run("b", "1234")
    cache.run("a", "12345")
    cache.run("c", "123")  # needs 3, 1 is free
    assert cache.held() == {"a": 5, "b": 2, "c": 3}
    assert cache.events[-2:] == [
        (CacheEventKind.EVICTED, "b", 20),
        (CacheEventKind.STORED, "c", 30),
    ]
    assert cache.run("b", "1234") == 20


def test_a_running_program_is_never_evicted():
    cache = Cache()
    hold, chain = cache.hold("a", "1234", answer=20)
    cache.run("b", "1234")
    assert cache.hold("c", "12345")[0] is None
    assert cache.held() == {"a": 6, "b": 4}
    cache.cache.settle(hold, 45, chain)
    assert cache.held() == {"a": 5, "b": 4}
    assert cache.hold("c", "12345")[0] is not None


# what happens to programs a, b, … before; counters: evicted blocks, unused blocks,
# unused tokens evicted, unused tokens released
WASTE = [
    ("fill only", [("a", "123")], (0, 0, 0, 0)),
    ("evicted unused", [("a", "1234"), ("b", "12345678")], (2, 2, 20, 0)),
    (
        "evicted after use",
        [("a", "123"), ("a", "1234"), ("b", "123456789")],
        (3, 1, 10, 0),
    ),
    ("another branch", [("a", "123"), ("a", "145")], (2, 2, 20, 0)),
    ("released", [("a", "12"), ("a", "123"), ("release", "a")], (0, 0, 0, 10)),
]


@pytest.mark.parametrize(("name", "steps", "counts"), WASTE)
def test_waste(name, steps, counts):
    cache = Cache()
    for program, texts in steps:
        if program == "release":
            cache.cache.release(ProgramId(texts))
        else:
            cache.run(program, texts)
    counters = cache.counters
    assert counts == (
        counters.blocks_evicted,
        counters.blocks_evicted_unused,
        counters.tokens_evicted_unused,
        counters.tokens_released_unused,
    )


def test_a_program_may_take_the_place_of_its_own_old_prefix():
    cache = Cache()
    cache.run("a", "12345678")
    assert cache.run("a", "1bcdefgh") == 10
    assert cache.held() == {"a": 8}


def test_release_is_idempotent_and_waits_for_a_running_request():
    cache = Cache()
    cache.run("a", "12")
    assert cache.cache.release(ProgramId("a")) == 2
    assert cache.cache.release(ProgramId("a")) == 0
    hold, chain = cache.hold("b", "12")
    assert cache.cache.release(ProgramId("b")) == 0
    assert cache.held() == {"b": 2}
    cache.cache.settle(hold, 20, chain)
    assert cache.held() == {}
    assert cache.cache.free_blocks == BLOCKS


def test_a_second_request_of_a_running_program_has_blocks_of_its_own():
    cache = Cache()
    cache.run("a", "12")
    first, first_chain = cache.hold("a", "123")
    second, second_chain = cache.hold("a", "124")
    assert (second.cached, cache.cache.free_blocks) == (20, 6)
    cache.cache.settle(second, 30, second_chain)
    cache.cache.settle(first, 30, first_chain)
    assert cache.held() == {"a": 3}
    assert cache.run("a", "1235") == 30


def test_tokens_filled_again_are_known_over_all_engines():
    fills = FillHistory()
    program = ProgramId("p")
    fills.note(program, 30)
    assert fills.refilled(program, 0, 50) == 30
    assert fills.refilled(program, 20, 50) == 10
    assert fills.refilled(program, 40, 50) == 0
