"""No daemon accepts a key later than the bound after its acknowledged removal.

The oracle knows only when each removal was acknowledged.
"""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from result import Ok

from emulator.services.partitioned_log import Trouble
from notcharch.platform.tables import PlatformTables
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.freshness_exchange import TableFreshnessExchange
from tests.stateful.runs import RUN, assert_caught
from tests.stateful.tenants.revocation_world import (
    CONTACT_SECONDS,
    KEYS,
    REVOKE_SECONDS,
    STEP_SECONDS,
    RevocationWorld,
)

DAEMONS = 3
daemons = st.integers(0, DAEMONS - 1)


class RevocationMachine(RuleBasedStateMachine):
    """An operator, faulty daemons, and callers with every key."""

    def __init__(self) -> None:
        super().__init__()
        self.world = RevocationWorld(DAEMONS)
        self.keys = set(KEYS)
        self.removed_at: dict[str, float] = {}
        self.asleep: set[int] = set()

    def daemon(self, number: int):
        return self.world.daemons[self.world.names[number]]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.world.run(STEP_SECONDS)
            self.check()

    def check(self) -> None:
        now = self.world.clock.seconds()
        for number in set(range(DAEMONS)) - self.asleep:
            for key, removed_at in self.removed_at.items():
                if now - removed_at > REVOKE_SECONDS:
                    assert not self.daemon(number).accepts(key), (number, key)

    @rule(key=st.sampled_from(KEYS))
    def remove(self, key):
        if key in self.keys:
            self.keys.discard(key)
            self.world.publish(sorted(self.keys))
            self.removed_at[key] = self.world.clock.seconds()

    @rule(key=st.sampled_from(KEYS))
    def add(self, key):
        if key not in self.keys:
            self.keys.add(key)
            self.removed_at.pop(key)
            self.world.publish(sorted(self.keys))

    @rule(daemon=daemons, is_refused=st.booleans())
    def refuse(self, daemon, is_refused):
        self.world.logs[self.world.names[daemon]].is_refused = is_refused

    @rule(trouble=st.sampled_from(list(Trouble)))
    def trouble(self, trouble):
        self.world.log.trouble = trouble

    @rule()
    def drop_history(self):
        topic = self.world.log.partition("keyed.op", 0)
        topic.drop_before(topic.end - 1)

    @rule(daemon=daemons)
    def sleep(self, daemon):
        if daemon not in self.asleep:
            self.world.fabric.pause(self.world.names[daemon])
            self.asleep.add(daemon)

    @rule(daemon=daemons)
    def wake(self, daemon):
        if daemon in self.asleep:
            self.asleep.discard(daemon)
            self.check()
            self.world.fabric.resume(self.world.names[daemon])
            self.check()

    @rule(daemon=daemons, silent=st.booleans())
    def restart(self, daemon, silent):
        self.asleep.discard(daemon)
        self.world.crash(self.world.names[daemon], silent=silent)
        self.world.start(self.world.names[daemon])

    @rule(pairs=st.sets(st.tuples(daemons, daemons), max_size=4), one_way=st.booleans())
    def cut(self, pairs, one_way):
        self.world.fabric.heal()
        for source, destination in pairs:
            names = self.world.names
            if source != destination:
                self.world.fabric.cut(
                    [names[source]], [names[destination]], one_way=one_way
                )

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 6.0]))
    def wait(self, seconds):
        self.run(seconds)

    @rule()
    def all_is_well_again(self):
        """Without faults, each valid key is accepted everywhere."""
        self.world.log.trouble = Trouble.NONE
        self.world.fabric.heal()
        for number in range(DAEMONS):
            self.wake(number)
            self.refuse(number, is_refused=False)
        self.run(6.0)
        for number in range(DAEMONS):
            for key in KEYS:
                assert self.daemon(number).accepts(key) is (key in self.keys)


def test_no_removed_key_works_for_longer_than_the_bound():
    run_state_machine_as_test(RevocationMachine, settings=RUN)


def a_refused_daemon_meets_a_revocation(seconds: float = 12.0) -> RevocationMachine:
    """Refuse one daemon and remove a key, checking all keys meanwhile."""
    machine = RevocationMachine()
    machine.refuse(0, is_refused=True)
    machine.run(1.0)
    machine.remove("k0")
    machine.run(seconds)
    return machine


def test_a_refused_daemon_learns_of_a_removal_and_goes_on():
    machine = a_refused_daemon_meets_a_revocation()
    assert machine.daemon(0).accepts("k1")
    assert not machine.daemon(0).accepts("k0")


def test_a_daemon_without_store_and_peers_stops_judging_keys():
    machine = RevocationMachine()
    machine.refuse(0, is_refused=True)
    machine.cut({(0, 1), (0, 2)}, one_way=False)
    machine.remove("k0")
    machine.run(CONTACT_SECONDS + REVOKE_SECONDS)
    assert not machine.daemon(0).accepts("k1")


def test_a_daemon_that_slept_through_a_removal_doesnt_let_the_key_in():
    machine = RevocationMachine()
    machine.sleep(0)
    machine.remove("k0")
    machine.run(7.0)
    machine.wake(0)
    machine.run(1.0)


def test_answers_that_waited_while_a_daemon_slept_prove_nothing_late():
    machine = RevocationMachine()
    machine.run(0.5)
    machine.sleep(0)
    machine.run(4.0)
    machine.remove("k0")
    machine.run(5.5)
    machine.wake(0)
    machine.run(0.2)


def test_daemons_that_are_all_refused_do_not_keep_each_other_going():
    machine = RevocationMachine()
    machine.trouble(Trouble.REFUSE)
    machine.run(1.0)
    machine.remove("k0")
    machine.run(12.0)
    assert not machine.daemon(0).accepts("k1")


def confirmations_never_age(monkeypatch):
    monkeypatch.setattr(TableFreshness, "age", lambda *_: 0.0)


def a_confirmation_counts_from_its_response(monkeypatch):
    def confirmed(self, at):
        self._freshness.confirm(self._read_version, self._clock.seconds())

    monkeypatch.setattr(PlatformTables, "_on_configuration_confirmed", confirmed)


def peers_confirmations_do_not_age(monkeypatch):
    def on_reply(self, reply, peer, sent_at):
        self._is_requesting = False
        if isinstance(reply, Ok):
            self._freshness.confirm(reply.ok_value.version, sent_at)

    monkeypatch.setattr(TableFreshnessExchange, "_on_reply", on_reply)


def a_confirmation_of_another_version_counts(monkeypatch):
    def on_reply(self, reply, peer, sent_at):
        self._is_requesting = False
        if isinstance(reply, Ok):
            self._freshness.confirm(self._freshness.version, sent_at)

    monkeypatch.setattr(TableFreshnessExchange, "_on_reply", on_reply)


BREAKS = [
    (confirmations_never_age, test_a_daemon_without_store_and_peers_stops_judging_keys),
    (
        a_confirmation_counts_from_its_response,
        test_answers_that_waited_while_a_daemon_slept_prove_nothing_late,
    ),
    (
        peers_confirmations_do_not_age,
        test_daemons_that_are_all_refused_do_not_keep_each_other_going,
    ),
    (a_confirmation_of_another_version_counts, a_refused_daemon_meets_a_revocation),
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)
