"""Random lives of partitions against an oracle of what was acknowledged.

The oracle is small. Of each command it knows the answer: one that was acknowledged
stands at the place it was told, for good; one of unknown outcome stands once at most;
one that was refused with `ran: no` stands nowhere. Whoever says that it leads knows
everything that was acknowledged.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from emulator.faults import FaultKind
from emulator.services.partitioned_log import Trouble
from notcharch.errors import Ran
from notcharch.partitions.service import GROUP
from tests.unit.partitions.world import PARTITIONS, World

DAEMONS = 3
SNAPSHOT_SECONDS = 8.0
daemons = st.integers(0, DAEMONS - 1)
partitions = st.integers(0, PARTITIONS - 1)


class PartitionsMachine(RuleBasedStateMachine):
    """Proposers, daemons and the log service."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DAEMONS, snapshot_seconds=SNAPSHOT_SECONDS)
        self.world.run(2.0)
        self.answers: list[tuple[int, str, list]] = []
        self.of_crashed: set[str] = set()
        """Texts whose proposers died, so that nobody answers them."""
        self.down: set[int] = set()
        self.asleep: set[int] = set()
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

    @rule(daemon=daemons, silent=st.booleans())
    def crash(self, daemon, silent):
        if daemon not in self.down:
            self.wake(daemon)
            self.forget_waiting()
            self.world.crash(self.world.names[daemon], silent=silent)
            self.down.add(daemon)

    def forget_waiting(self):
        self.of_crashed |= {text for _, text, answers in self.answers if not answers}

    @rule(daemon=daemons)
    def start(self, daemon):
        if daemon in self.down:
            self.world.start(self.world.names[daemon])
            self.down.discard(daemon)

    @rule(daemon=daemons)
    def leave_and_return(self, daemon):
        if daemon not in self.down | self.asleep:
            name = self.world.names[daemon]
            self.world.services[name].hand_over()
            self.world.run(0.5)
            self.forget_waiting()
            self.world.crash(name)
            self.world.start(name)

    @rule(daemon=daemons)
    def sleep(self, daemon):
        if daemon not in self.down | self.asleep:
            self.world.fabric.pause(self.world.names[daemon])
            self.asleep.add(daemon)

    @rule(daemon=daemons)
    def wake(self, daemon):
        if daemon in self.asleep:
            self.world.fabric.resume(self.world.names[daemon])
            self.asleep.discard(daemon)

    @rule(trouble=st.sampled_from(list(Trouble)))
    def trouble(self, trouble):
        self.world.log.trouble = trouble

    @rule(kind=st.sampled_from([FaultKind.DOWN, FaultKind.HANG, FaultKind.ANSWER_LOST]))
    def break_the_way_to_the_log(self, kind):
        self.world.faults.order_fault(kind, 2.0)

    @rule()
    def deal_anew(self):
        if self.world.log.groups.owners(GROUP):
            self.world.log.groups.rebalance(GROUP)

    @rule(partition=partitions)
    def drop_what_a_snapshot_holds(self, partition):
        self.world.drop_what_a_snapshot_holds(partition)

    @rule(seconds=st.sampled_from([0.002, 0.02, 0.1, 0.4, 1.5, 4.0, 12.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule()
    def all_is_well_again(self):
        """Once everything works, each partition has a leader that knows everything."""
        self.world.log.trouble = Trouble.NONE
        self.world.faults.clear_faults()
        for daemon in range(DAEMONS):
            self.wake(daemon)
            self.start(daemon)
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
