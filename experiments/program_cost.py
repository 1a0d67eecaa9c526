"""Measures what a program costs its replica: bytes, and microseconds a command.

`python -m experiments.program_cost` prints two tables. The texts are English prose
of the standard library, so that compression meets what it would meet in chats.
"""

import argparse
import gc
import pydoc_data.topics
import time
import tracemalloc
from collections.abc import Iterator

import msgspec

from notcharch.partitions.interface import Command, CommandResult
from notcharch.placement.partitions import new_program_id
from notcharch.programs.commands import (
    AdmissionLimits,
    AdmitAttempt,
    BeginProgram,
    FinishAttempt,
    RecordDispatch,
)
from notcharch.programs.state import ProgramsState
from notcharch.values.chat import Answer, ChatMessage, FinishReason, TokenUsage
from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    DaemonName,
    EngineName,
    Epoch,
    Incarnation,
    Member,
    PartitionNumber,
    ProgramId,
    RegionName,
    ServiceName,
    TenantName,
)

EPOCH = Epoch(1)
SERVICE = ServiceName("guide")
TENANT = TenantName("tenant-1")
BUDGET_TOKENS = 10**9
LIMITS = AdmissionLimits(BUDGET_TOKENS, 1000, 1e9)
GATEWAY = Member(DaemonName("daemon-1"), Incarnation(1_700_000_000_000))
BYTES_A_TOKEN = 4
ANSWER_TOKENS = 1024
ENGINES = tuple(EngineName(f"engine-{number}") for number in range(8))
LARGEST_HISTORY_TURNS = 470
LARGEST_HISTORY_TOKENS = 850_000


class Case(msgspec.Struct, frozen=True):
    """So many programs with so many turns of so many tokens."""

    programs: int
    turns: int
    turn_tokens: int


CASES = (
    Case(5000, 0, 0),
    Case(3000, 1, 200),
    Case(2000, 5, 200),
    Case(500, 20, 400),
    Case(60, 100, 1000),
    Case(4, LARGEST_HISTORY_TURNS, LARGEST_HISTORY_TOKENS // LARGEST_HISTORY_TURNS),
)


class Timings(msgspec.Struct):
    """Seconds spent in each kind of command, and how many there were."""

    seconds: dict[str, float] = msgspec.field(default_factory=dict)
    count: dict[str, int] = msgspec.field(default_factory=dict)

    def add(self, name: str, seconds: float) -> None:
        """Note one command."""
        self.seconds[name] = self.seconds.get(name, 0.0) + seconds
        self.count[name] = self.count.get(name, 0) + 1

    def microseconds(self, name: str) -> float:
        """Give the mean of a command."""
        return 1e6 * self.seconds.get(name, 0.0) / max(1, self.count.get(name, 0))


class Driver:
    """Runs programs against one state and times every command."""

    def __init__(self) -> None:
        """Begin with an empty state."""
        self.state = ProgramsState()
        self.timings = Timings()
        self.text = "\n".join(pydoc_data.topics.topics.values())
        self.position = 0

    def apply(self, command: Command) -> CommandResult:
        """Apply a command and note its time."""
        begin = time.perf_counter()
        result = self.state.apply(command, EPOCH)
        self.timings.add(type(command).__name__, time.perf_counter() - begin)
        return result

    def prose(self, tokens: int) -> str:
        """Give a text of so many tokens that does not overlap the last ones."""
        size = tokens * BYTES_A_TOKEN
        if self.position + size > len(self.text):
            self.position = 0
        begin = self.position
        self.position += size
        return self.text[begin : self.position]

    def run_program(self, case: Case) -> ProgramId:
        """Create one program and run all its turns."""
        program = new_program_id(RegionName("region1"), PartitionNumber(5))
        self.apply(BeginProgram(1.0, program, SERVICE, TENANT, BUDGET_TOKENS))
        for sequence in range(1, case.turns + 1):
            self.run_turn(program, CallSequence(sequence), case.turn_tokens)
        return program

    def run_turn(self, program: ProgramId, sequence: CallSequence, tokens: int) -> None:
        """Run one call; three quarters of its text are new messages."""
        attempt = AttemptNumber(1)
        messages = (ChatMessage("user", self.prose(tokens * 3 // 4)),)
        admit = AdmitAttempt(
            at=2.0,
            program=program,
            tenant=TENANT,
            sequence=sequence,
            body_digest=f"{program}{sequence}",
            messages=messages,
            max_tokens=ANSWER_TOKENS,
            repeatable=True,
            gateway=GATEWAY,
            limits=LIMITS,
        )
        self.apply(admit)
        engine = ENGINES[sequence % 2]
        self.apply(RecordDispatch(2.0, program, sequence, attempt, engine))
        reply = ChatMessage("assistant", self.prose(tokens // 4))
        usage = TokenUsage(sequence * tokens, tokens // 4)
        answer = Answer(reply, usage, FinishReason.STOP)
        self.apply(FinishAttempt(3.0, program, sequence, attempt, answer))


def measure_bytes(case: Case) -> str:
    """Give a table row: memory and snapshot bytes of one program."""
    driver = Driver()
    driver.run_program(case)
    driver.state = ProgramsState()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    programs = [driver.run_program(case) for _ in range(case.programs)]
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    records = [driver.state.record(program) for program in programs]
    stored = sum(record.history.stored_bytes for record in records if record)
    content = case.turns * case.turn_tokens * BYTES_A_TOKEN
    snapshot = len(driver.state.snapshot())
    return (
        f"| {case.turns} | {case.turns * case.turn_tokens} | {content} "
        f"| {held // case.programs} | {stored // case.programs} "
        f"| {snapshot // case.programs} |"
    )


def measure_time(case: Case) -> Iterator[str]:
    """Give table rows: time of each command, of reading back, of a snapshot."""
    driver = Driver()
    programs = [driver.run_program(case) for _ in range(case.programs)]
    for name in sorted(driver.timings.seconds):
        mean = driver.timings.microseconds(name)
        yield f"| {case.turns} | {name} | {mean:.1f} |"
    begin = time.perf_counter()
    for program in programs:
        record = driver.state.record(program)
        if record is not None:
            record.history.messages(0, record.history.message_count)
    spent = 1e6 * (time.perf_counter() - begin) / len(programs)
    yield f"| {case.turns} | read whole history | {spent:.1f} |"
    begin = time.perf_counter()
    snapshot = driver.state.snapshot()
    spent = 1e6 * (time.perf_counter() - begin) / len(programs)
    yield f"| {case.turns} | snapshot, per program | {spent:.1f} |"
    begin = time.perf_counter()
    ProgramsState().restore(snapshot)
    spent = 1e6 * (time.perf_counter() - begin) / len(programs)
    yield f"| {case.turns} | restore, per program | {spent:.1f} |"


def main() -> None:
    """Print both tables in the form of the design page."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| turns | tokens | content bytes | held bytes | history | snapshot |")
    print("|---|---|---|---|---|---|")
    for case in CASES:
        print(measure_bytes(case))
    print("\n| turns | step | microseconds |\n|---|---|---|")
    for case in CASES:
        for row in measure_time(case):
            print(row)


if __name__ == "__main__":
    main()
