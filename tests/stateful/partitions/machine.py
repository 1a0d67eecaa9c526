"""Random histories of partitions, checked against the acknowledged commands.

An acknowledged command keeps its position in the state. A command of unknown outcome is
in the state at most once, one that was refused with `ran: no` never. Every leader knows
all acknowledged commands.
"""

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule
from result import Ok

from emulator.faults import FaultKind
from notcharch.errors import Ran
from notcharch.partitions.service import GROUP
from tests.stateful.daemon_fates import DAEMONS, DaemonFates, daemons
from tests.unit.partitions.world import PARTITIONS, World

SNAPSHOT_SECONDS = 8.0
partitions = st.integers(0, PARTITIONS - 1)


class PartitionsMachine(DaemonFates):
    """Proposals, daemon failures and log service faults as rules."""

    group = GROUP

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DAEMONS, snapshot_seconds=SNAPSHOT_SECONDS)
        self.world.run(2.0)
        self.results: list[tuple[int, str, list]] = []
        self.unresolved: set[str] = set()
        """Texts whose proposers crashed, so that they get no result."""
        self.texts = 0

    @rule(partition=partitions, daemon=daemons, count=st.integers(1, 3))
    def propose(self, partition, daemon, count):
        if daemon in self.down | self.asleep:
            return
        name = self.world.names[daemon]
        for _ in range(count):
            self.texts += 1
            text = f"t{self.texts}"
            results = self.world.propose(partition, text, by=name)
            self.results.append((partition, text, results))

    @rule(partition=partitions)
    def propose_at_the_leader(self, partition):
        for number, name in enumerate(self.world.names):
            if name in self.world.leaders(partition):
                self.propose(partition, number, 2)

    @rule(partition=partitions)
    def snapshot_with_commands_in_flight(self, partition):
        self.propose_at_the_leader(partition)
        for name in self.world.leaders(partition):
            led = self.world.services[name]._assigned.get(partition)
            if led.end and not led._is_snapshotting:
                led._write_snapshot()
        self.propose_at_the_leader(partition)

    def leave(self, name):
        self.world.services[name].hand_over()

    def before_a_crash(self):
        self.unresolved |= {text for _, text, results in self.results if not results}

    @rule(kind=st.sampled_from([FaultKind.DOWN, FaultKind.HANG, FaultKind.ANSWER_LOST]))
    def break_log_connection(self, kind):
        self.world.faults.order_fault(kind, 2.0)

    @rule(partition=partitions)
    def drop_snapshotted_records(self, partition):
        self.world.drop_snapshotted_records(partition)

    @rule(seconds=st.sampled_from([0.002, 0.02, 0.1, 0.4, 1.5, 4.0, 12.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule()
    def all_faults_are_cleared(self):
        """Without faults, each partition has a leader that knows all commands."""
        self.world.faults.clear_faults()
        self.heal()
        self.world.run(10.0)
        for partition in range(PARTITIONS):
            assert len(self.world.leaders(partition)) == 1
        self.check_results()

    @invariant()
    def leaders_know_what_was_acknowledged(self):
        for partition in range(PARTITIONS):
            for name in self.world.leaders(partition):
                texts = self.world.texts(partition, by=name)
                for proposed_to, text, results in self.results:
                    if (
                        proposed_to == partition
                        and results
                        and isinstance(results[0], Ok)
                    ):
                        position = results[0].ok_value.count - 1
                        assert texts[position : position + 1] == [text]

    def check_results(self):
        for partition, text, results in self.results:
            found = self.world.texts(partition).count(text)
            if not results:
                assert text in self.unresolved, f"{text} was never completed"
                assert found <= 1, f"{text} is stored {found} times"
                continue
            if isinstance(results[0], Ok):
                assert found == 1, f"{text} is stored {found} times"
            else:
                assert found <= 1, f"{text} is stored {found} times"
                is_certain = results[0].err_value.ran is Ran.NO
                assert not (is_certain and found), f"{text} was refused but is stored"

    def teardown(self):
        if hasattr(self, "world"):
            self.all_faults_are_cleared()
