"""Membership under random faults, against what is really running."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from emulator.peers.faults import LinkFaults
from notcharch.clients.ports import MachineState
from tests.virtual_region.membership import ZONES, MembershipRegion, daemon_name

COUNT = 6
NAMES = [daemon_name(index) for index in range(COUNT)]
SETTLE_SECONDS = 60.0
DETECTION_SECONDS = 2 * COUNT + 1 + 4 + 3
"""Twice a round of probes, one period, the suspicion, and its spreading."""

names = st.sampled_from(NAMES)
seconds = st.floats(0.1, 15.0)


class MembershipMachine(RuleBasedStateMachine):
    """Daemons crash, restart and pause; links are cut, lossy and slow."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.region = MembershipRegion(COUNT, seed)
        self.paused = set()
        self.newest_seen = {}
        self.region.run(5)

    @precondition(lambda self: len(self.region.services) > 1)
    @rule(name=names, silent=st.booleans())
    def crash(self, name, silent):
        if name not in self.region.services:
            return
        self.paused.discard(name)
        if silent:
            self.region.crash(name)
        else:
            self.region.fabric.crash(name)
            del self.region.services[name]

    @rule(name=names)
    def restart(self, name):
        self.paused.discard(name)
        self.region.restart(name)

    @rule(name=names)
    def leave(self, name):
        """Stop as planned: the last word, then the end."""
        service = self.region.services.get(name)
        if service is None or name in self.paused or len(self.region.services) < 2:
            return
        service.announce_leaving()
        service.stop()
        self.region.crash(name)

    @rule(name=names)
    def list_gone(self, name):
        """Let the list say so, late, but only of machines that ended."""
        if name not in self.region.services:
            self.region.list_machine(name, MachineState.GONE)

    @rule(name=names)
    def list_leaving(self, name):
        if name in self.region.services:
            self.region.list_machine(name, MachineState.LEAVING)

    @rule(name=names)
    def pause(self, name):
        if name in self.region.services and len(self.paused) < 2:
            self.paused.add(name)
            self.region.fabric.pause(name)

    @rule(name=names)
    def resume(self, name):
        if name in self.paused:
            self.paused.discard(name)
            self.region.fabric.resume(name)

    @rule(zone=st.sampled_from(ZONES), one_way=st.booleans())
    def cut_zone(self, zone, one_way):
        inside = self.region.fabric.names_in(zone)
        outside = [name for name in NAMES if name not in inside]
        self.region.fabric.cut(inside, outside, one_way=one_way)

    @rule(source=names, destination=names, one_way=st.booleans())
    def cut_pair(self, source, destination, one_way):
        self.region.fabric.cut([source], [destination], one_way=one_way)

    @rule()
    def heal(self):
        self.region.fabric.heal()

    @rule(loss=st.floats(0, 0.4), duplication=st.floats(0, 0.5), delay=st.floats(0, 1))
    def worsen(self, loss, duplication, delay):
        faults = LinkFaults(loss, duplication, 0.5, 0.0, delay)
        self.region.fabric.plan.set_default(faults)

    @rule(seconds=seconds)
    def run(self, seconds):
        self.region.run(seconds)

    @invariant()
    def running_processes_are_never_certainly_dead(self):
        running = {self.region.fabric.daemon(n).member for n in self.region.services}
        for service in self.region.services.values():
            assert not any(service.is_certainly_dead(member) for member in running)

    @invariant()
    def no_view_goes_back_to_an_earlier_process(self):
        for name, service in self.region.services.items():
            watcher = self.region.fabric.daemon(name).member
            for entry in service.live_members():
                key = (watcher, entry.member.daemon)
                newest = self.newest_seen.get(key, entry.member)
                assert entry.member >= newest
                self.newest_seen[key] = entry.member

    def teardown(self):
        if not hasattr(self, "region"):
            return
        self.region.fabric.plan.clear()
        for name in tuple(self.paused):
            self.resume(name)
        self.region.run(SETTLE_SECONDS)
        assert self.region.differing() == []
        if len(self.region.services) > 1:
            self.region.crash(sorted(self.region.services)[0])
            self.region.run(DETECTION_SECONDS)
            assert self.region.differing() == []


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
