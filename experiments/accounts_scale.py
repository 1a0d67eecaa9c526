"""Measures accounts over many hollow daemons: steady work, and a loss of all of them.

`python -m experiments.accounts_scale --daemons 1,11,60,300` plays each size on virtual
time in one process and prints a table. Work grows with the daemons: each serves the
same number of turns a second. Then all daemons die at once and start anew.
"""

import argparse
import itertools
import sys
import time
from collections import Counter
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.services.partitioned_log import PartitionedLog
from notcharch.accounts.messages import account_codec
from notcharch.accounts.service import AccountSettings, AccountsService
from notcharch.calls.interface import OpaqueCall, Refusal, Route, ServiceShare, Ticket
from notcharch.http.messages import RequestHead
from notcharch.journal.interface import LogService
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName

STEP_SECONDS = 0.01
SETTLE_SECONDS = 4.0
STEADY_SECONDS = 6.0
AFTER_SECONDS = 6.0
PARTITIONS_OF_A_TOPIC = 12
TURNS_A_SECOND = 8.0
"""Turns that each daemon serves: the present use of the larger site."""
TURN_SECONDS = 0.3
TURNS_OF_A_PROGRAM = 5
TURN_BYTES = 1500
OUTPUT = b"data: " + b"x" * 150 + b"\n\n"
EVENTS = 8
MOST_TOKENS = 575
BUDGET_TOKENS = 6100
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    shares=(ServiceShare("s", 1.0),),
    is_repeatable=False,
    is_stream=True,
    keeps_turns=True,
)
COUNTED = ("append", "read", "newest", "join", "owners")


class CountingLog:
    """The stand-in's log service as one daemon uses it, with its calls counted."""

    def __init__(self, log: PartitionedLog, counts: Counter[str]) -> None:
        """Pass everything on."""
        self._log = log
        self._counts = counts

    def __getattr__(self, name: str) -> Any:
        """Give a call that is counted."""
        call = getattr(self._log, name)
        if name not in COUNTED:
            return call

        def counted(*arguments: Any, **named: Any) -> "Deferred[Any]":
            self._counts[name] += 1
            answered: Deferred[Any] = call(*arguments, **named)
            return answered.addCallback(self._count_bytes)

        return counted

    def _count_bytes(self, answer: Any) -> Any:
        records = getattr(answer.ok_value, "records", ()) if answer.is_ok() else ()
        self._counts["records read"] += len(records)
        self._counts["bytes read"] += sum(len(record) for record in records)
        return answer


class Turn:
    """One turn of a program: asks, runs for a while, is kept."""

    def __init__(
        self, region: "Region", program: str, left: int, previous: str
    ) -> None:
        """Ask at a random daemon."""
        self._region = region
        self._program = program
        self._left = left
        self.is_awaited = True
        self.wants_admission = True
        self._call = region.call(program, previous)
        self._ticket: Ticket | None = None
        self._output = OUTPUT * EVENTS
        region.admission().ask(self._call, ROUTE, self)

    def admitted(self, ticket: Ticket, body: bytes) -> None:
        """Run."""
        region = self._region
        region.admission_seconds.append(region.clock.seconds() - self._call.arrived)
        self._ticket = ticket
        region.clock.callLater(TURN_SECONDS, self._end)

    def refused(self, refusal: Refusal) -> None:
        """Give the program up."""
        self._region.refusals[refusal.reason] += 1

    def _end(self) -> None:
        assert self._ticket is not None
        self._ticket.completed(self._output, EVENTS, self)

    def durable(self) -> None:
        """Go on with the next turn."""
        self._region.turns += 1
        self._region.newest[self._program] = self._call.id
        if self._left > 1:
            Turn(self._region, self._program, self._left - 1, self._call.id)

    def lost(self) -> None:
        """Hear nothing: nobody says so here."""


class Region:
    """Hollow daemons, their log service and their callers."""

    def __init__(self, daemons: int, partitions: int, seed: int) -> None:
        """Start all daemons."""
        self.clock = Clock()
        self.random = Random(seed)
        self.log = PartitionedLog(self.clock, Random(seed), PARTITIONS_OF_A_TOPIC)
        self.fabric = MemoryFabric(
            self.clock, Random(seed), encode=True, codec=account_codec()
        )
        self.partitions = partitions
        self.counts: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.admission_seconds: list[float] = []
        self.newest: dict[str, str] = {}
        self.turns = 0
        self._ids = itertools.count()
        self._incarnation = 0
        self.names = [DaemonName(f"d{number:04}") for number in range(daemons)]
        self.services: list[AccountsService] = []
        self.start_all()

    def start_all(self) -> None:
        """Start a process of each daemon."""
        self._incarnation += 1
        self.services = []
        for name in self.names:
            member = Member(name, Incarnation(self._incarnation))
            daemon = self.fabric.join(member, ZoneName("z"))
            log: LogService = CountingLog(self.log, self.counts)
            service = AccountsService(
                AccountSettings(
                    f"{name}:1",
                    PARTITIONS_OF_A_TOPIC,
                    1.0,
                    300.0,
                    topics=self.partitions // PARTITIONS_OF_A_TOPIC,
                ),
                log,
                daemon.clock,
                daemon.network,
                Random(self.random.random()),
            )
            self.services.append(service)
            service.start()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)

    def call(self, program: str, previous: str) -> OpaqueCall:
        """Give a caller's turn."""
        return OpaqueCall(
            id=f"c{next(self._ids)}",
            head=RequestHead(b"POST", b"/", []),
            body=b"i" * TURN_BYTES,
            arrived=self.clock.seconds(),
            wait_seconds=3.0,
            program=program,
            most_tokens=MOST_TOKENS,
            budget_tokens=BUDGET_TOKENS,
            tokens_per_event=23,
            previous_turn=previous,
        )

    def admission(self) -> Any:
        """Give the admission of a random daemon."""
        return self.random.choice(self.services).admission

    def work(self, seconds: float) -> None:
        """Begin programs evenly."""
        rate = len(self.names) * TURNS_A_SECOND / TURNS_OF_A_PROGRAM
        for number in range(round(seconds * rate)):
            name = f"p{next(self._ids)}"
            later = number / rate
            self.clock.callLater(later, Turn, self, name, TURNS_OF_A_PROGRAM, "")


class Figures(msgspec.Struct, frozen=True):
    """What one size costs; rates are of one daemon and a second."""

    daemons: int
    partitions: int
    turns: int
    refused: int
    admission_p50_ms: float
    admission_p99_ms: float
    calls: float
    """Calls to the log service, joins counted as a tenth."""
    messages: float
    """Messages to peers."""
    kilobytes: float
    """To peers."""
    busiest: float
    """Messages of the busiest daemon over the mean."""
    first_served_s: float
    """After all daemons died and started: until a turn goes on from an old one."""
    all_served_s: float
    """Until all partitions are served."""
    records_read: int
    """By all daemons, to come back."""
    kilobytes_read: float
    processor_ms: float
    """Processor time of a daemon a second, steady work, the stand-ins included."""


def measure(daemons: int, partitions: int, seed: int) -> Figures:
    """Play one size."""
    region = Region(daemons, partitions, seed)
    region.run(SETTLE_SECONDS)
    region.counts.clear()
    region.fabric.traffic.clear()
    began = time.process_time()
    region.work(STEADY_SECONDS)
    region.run(STEADY_SECONDS)
    spent = time.process_time() - began
    seconds = daemons * STEADY_SECONDS
    by_daemon: Counter[str] = Counter()
    for (name, _), traffic in region.fabric.traffic.items():
        by_daemon[name] += traffic.messages
    messages = sum(by_daemon.values())
    size = sum(traffic.bytes for traffic in region.fabric.traffic.values())
    counts = region.counts
    calls = counts["append"] + counts["read"] + counts["owners"] + counts["join"] / 10
    region.run(2.0)
    turns = region.turns
    refused = sum(region.refusals.values())
    waits = sorted(region.admission_seconds)
    first, whole = _lose_all(region)
    return Figures(
        daemons=daemons,
        partitions=partitions,
        turns=turns,
        refused=refused,
        admission_p50_ms=round(1000 * waits[len(waits) // 2], 1),
        admission_p99_ms=round(1000 * waits[len(waits) * 99 // 100], 1),
        calls=round(calls / seconds, 2),
        messages=round(messages / seconds, 2),
        kilobytes=round(size / seconds / 1000, 2),
        busiest=round(max(by_daemon.values(), default=0) * daemons / messages, 1)
        if messages
        else 1.0,
        first_served_s=round(first, 2),
        all_served_s=round(whole, 2),
        records_read=region.counts["records read"],
        kilobytes_read=round(region.counts["bytes read"] / 1000, 1),
        processor_ms=round(1000 * spent / seconds, 2),
    )


class Return:
    """A call that goes on from a turn of before."""

    def __init__(self, region: Region, program: str) -> None:
        """Ask until it is admitted."""
        self._region = region
        self._program = program
        self.is_admitted = False
        self.wants_admission = True
        self._ask()

    def _ask(self) -> None:
        call = self._region.call(self._program, self._region.newest[self._program])
        self._region.admission().ask(call, ROUTE, self)

    def admitted(self, ticket: Ticket, body: bytes) -> None:
        """Note it."""
        self.is_admitted = True
        ticket.never_ran()

    def refused(self, refusal: Refusal) -> None:
        """Ask again."""
        self._ask()


def _lose_all(region: Region) -> tuple[float, float]:
    """End all processes, start them anew; give when old programs are served."""
    region.counts.clear()
    for name in region.names:
        region.fabric.crash(name)
    region.start_all()
    began = region.clock.seconds()
    programs = list(region.newest)[-20 * region.partitions :]
    returns = [Return(region, program) for program in programs]
    first = -1.0
    for _ in range(round(AFTER_SECONDS / STEP_SECONDS)):
        region.run(STEP_SECONDS)
        passed = region.clock.seconds() - began
        if first < 0 and any(call.is_admitted for call in returns):
            first = passed
        if all(call.is_admitted for call in returns):
            return first, passed
    return first, -1.0


def main() -> int:
    """Measure the sizes asked for and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", default="1,11,60,300")
    parser.add_argument("--partitions", type=int, default=48)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for text in arguments.daemons.split(","):
        figures = measure(int(text), arguments.partitions, arguments.seed)
        sys.stdout.write(f"{msgspec.json.encode(figures).decode()}\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
