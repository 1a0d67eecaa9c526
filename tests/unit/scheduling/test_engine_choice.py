"""The cost of staying, refilling and moving, and the steps of a choice."""

import random
from collections import Counter

import pytest

from notcharch.scheduling.engine_choice import (
    ChoiceKind,
    ChoicePolicy,
    EngineOption,
    choose_engine,
)
from notcharch.scheduling.engine_chooser import (
    MAX_STEPS,
    NO_LIMIT_SECONDS,
    EngineChooser,
    NoEngineAvailable,
    RequestGrant,
    RequestQuotes,
)
from notcharch.scheduling.engine_pool import EnginePool

MOVING = ChoicePolicy(move_tokens_per_second=10_000.0, move_overhead_seconds=0.1)
STAYING = ChoicePolicy()

# Wait and cached tokens of the holder, wait of the other engine, policy, choice.
# Prompts have 10,000 tokens and engines compute 1,000 tokens per second.
COSTS = {
    "stay while the wait is short": (1.0, 9000, 0.0, STAYING, ("a", ChoiceKind.STAY)),
    "stay while refilling costs more": (
        8.9,
        9000,
        0.0,
        STAYING,
        ("a", ChoiceKind.STAY),
    ),
    "refill when waiting costs more": (
        9.1,
        9000,
        0.0,
        STAYING,
        ("b", ChoiceKind.REFILL),
    ),
    "move when that beats both": (5.0, 9000, 0.0, MOVING, ("b", ChoiceKind.MOVE)),
    "stay when moving costs more": (0.9, 9000, 0.0, MOVING, ("a", ChoiceKind.STAY)),
    "refill rather than move a little": (
        5.0,
        50,
        0.0,
        MOVING,
        ("b", ChoiceKind.REFILL),
    ),
    "nothing cached: the shorter wait": (2.0, 0, 1.0, MOVING, ("b", ChoiceKind.STAY)),
}


@pytest.mark.parametrize(
    ("wait", "cached", "other_wait", "policy", "expected"),
    COSTS.values(),
    ids=COSTS.keys(),
)
def test_costs(wait, cached, other_wait, policy, expected):
    options = [
        EngineOption("a", wait, 1000.0, cached),
        EngineOption("b", other_wait, 1000.0, 0),
    ]
    choice = choose_engine(
        options, prompt_tokens=10_000, holder="a", held_tokens=cached, policy=policy
    )
    assert (choice.engine, choice.kind) == expected


def test_the_runner_up_is_the_second_best_cost():
    options = [EngineOption("a", 1.0, 1000.0), EngineOption("b", 3.0, 1000.0)]
    choice = choose_engine(
        options, prompt_tokens=0, holder=None, held_tokens=0, policy=STAYING
    )
    assert (choice.cost_seconds, choice.runner_up_seconds) == (1.0, 3.0)


@pytest.mark.parametrize("size", [3, 16, 100])
def test_two_different_engines_are_sampled_evenly(size):
    chance = random.Random(1)
    engines = [f"e{number}" for number in range(size)]
    pool = EnginePool(engines)
    drawn = [pool.sample(2, {"e0"}.__contains__, chance) for _ in range(50 * size)]
    assert all(len(set(sample)) == 2 for sample in drawn)
    counts = Counter(engine for sample in drawn for engine in sample)
    assert set(counts) == set(engines[1:])
    assert max(counts.values()) < 2 * min(counts.values())


@pytest.mark.parametrize("size", [1, 100])
def test_the_last_engine_that_is_not_excluded_is_found(size):
    pool = EnginePool(f"e{number}" for number in range(size))
    only = f"e{size - 1}"
    sample = pool.sample(2, lambda engine: engine != only, random.Random(1))
    assert sample == (only,)


def chooser(holder=None, cached=0):
    return EngineChooser(
        prompt_tokens=1000,
        cached_tokens=cached,
        holder=holder,
        prefill_tokens_per_second=1000.0,
        policy=STAYING,
        chance=random.Random(1),
    )


def quote_all(choice, step, waits):
    for engine in step.engines:
        choice.learn_quote(EngineOption(engine, waits[engine], 1000.0))


WAITS = {"a": 1.0, "b": 2.0, "c": 3.0}
ALL = EnginePool(WAITS)
TWO = EnginePool(["a", "b"])


def test_the_holder_is_asked_before_any_quote():
    step = chooser("b", 800).next_step(ALL)
    assert step == RequestGrant("b", 0.8)


def test_a_holder_that_is_not_usable_is_skipped():
    step = chooser("z", 800).next_step(ALL)
    assert isinstance(step, RequestQuotes)


def test_a_deferring_holder_competes_with_two_others():
    choice = chooser("b", 800)
    choice.next_step(ALL)
    choice.learn_deferred("b", 1.5)
    quotes = choice.next_step(ALL)
    assert set(quotes.engines) == {"a", "c"}
    quote_all(choice, quotes, {"a": 5.0, "c": 5.0})
    assert choice.next_step(ALL).engine == "b"


def test_an_unusable_choice_is_replaced():
    choice = chooser()
    quotes = choice.next_step(TWO)
    quote_all(choice, quotes, WAITS)
    assert choice.next_step(TWO).engine == "a"
    choice.learn_unusable("a")
    assert choice.next_step(TWO).engine == "b"
    choice.learn_unusable("b")
    assert choice.next_step(TWO) == NoEngineAvailable(None)
    choice.forget_unusable()
    assert isinstance(choice.next_step(TWO), RequestQuotes)


def test_when_all_are_overloaded_the_earliest_retry_time_is_returned():
    choice = chooser()
    choice.next_step(TWO)
    choice.learn_overloaded("a", 9.0)
    choice.learn_overloaded("b", 4.0)
    assert choice.next_step(TWO) == NoEngineAvailable(4.0)
    choice.forget_unusable()
    assert choice.next_step(TWO) == NoEngineAvailable(4.0)


def test_a_call_that_everyone_defers_is_waited_for_in_the_end():
    choice = chooser("a", 800)
    limits = []
    while len(limits) < 5:
        step = choice.next_step(EnginePool(["a"]))
        if isinstance(step, RequestGrant):
            limits.append(step.defer_above_seconds)
            choice.learn_deferred("a", 10.0 * len(limits))
    assert limits[-1] == NO_LIMIT_SECONDS


def test_a_choice_ends_whatever_the_answers_are():
    choice = chooser()
    engines = EnginePool(f"e{number}" for number in range(1000))
    steps = []
    while not steps or not isinstance(steps[-1], NoEngineAvailable):
        steps.append(choice.next_step(engines))
        for engine in getattr(steps[-1], "engines", ()):
            choice.learn_unusable(engine)
    assert len(steps) == MAX_STEPS + 1
