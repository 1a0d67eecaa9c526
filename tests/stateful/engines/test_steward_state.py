"""A steward replies to every call once and grants no slot twice."""

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

from notcharch.clients.ports import EngineLoad, MachineState
from notcharch.engines.grants import GrantTable
from notcharch.engines.steward_state import StewardState, key_of
from notcharch.engines.waiting_calls import WaitingCalls
from notcharch.errors import Problem, ProblemCode
from notcharch.scheduling.breaker import BreakerPolicy
from notcharch.scheduling.calls import CallKey, OrderPolicy
from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import Epoch, Member
from notcharch.wire.messages.base import Refusal
from notcharch.wire.messages.engines import CallDeferred, CallGranted, EnqueueCall

SLOTS = 3
RUN = settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
)
# Generated examples depend on the loaded modules, so a break gets many examples.
FIND = settings(RUN, max_examples=2000)
GATEWAYS = [Member("a", 1), Member("b", 1)]
RARELY = st.sampled_from([False, False, False, False, True])
"""Faults are rare, as otherwise few calls would be granted."""

MOSTLY = RARELY.map(lambda rare: not rare)
USAGE = TokenUsage(100, 20, 50)
MOVED = Problem.of(ProblemCode.NOT_STEWARD, "moved")


class Steward(RuleBasedStateMachine):
    """Calls, returns, withdrawals, deaths, drains and superseded claims in any order."""

    def __init__(self):
        super().__init__()
        self.state = StewardState(
            engine="e1",
            instance="1",
            address="e1:1",
            slots=SLOTS,
            queue_limit=6,
            order_policy=OrderPolicy(),
            breaker_policy=BreakerPolicy(failures_to_open=2),
        )
        self.now = 100.0
        self.number = 0
        self.sequence = 0
        self.closed = False
        self.requests = {}
        self.waiting = {}
        """Deadlines of the calls without a reply."""
        self.granted = {}
        """Requests of the outstanding grants."""
        self.withdrawn = set()
        self.set_claim(True)

    def check_replies(self, replies):
        """Check replies, and record the grants."""
        for call_reply in replies:
            if isinstance(call_reply.reply, CallGranted):
                self.check_grant(call_reply)
            else:
                assert isinstance(call_reply.reply, CallDeferred | Refusal)
            self.waiting.pop(call_reply.key, None)

    def check_grant(self, call_reply):
        grant = call_reply.reply.grant
        if grant in self.granted:
            assert key_of(self.granted[grant]) == call_reply.key, "a grant given twice"
            return
        assert not self.closed, "a grant on a closed engine"
        assert call_reply.reply.steward_epoch == self.state.epoch, (
            "a grant without a claim"
        )
        assert call_reply.key in self.waiting, "a grant for nobody"
        assert call_reply.key not in self.withdrawn, "a grant for a withdrawn call"
        self.granted[grant] = self.requests[call_reply.key]

    @rule(
        gateway=st.sampled_from(GATEWAYS),
        count=st.integers(1, 5),
        give_up=st.sampled_from([4.0, 30.0]),
        defer=st.sampled_from([0.5, 1e9]),
        begun=st.booleans(),
    )
    def enqueue(self, gateway, count, give_up, defer, begun):
        for _ in range(count):
            self.enqueue_one(gateway, give_up, defer, begun)

    def enqueue_one(self, gateway, give_up, defer, begun):
        self.number += 1
        request = EnqueueCall(
            engine="e1",
            program=f"p{self.number}",
            sequence=1,
            attempt=1,
            service=f"s{self.number % 3}",
            gateway=gateway,
            share=1.0,
            priority=5,
            attained_tokens=0,
            prompt_tokens=100,
            cached_tokens=0,
            max_tokens=50,
            defer_above_seconds=defer,
            give_up_seconds=give_up,
            begun=begun,
        )
        self.send(request)

    def send(self, request):
        key = key_of(request)
        self.requests[key] = request
        self.waiting.setdefault(key, self.now + request.give_up_seconds)
        self.check_replies(self.state.enqueue(request, self.now))

    @precondition(lambda self: self.requests)
    @rule(choice=st.integers(0, 1000))
    def enqueue_again(self, choice):
        requests = list(self.requests.values())
        self.send(requests[choice % len(requests)])

    @precondition(lambda self: self.granted)
    @rule(choice=st.integers(0, 1000), succeeded=MOSTLY, twice=st.booleans())
    def take_back(self, choice, succeeded, twice):
        grant = list(self.granted)[choice % len(self.granted)]
        del self.granted[grant]
        for _ in range(2 if twice else 1):
            self.check_replies(
                self.state.complete_grant(grant, USAGE, succeeded, self.now)
            )

    @precondition(lambda self: self.requests)
    @rule(choice=st.integers(0, 1000))
    def withdraw(self, choice):
        key = list(self.requests)[choice % len(self.requests)]
        self.withdrawn.add(key)
        self.granted = {g: r for g, r in self.granted.items() if key_of(r) != key}
        self.check_replies(self.state.withdraw(key, self.now))
        assert key not in self.waiting

    @rule(gateway=st.sampled_from(GATEWAYS))
    def gateway_dies(self, gateway):
        self.granted = {g: r for g, r in self.granted.items() if r.gateway != gateway}
        self.check_replies(self.state.free_gateway(gateway, self.now))
        assert all(self.requests[key].gateway != gateway for key in self.waiting)

    @rule(leaving=RARELY, draining=RARELY)
    def close_or_open(self, leaving, draining):
        self.closed = leaving or draining
        self.check_replies(self.state.set_closed(leaving, draining, self.now))
        assert not (self.closed and self.waiting), "a closed engine kept its queue"

    @rule(held=MOSTLY)
    def set_claim(self, held):
        self.state.set_epoch(Epoch(7) if held else None, self.now)
        self.check_replies(self.state.grant_ready(self.now))

    @rule()
    def move_away(self):
        self.check_replies(self.state.refuse_all_waiting(MOVED))
        assert not self.waiting

    @rule(seconds=st.sampled_from([0.1, 1.0, 6.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.check_replies(self.state.refuse_expired(self.now))

    @rule(foreign=st.integers(0, 2), failed=RARELY)
    def read_load(self, foreign, failed):
        if failed:
            self.check_replies(self.state.load_failed(self.now))
        else:
            self.report(len(self.granted) + foreign)

    def report(self, running):
        self.sequence += 1
        report = EngineLoad(
            sequence=self.sequence,
            measured_at=self.now,
            running=running,
            waiting=0,
            slots=SLOTS,
            free_blocks=100,
            total_blocks=100,
            block_tokens=1000,
            prefill_tokens_per_second=1000.0,
            decode_seconds_per_token=0.01,
            state=MachineState.LIVE,
        )
        self.check_replies(self.state.learn_load(report, self.now))

    @invariant()
    def no_more_grants_than_slots(self):
        assert len(self.granted) <= SLOTS, "more grants than slots"
        assert self.state.granted == len(self.granted)

    @invariant()
    def everyone_without_an_answer_waits(self):
        assert self.state.queued == len(self.waiting)

    @invariant()
    def nobody_waits_after_the_deadline(self):
        assert all(deadline > self.now for deadline in self.waiting.values())

    def teardown(self):
        """After the faults, every waiting call gets a reply."""
        self.set_claim(True)
        self.close_or_open(False, False)
        for _ in range(70):
            self.now += 1.0
            self.report(len(self.granted))
            self.check_replies(self.state.refuse_expired(self.now))
            for grant in tuple(self.granted):
                del self.granted[grant]
                self.check_replies(
                    self.state.complete_grant(grant, USAGE, True, self.now)
                )
        assert not self.waiting
        assert self.state.accepting(self.now)


def test_every_call_gets_one_answer():
    run_state_machine_as_test(Steward, settings=RUN)


def grant_without_a_claim(monkeypatch):
    monkeypatch.setattr(
        StewardState,
        "_may_grant",
        lambda self, now: self.load.free_slots > 0 and self.accepting(now),
    )


def grant_on_a_closed_engine(monkeypatch):
    monkeypatch.setattr(StewardState, "accepting", lambda self, now: True)


def ignore_the_slots(monkeypatch):
    monkeypatch.setattr(
        StewardState,
        "_may_grant",
        lambda self, now: self.epoch is not None and self.accepting(now),
    )


def forget_withdrawals(monkeypatch):
    original = StewardState.withdraw

    def withdraw(self, key, now):
        replies = original(self, key, now)
        self._withdrawn.clear()
        return replies

    monkeypatch.setattr(StewardState, "withdraw", withdraw)


def keep_the_grant_of_a_withdrawn_call(monkeypatch):
    original = StewardState.withdraw

    def withdraw(self, key, now):
        if self._grants.of_call(key) is not None:
            return ()
        return original(self, key, now)

    monkeypatch.setattr(StewardState, "withdraw", withdraw)


def keep_calls_after_their_deadline(monkeypatch):
    monkeypatch.setattr(WaitingCalls, "remove_expired", lambda self, now: ())


def forget_what_a_dead_gateway_holds(monkeypatch):
    monkeypatch.setattr(GrantTable, "of_gateway", lambda self, gateway: ())


def drop_a_call_without_an_answer(monkeypatch):
    original = StewardState.refuse_all_waiting
    monkeypatch.setattr(
        StewardState,
        "refuse_all_waiting",
        lambda self, problem: original(self, problem)[1:],
    )


def free_a_slot_twice(monkeypatch):
    original = GrantTable.remove

    def remove(self, identifier):
        grant = original(self, identifier)
        if grant is None and self._by_id:
            return original(self, next(iter(self._by_id)))
        return grant

    monkeypatch.setattr(GrantTable, "remove", remove)


BREAKS = [
    grant_without_a_claim,
    grant_on_a_closed_engine,
    ignore_the_slots,
    forget_withdrawals,
    keep_the_grant_of_a_withdrawn_call,
    keep_calls_after_their_deadline,
    forget_what_a_dead_gateway_holds,
    drop_a_call_without_an_answer,
    free_a_slot_twice,
]


@pytest.mark.parametrize("break_it", BREAKS)
def test_a_deliberate_break_is_caught(break_it, monkeypatch):
    break_it(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Steward, settings=FIND)


def test_a_withdrawal_is_remembered_for_a_while_only():
    machine = Steward()
    machine.state.withdraw(CallKey("p1", 1, 1), 0.0)
    machine.state.refuse_expired(121.0)
    assert machine.state._withdrawn == {}


def repeat_a_waiting_call():
    """Return the calls still waiting after one is repeated before its deadline."""
    machine = Steward()
    machine.enqueue(GATEWAYS[0], SLOTS, 30.0, 1e9, True)
    machine.enqueue_one(GATEWAYS[0], 4.0, 1e9, True)
    machine.pass_time(3.0)
    machine.enqueue_again(SLOTS)
    machine.pass_time(1.0)
    return machine.waiting


def test_a_repeated_request_keeps_its_deadline():
    assert repeat_a_waiting_call() == {}


def test_a_repeat_that_is_queued_again_is_noticed(monkeypatch):
    monkeypatch.setattr(WaitingCalls, "__contains__", lambda self, key: False)
    assert repeat_a_waiting_call() != {}
