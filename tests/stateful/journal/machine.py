"""State machine of one partition's journal over a log that takes small records only.

Owners take the partition over, are killed, or go on as if they still owned it. The oracle
knows the entries that were reported as durable, and those that surely are not stored.
"""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from emulator.services.partitioned_log import PartitionedLog, Trouble
from notcharch.journal.entries import Outcome
from notcharch.journal.interface import LogLimits
from notcharch.journal.partition_journal import PartitionAssignment, PartitionJournal
from tests.unit.journal.writing import (
    PLACE,
    SMALL_LIMITS,
    ClosingLog,
    MisinformedLog,
    ReplayedEntries,
)

SMALLER_LIMITS = LogLimits(record_bytes=60, call_bytes=150)
SIZES = (1, 40, 58, 59, 60, 61, 99, 100, 101, 300, 1_000)
STEP_SECONDS = 0.002
CALM_SECONDS = 8.0


class MortalLog:
    """The log as one owner's process sees it; a killed one hears and sends nothing."""

    def __init__(self, log) -> None:
        self._log = log
        self.limits = log.limits
        self.is_killed = False

    def __getattr__(self, name):
        call = getattr(self._log, name)

        def called(*arguments):
            heard: Deferred = Deferred()
            if not self.is_killed:
                call(*arguments).addCallback(self._hear, heard)
            return heard

        return called

    def _hear(self, response, heard):
        if not self.is_killed:
            heard.callback(response)


class Owner:
    """One owner of the partition, and what it replayed."""

    def __init__(self, world: "JournalMachine", epoch: int, service) -> None:
        self.log = MortalLog(service)
        self.replayed = ReplayedEntries()
        self.is_ready = False
        self.journal = PartitionJournal(
            self.log,
            world.clock,
            Random(epoch),
            PartitionAssignment(0, PLACE, epoch),
            target=self.replayed,
            on_fenced=lambda: None,
        )
        self.journal.take_over().addCallback(self._taken_over)

    def _taken_over(self, is_owner):
        self.is_ready = is_owner


class JournalMachine(RuleBasedStateMachine):
    """Owners of one partition, and the log."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 1, SMALL_LIMITS)
        self.owners: list[Owner] = []
        self.outcomes: dict[bytes, Outcome] = {}
        self.writer_of: dict[bytes, int] = {}
        """The owner of each entry, in the order of their writing."""
        self.claim(closes=False)

    @rule(closes=st.booleans(), pick=st.integers(0, 2))
    def take_over(self, closes, pick):
        """Let another owner claim the partition; the former ones are not told."""
        if pick == 0:
            self.claim(closes)

    def claim(self, closes):
        view = ClosingLog if closes else MisinformedLog
        service = view(self.log, SMALL_LIMITS)
        self.owners.append(Owner(self, len(self.owners) + 1, service))
        self.run(0.05)

    @rule(pick=st.integers(0, 5))
    def kill(self, pick):
        """End the process of the newest owner, after which another one claims."""
        if pick == 0:
            self.owners[-1].log.is_killed = True
            self.claim(closes=False)

    @rule(
        pick=st.sampled_from([0, 0, 0, 0, 1]),
        sizes=st.lists(st.sampled_from(SIZES), min_size=1, max_size=5),
    )
    def write(self, pick, sizes):
        """Write entries through one of the newest owners, once it has replayed."""
        number = len(self.owners) - 1 - pick % len(self.owners)
        if self.owners[number].is_ready and not self.owners[number].log.is_killed:
            for size in sizes:
                self.write_entry(number, size)

    def write_entry(self, number, size):
        entry = f"{len(self.writer_of)}:".encode() + b"x" * size
        self.writer_of[entry] = number
        writer = self.owners[number].journal.writer
        writer.write(entry, lambda outcome: self._ended(entry, outcome))
        return entry

    def _ended(self, entry, outcome):
        assert entry not in self.outcomes
        self.outcomes[entry] = outcome

    @rule(trouble=st.sampled_from([Trouble.NONE, Trouble.NONE, *Trouble]))
    def trouble(self, trouble):
        self.log.trouble = trouble

    @rule(is_smaller=st.booleans())
    def take_less_than_told(self, is_smaller):
        self.log.limits = SMALLER_LIMITS if is_smaller else SMALL_LIMITS

    @rule(seconds=st.sampled_from([0.004, 0.01, 0.05, 0.5, 2.0]))
    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)

    def compare(self):
        """Let a new owner replay in calm, and compare what it finds."""
        self.log.trouble = Trouble.NONE
        self.log.limits = SMALL_LIMITS
        self.claim(closes=False)
        self.run(CALM_SECONDS)
        assert self.owners[-1].is_ready
        found = self.owners[-1].replayed.entries
        stored = set(found)
        assert len(stored) == len(found)
        for entry, outcome in self.outcomes.items():
            assert outcome is not Outcome.DURABLE or entry in stored
            assert outcome is not Outcome.NOT_WRITTEN or entry not in stored
        # Owners fence each other, so entries are sorted by owner, then as written.
        written = [entry for entry in self.writer_of if entry in stored]
        assert found == sorted(written, key=self.writer_of.__getitem__)
        last = self.write_entry(len(self.owners) - 1, SIZES[-1])
        self.run(1.0)
        assert self.outcomes[last] is Outcome.DURABLE

    def teardown(self):
        self.compare()
