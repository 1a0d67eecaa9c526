"""Stateful fuzzing of the pure core against the oracle."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from tests.stateful.replication.simulation import DAEMONS, NetworkFaults, Simulation

daemons = st.sampled_from(DAEMONS)


class GroupMachine(RuleBasedStateMachine):
    """Commands and faults in any order; the oracle looks on after every input."""

    @initialize(seed=st.integers(0, 2**32), members=st.sampled_from([3, 5]))
    def begin(self, seed, members):
        self.simulation = Simulation(seed, members, members)
        self.simulation.run(0.5)

    @rule(daemon=daemons, count=st.integers(1, 3))
    def propose(self, daemon, count):
        for _ in range(count):
            self.simulation.propose(daemon)

    @rule(count=st.integers(1, 3))
    def propose_everywhere(self, count):
        for daemon in DAEMONS:
            self.propose(daemon, count)

    @rule(count=st.sampled_from([20, 40]))
    def propose_much_and_archive(self, count):
        self.propose_everywhere(count)
        self.simulation.run(0.3)
        for daemon in DAEMONS:
            self.simulation.archive(daemon)

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.1, 0.6, 3.0, 20.0]))
    def run(self, seconds):
        self.simulation.run(seconds)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        duplication=st.sampled_from([0.0, 0.3]),
        longest_delay=st.sampled_from([0.002, 0.3, 2.0]),
    )
    def change_network(self, loss, duplication, longest_delay):
        self.simulation.faults = NetworkFaults(loss, duplication, longest_delay)

    @rule(daemon=daemons)
    def crash(self, daemon):
        self.simulation.crash(daemon)

    @rule(daemon=daemons)
    def restart(self, daemon):
        self.simulation.restart(daemon)

    @rule(daemon=daemons)
    def pause(self, daemon):
        self.simulation.pause(daemon)

    @rule(daemon=daemons)
    def resume(self, daemon):
        self.simulation.resume(daemon)

    @rule(zone=st.sets(daemons, min_size=1, max_size=2))
    def isolate(self, zone):
        self.simulation.isolate(tuple(sorted(zone)))

    @rule()
    def end_cuts(self):
        self.simulation.cut.clear()

    @rule(believer=daemons, suspected=daemons)
    def suspect(self, believer, suspected):
        self.simulation.suspect(believer, suspected)

    @rule(suspected=daemons)
    def suspect_by_all(self, suspected):
        for believer in DAEMONS:
            self.simulation.suspect(believer, suspected)

    @rule(believer=daemons)
    def believe_all(self, believer):
        self.simulation.believe_all(believer)

    @rule(placement=st.permutations(DAEMONS))
    def move(self, placement):
        self.simulation.move(tuple(placement))

    @rule()
    def heal(self):
        self.simulation.heal()

    def teardown(self):
        if hasattr(self, "simulation"):
            self.simulation.check_end()


def test_group_machine():
    run_state_machine_as_test(
        GroupMachine,
        settings=settings(
            max_examples=60,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )
