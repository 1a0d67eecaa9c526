"""Random lives of partitions against an oracle of what was acknowledged.

The oracle is small. Of each command it knows the answer: one that was acknowledged
stands at the place it was told, for good; one of unknown outcome stands once at most;
one that was refused with `ran: no` stands nowhere. Whoever says that it leads knows
everything that was acknowledged.
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
    """Proposers, daemons and the log service."""

    group = GROUP

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DAEMONS, snapshot_seconds=SNAPSHOT_SECONDS)
        self.world.run(2.0)
        self.answers: list[tuple[int, str, list]] = []
        self.of_crashed: set[str] = set()
        """Texts whose proposers died, so that nobody answers them."""
        self.texts = 0

    @rule(partition=partitions, daemon=daemons, count=st.integers(1, 3))
    def propose(self, partition, daemon, count):
        if daemon in self.down | self.asleep:
            return
        name = self.world.names[daemon]
        for _ in range(count):
            self.texts += 1
            text = f"t{self.texts}"
            answers = self.world.propose(partition, text, by=name)
            self.answers.append((partition, text, answers))

    @rule(partition=partitions)
    def propose_at_the_leader(self, partition):
        for number, name in enumerate(self.world.names):
            if name in self.world.leaders(partition):
                self.propose(partition, number, 2)

    @rule(partition=partitions)
    def snapshot_while_commands_are_under_way(self, partition):
        self.propose_at_the_leader(partition)
        for name in self.world.leaders(partition):
            led = self.world.services[name]._assigned.get(partition)
            if led.end and not led._is_snapshotting:
                led._write_snapshot()
        self.propose_at_the_leader(partition)

    def leave(self, name):
        self.world.services[name].hand_over()

    def before_a_crash(self):
        self.of_crashed |= {text for _, text, answers in self.answers if not answers}

    @rule(kind=st.sampled_from([FaultKind.DOWN, FaultKind.HANG, FaultKind.ANSWER_LOST]))
    def break_the_way_to_the_log(self, kind):
        self.world.faults.order_fault(kind, 2.0)

    @rule(partition=partitions)
    def drop_what_a_snapshot_holds(self, partition):
        self.world.drop_what_a_snapshot_holds(partition)

    @rule(seconds=st.sampled_from([0.002, 0.02, 0.1, 0.4, 1.5, 4.0, 12.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule()
    def all_is_well_again(self):
        """Once everything works, each partition has a leader that knows everything."""
        self.world.faults.clear_faults()
        self.heal()
        self.world.run(10.0)
        for partition in range(PARTITIONS):
            assert len(self.world.leaders(partition)) == 1
        self.check_answers()

    @invariant()
    def leaders_know_what_was_acknowledged(self):
        for partition in range(PARTITIONS):
            for name in self.world.leaders(partition):
                texts = self.world.texts(partition, by=name)
                for told, text, answers in self.answers:
                    if told == partition and answers and isinstance(answers[0], Ok):
                        place = answers[0].ok_value.count - 1
                        assert texts[place : place + 1] == [text]

    def check_answers(self):
        for partition, text, answers in self.answers:
            found = self.world.texts(partition).count(text)
            if not answers:
                assert text in self.of_crashed, f"{text} was never answered"
                assert found <= 1, f"{text} stands {found} times"
                continue
            if isinstance(answers[0], Ok):
                assert found == 1, f"{text} stands {found} times"
            else:
                assert found <= 1, f"{text} stands {found} times"
                is_certain = answers[0].err_value.ran is Ran.NO
                assert not (is_certain and found), f"{text} was not to be there"

    def teardown(self):
        if hasattr(self, "world"):
            self.all_is_well_again()
