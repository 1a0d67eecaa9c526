"""`FairQueue` compared with an oracle, and the properties of its order."""

import random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from notcharch.scheduling.calls import CallKey, Headroom, OrderPolicy, QueuedCall
from notcharch.scheduling.fair_queue import FairQueue, _Lane
from tests.stateful.engines.queue_oracle import QueueOracle

POLICY = OrderPolicy(lead_tokens=512)
RUN = settings(max_examples=60, stateful_step_count=50, deadline=None, derandomize=True)
# Without the shrink phase, which takes minutes: a break only has to be found.
FIND = settings(RUN, phases=[Phase.generate], max_examples=2000)
# Powers of two divide exactly, so the queue's floats equal the oracle's fractions.
SHARES = {"a": 1.0, "b": 2.0, "c": 0.5, "d": 4.0}
PRIORITIES = {"a": 5, "b": 5, "c": 0, "d": 9}


class QueueComparison(RuleBasedStateMachine):
    """Applies the same operations to both; every grant must be equal."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(POLICY)
        self.oracle = QueueOracle(POLICY)
        self.now = 0.0
        self.number = 0
        self.known = []
        self.granted = []

    @rule(
        service=st.sampled_from(sorted(SHARES)),
        attained=st.sampled_from([0, 100, 4096, 50_000, 10_000_000]),
        begun=st.booleans(),
        cost=st.sampled_from([1, 64, 1024, 4096]),
        changed=st.booleans(),
        large=st.booleans(),
    )
    def enqueue(self, service, attained, begun, cost, changed, large):  # noqa: PLR0917
        self.number += 1
        call = QueuedCall(
            key=CallKey(f"p{self.number}", 1, 1),
            service=service,
            share=SHARES[service] * (2 if changed else 1),
            priority=PRIORITIES[service],
            attained_tokens=attained,
            begun=begun,
            cost_tokens=cost,
            enqueued_at=self.now,
            needs_headroom=large,
        )
        self.known.append(call)
        self.queue.enqueue(call)
        self.oracle.enqueue(call)

    @precondition(lambda self: self.known)
    @rule(choice=st.integers(0, 1000))
    def cancel(self, choice):
        key = self.known[choice % len(self.known)].key
        self.queue.cancel(key)
        self.oracle.cancel(key)

    @precondition(lambda self: self.known)
    @rule(choice=st.integers(0, 1000))
    def enqueue_again(self, choice):
        call = self.known[choice % len(self.known)]
        self.queue.enqueue(call)
        self.oracle.enqueue(call)

    @rule(headroom=st.sampled_from(Headroom))
    def grant(self, headroom):
        expected = self.oracle.grant(headroom)
        assert self.queue.grant(headroom) == expected
        if expected is not None:
            self.granted.append(expected)

    @precondition(lambda self: self.granted)
    @rule(used=st.sampled_from([0, 32, 2048]))
    def settle(self, used):
        call = self.granted.pop()
        self.queue.correct_charge(call, used)
        self.oracle.correct_charge(call, used)

    @rule(seconds=st.sampled_from([0.0, 0.5, 3.0, 20.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @invariant()
    def the_same_calls_wait(self):
        assert len(self.queue) == len(self.oracle.calls)
        waiting = {call.key for call in self.queue.waiting()}
        assert waiting == {call.key for call in self.oracle.calls}

    @invariant()
    def the_estimate_is_exact_within_a_lone_service(self):
        services = {call.service for call in self.oracle.calls}
        if len(services) != 1:
            return
        ahead = sorted(self.queue.calls_ahead(call) for call in self.oracle.calls)
        assert ahead == list(range(len(self.oracle.calls)))

    def teardown(self):
        for headroom in (Headroom.FOR_NONE, Headroom.FOR_SERVICES_BEHIND):
            while (expected := self.oracle.grant(headroom)) is not None:
                assert self.queue.grant(headroom) == expected
            assert self.queue.grant(headroom) is None
        while self.oracle.calls:
            assert self.queue.grant() == self.oracle.grant()
        assert self.queue.grant() is None


def test_the_queue_agrees_with_the_oracle():
    run_state_machine_as_test(QueueComparison, settings=RUN)


def forget_priority(monkeypatch):
    monkeypatch.setattr(
        FairQueue,
        "_next_lane",
        lambda self, headroom: min(
            (lane for lane in self._lanes.values() if self._places_of(lane, headroom)),
            key=lambda lane: (lane.virtual_time, lane.service),
            default=None,
        ),
    )


def let_priority_win_always(monkeypatch):
    def first_level(self, headroom):
        firsts = [self._first(self._levels[p], headroom) for p in sorted(self._levels)]
        return next((lane for lane in firsts if lane is not None), None)

    monkeypatch.setattr(FairQueue, "_next_lane", first_level)


def ignore_attained_service(monkeypatch):
    monkeypatch.setattr(
        FairQueue,
        "_place_of",
        _place_with(lambda policy, call: 0.0 if call.begun else 10.0),
    )


def ignore_begun(monkeypatch):
    monkeypatch.setattr(
        FairQueue,
        "_place_of",
        _place_with(
            lambda policy, call: policy.delay_seconds(call.attained_tokens, True)
        ),
    )


def _place_with(delay):
    from notcharch.scheduling import fair_queue

    def place(self, call):
        self._arrivals += 1
        order = call.enqueued_at + delay(self._policy, call)
        return fair_queue._Place(order, self._arrivals, call.key)

    return place


def forget_the_share(monkeypatch):
    monkeypatch.setattr(_Lane, "share", 1.0, raising=False)
    monkeypatch.setattr(_Lane, "__setattr__", _without_share)


def _without_share(lane, name, value):
    object.__setattr__(lane, name, 1.0 if name == "share" else value)


def keep_credit_while_idle(monkeypatch):
    original = FairQueue.enqueue

    def enqueue(self, call):
        lane = self._lanes.get(call.service)
        before = lane.virtual_time if lane else 0.0
        original(self, call)
        lane = self._lanes[call.service]
        self._unlist(lane)
        lane.virtual_time = before
        self._list(lane)

    monkeypatch.setattr(FairQueue, "enqueue", enqueue)


def never_settle(monkeypatch):
    monkeypatch.setattr(FairQueue, "correct_charge", lambda self, call, used: None)


def lose_a_cancel(monkeypatch):
    monkeypatch.setattr(FairQueue, "cancel", lambda self, key: None)


def grant_without_room(monkeypatch):
    original = FairQueue.grant
    monkeypatch.setattr(FairQueue, "grant", lambda self, headroom=None: original(self))


def give_services_ahead_room(monkeypatch):
    original = FairQueue._places_of

    def places(self, lane, headroom):
        behind = headroom is Headroom.FOR_SERVICES_BEHIND
        return original(self, lane, Headroom.FOR_ALL if behind else headroom)

    monkeypatch.setattr(FairQueue, "_places_of", places)


def let_who_needs_room_block_its_service(monkeypatch):
    original = FairQueue._first

    def first(self, level, headroom):
        lane = original(self, level, Headroom.FOR_ALL)
        return lane if lane is not None and self._places_of(lane, headroom) else None

    monkeypatch.setattr(FairQueue, "_first", first)


BREAKS = [
    forget_priority,
    let_priority_win_always,
    ignore_attained_service,
    ignore_begun,
    forget_the_share,
    keep_credit_while_idle,
    never_settle,
    lose_a_cancel,
    grant_without_room,
    give_services_ahead_room,
    let_who_needs_room_block_its_service,
]


@pytest.mark.parametrize("break_it", BREAKS)
def test_a_deliberate_break_is_caught(break_it, monkeypatch):
    break_it(monkeypatch)
    with pytest.raises(Exception):  # noqa: B017
        run_state_machine_as_test(QueueComparison, settings=FIND)


def call(number, service="a", share=1.0, **fields):
    values = {
        "priority": 5,
        "attained_tokens": 0,
        "begun": True,
        "cost_tokens": 1000,
        "enqueued_at": 0.0,
        **fields,
    }
    return QueuedCall(
        key=CallKey(f"{service}{number}", 1, 1), service=service, share=share, **values
    )


@pytest.mark.parametrize("priority", [5, 0, 9])
def test_tokens_follow_the_shares_whatever_the_priority(priority):
    queue = FairQueue(OrderPolicy())
    chance = random.Random(4)
    for number in range(3000):
        cost = chance.randint(1, 4000)
        queue.enqueue(call(number, "a", 1.0, cost_tokens=cost))
        queue.enqueue(call(number, "b", 3.0, cost_tokens=cost, priority=priority))
    tokens = {"a": 0, "b": 0}
    for _ in range(3000):
        granted = queue.grant()
        tokens[granted.service] += granted.cost_tokens
    assert tokens["b"] / tokens["a"] == pytest.approx(3.0, rel=0.05)


def test_nothing_is_overtaken_by_calls_that_came_long_after_it():
    policy = OrderPolicy()
    queue = FairQueue(policy)
    oldest = call(0, begun=False, attained_tokens=10**9)
    queue.enqueue(oldest)
    now = 0.0
    while oldest.key in queue:
        now += 0.1
        queue.enqueue(call(round(now * 10), enqueued_at=now))
        queue.grant()
        assert now < 2 * policy.greatest_delay_seconds
    assert now <= policy.greatest_delay_seconds + 0.2


def test_a_begun_program_goes_before_a_new_one_that_came_earlier():
    queue = FairQueue(OrderPolicy())
    queue.enqueue(call(1, begun=False, enqueued_at=0.0))
    queue.enqueue(call(2, begun=True, attained_tokens=100_000, enqueued_at=1.0))
    assert queue.grant().begun


def test_a_service_that_was_idle_does_not_save_up_its_share():
    queue = FairQueue(OrderPolicy(lead_tokens=0))
    for number in range(100):
        queue.enqueue(call(number, "a"))
    for _ in range(50):
        queue.grant()
    for number in range(50):
        queue.enqueue(call(number, "b"))
    services = [queue.grant().service for _ in range(20)]
    assert services.count("a") == 10


def test_idle_services_are_forgotten():
    queue = FairQueue(OrderPolicy())
    for number in range(1000):
        queue.enqueue(call(1, f"s{number}", cost_tokens=0))
        queue.grant()
    assert len(queue._lanes) < 50
