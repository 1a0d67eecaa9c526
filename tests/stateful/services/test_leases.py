"""Slot leases never exceed the concurrency limit, and freed slots are reused."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.stateful.services.lease_world import (
    DRIFT,
    LEASE_SECONDS,
    SLOTS,
    LeaseWorld,
)

RUN = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
)


class Leases(RuleBasedStateMachine):
    """Daemons acquire, release, pause and crash; messages arrive in any order."""

    def __init__(self):
        super().__init__()
        self.world = LeaseWorld()

    def process(self, number):
        return self.world.processes[number]

    @rule(number=st.integers(0, 2))
    def acquire(self, number):
        process = self.process(number)
        if not process.paused and len(process.waiting) < 4:
            self.world.acquire(process)

    @rule(number=st.integers(0, 2))
    def release(self, number):
        process = self.process(number)
        if process.runs and not process.paused:
            self.world.release(process)

    @rule(number=st.integers(0, 2))
    def tick(self, number):
        if not self.process(number).paused:
            self.world.tick(self.process(number))

    @rule(number=st.integers(0, 2))
    def pause_or_wake(self, number):
        process = self.process(number)
        if process.paused:
            self.world.resume(process)
        else:
            process.paused = True

    @rule(number=st.integers(0, 2))
    def crash(self, number):
        self.world.crash(self.process(number))

    @rule(number=st.integers(0, 2))
    def time_out(self, number):
        if not self.process(number).paused:
            self.world.time_out(self.process(number))

    @precondition(lambda self: self.world.packets)
    @rule(choice=st.integers(0, 1000), fate=st.sampled_from(["once", "twice", "lost"]))
    def deliver(self, choice, fate):
        packets = self.world.packets
        packet = packets[choice % len(packets)]
        if fate != "twice":
            packets.remove(packet)
        if fate != "lost":
            self.world.deliver(packet)

    @precondition(lambda self: self.world.packets)
    @rule()
    def deliver_all(self):
        packets, self.world.packets = self.world.packets, []
        for packet in packets:
            self.world.deliver(packet)

    @rule(
        offset=st.sampled_from([0.0, -500.0, 500.0]),
        rate=st.sampled_from([0.0, DRIFT, -DRIFT]),
    )
    def change_leader(self, offset, rate):
        self.world.change_leader(offset, rate)

    @rule(number=st.integers(0, 2))
    def ask_to_yield(self, number):
        if not self.process(number).paused:
            self.world.yield_slots(self.process(number))

    @rule(number=st.integers(0, 2))
    def exchange(self, number):
        if not self.process(number).paused:
            self.world.exchange(self.process(number))

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.9, LEASE_SECONDS, 13.0, 21.0]))
    def pass_time(self, seconds):
        self.world.pass_time(seconds)

    @rule()
    def drop_dead(self):
        self.world.drop_dead()

    @invariant()
    def never_more_than_the_cell_says(self):
        assert self.world.running() <= SLOTS

    @invariant()
    def holders_know_what_runs(self):
        for process in self.world.processes:
            if not process.paused:
                assert process.holder.running == len(process.runs)

    def teardown(self):
        """After the faults, a single daemon gets every slot."""
        world = self.world
        world.run_without_faults(100.0)
        assert world.running() == 0
        first = world.processes[0]
        for _ in range(SLOTS):
            world.acquire(first)
        world.run_without_faults(3.0)
        assert len(first.runs) == SLOTS


def test_leases_are_never_given_out_twice():
    run_state_machine_as_test(Leases, settings=RUN)
