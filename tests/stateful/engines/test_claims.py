"""Stewards' claims: epochs increase even if the partition loses its state."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from notcharch.engines.claims import (
    ClaimEngine,
    DrainClaimedEngine,
    StewardClaimsState,
)
from notcharch.partitions.interface import Command, CommandRefused
from notcharch.values.identifiers import Epoch, Member

RUN = settings(max_examples=100, deadline=None, derandomize=True)
FIND = settings(RUN, phases=[Phase.generate], max_examples=2000)
ENGINES = st.sampled_from(["e1", "e2"])
MEMBERS = st.builds(Member, st.sampled_from(["a", "b"]), st.integers(1, 2))


class Claims(RuleBasedStateMachine):
    """Claims by restarting daemons, and replicas that are restored or rebuilt."""

    def __init__(self):
        super().__init__()
        self.state = StewardClaimsState()
        self.partition_epoch = 1
        self.greatest = {}
        self.holders = {}
        self.drained = {}

    @rule(engine=ENGINES, member=MEMBERS)
    def claim(self, engine, member):
        command = ClaimEngine(0.0, engine, member)
        claim = self.state.apply(command, Epoch(self.partition_epoch))
        assert claim.member == member
        if self.holders.get(engine) == member:
            assert claim.epoch == self.greatest[engine]
        else:
            assert claim.epoch > self.greatest.get(engine, 0)
        assert claim.drained == self.drained.get(engine, False)
        self.greatest[engine] = claim.epoch
        self.holders[engine] = member

    @rule(engine=ENGINES, drain=st.booleans())
    def drain(self, engine, drain):
        command = DrainClaimedEngine(0.0, engine, drain)
        claim = self.state.apply(command, Epoch(self.partition_epoch))
        assert claim.member == self.holders.get(engine)
        self.drained[engine] = drain

    @rule()
    def change_leader(self):
        self.partition_epoch += 1

    @rule()
    def restore(self):
        replica = StewardClaimsState()
        replica.restore(self.state.snapshot())
        assert replica.snapshot() == self.state.snapshot()
        self.state = replica

    @rule()
    def rebuild_without_any_claim(self):
        self.state = StewardClaimsState()
        self.partition_epoch += 1
        self.holders.clear()
        self.drained.clear()


def test_epochs_only_grow():
    run_state_machine_as_test(Claims, settings=RUN)


def test_commands_of_others_are_refused():
    result = StewardClaimsState().apply(Command(0.0), Epoch(1))
    assert isinstance(result, CommandRefused)


def forget_the_partitions_epoch(monkeypatch):
    def next_epoch(self, epoch):
        self._max_epoch += 1
        return self._max_epoch

    monkeypatch.setattr(StewardClaimsState, "_next_epoch", next_epoch)


def forget_the_greatest_epoch(monkeypatch):
    monkeypatch.setattr(
        StewardClaimsState, "_next_epoch", lambda self, epoch: epoch << 20
    )


def keep_the_epoch_of_another_process(monkeypatch):
    original = StewardClaimsState._claim

    def claim(self, command, epoch):
        old = self._claims.get(command.engine)
        made = original(self, command, epoch)
        if old is not None and old.member is not None:
            same_daemon = old.member.daemon == command.member.daemon
            return old if same_daemon else made
        return made

    monkeypatch.setattr(StewardClaimsState, "_claim", claim)


def lose_the_drain_with_the_steward(monkeypatch):
    original = StewardClaimsState._claim

    def claim(self, command, epoch):
        self._claims.pop(command.engine, None)
        return original(self, command, epoch)

    monkeypatch.setattr(StewardClaimsState, "_claim", claim)


BREAKS = [
    forget_the_partitions_epoch,
    forget_the_greatest_epoch,
    keep_the_epoch_of_another_process,
    lose_the_drain_with_the_steward,
]


@pytest.mark.parametrize("break_it", BREAKS)
def test_a_deliberate_break_is_caught(break_it, monkeypatch):
    break_it(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Claims, settings=FIND)
