"""Callers of one tenant that compete for its limit, on a simulated clock.

Programs make 9 to 20 calls over 3 to 6 s and arrive several at once; a looping program
calls until the end. A caller that is refused retries at most twice per call, and waits at
most a third of the time that it has left; then its program fails.
"""

import heapq
from random import Random

import msgspec

from notcharch.tenants.interface import RateLimit
from notcharch.tenants.limit import Granted, TenantLimit, exclusive_supply
from notcharch.tenants.program_sizes import ProgramSizes
from notcharch.tenants.recent_calls import RecentCalls
from notcharch.tenants.reserving_limit import ReservingLimit

LIMIT = RateLimit(5.0, 5.0)
WINDOW_SECONDS = 5.0
TOLERATED_CALLS = 11.0
"""What the bucket may hold beyond the burst, by a tolerance of 20 calls."""
MAX_WAIT_SECONDS = 0.6
MAX_TRIES = 3
PATIENCE_SECONDS = 9.0
"""Time of a caller for one call."""


class Program(msgspec.Struct):
    """One program and what it got."""

    name: str
    calls: int
    gap_seconds: float
    began_at: float
    is_loop: bool = False
    made: int = 0
    tries: int = 0
    asked_at: float = 0.0
    refused_first_calls: int = 0
    refused_later_calls: int = 0
    retries_after: list[float] = msgspec.field(default_factory=list)
    ended_at: float | None = None
    has_failed: bool = False

    @property
    def is_whole(self) -> bool:
        """Whether it began and ended without a refusal after its first call."""
        return self.ended_at is not None and not self.refused_later_calls


class Load:
    """Programs of one tenant, decided by one limit."""

    def __init__(
        self, limit: TenantLimit, seed: int, seconds: float = 120.0, loops: int = 1
    ) -> None:
        self.limit = limit
        self.admitted: list[float] = []
        self.supply = exclusive_supply(LIMIT, WINDOW_SECONDS, TOLERATED_CALLS)
        self.seconds = seconds
        random = Random(seed)
        self.programs = [
            Program(f"loop{n}", 10**9, 0.25, 0.0, is_loop=True) for n in range(loops)
        ]
        at = 2.0
        while at < seconds - 12.0:
            for _ in range(random.choice([1, 1, 2, 3, 4])):
                calls = random.randint(9, 20)
                gap = random.uniform(3.0, 6.0) / calls
                name = f"p{len(self.programs)}"
                self.programs.append(Program(name, calls, gap, at))
            at += random.expovariate(1 / 5.0)
        self._events = [
            (program.began_at, n) for n, program in enumerate(self.programs)
        ]
        heapq.heapify(self._events)

    def run(self) -> "Load":
        while self._events:
            now, number = heapq.heappop(self._events)
            if now <= self.seconds:
                self._ask(self.programs[number], number, now)
        return self

    def _ask(self, program: Program, number: int, now: float) -> None:
        if program.tries == 0 or program.is_loop:
            program.asked_at = now
        verdict = self.limit.decide(
            program.name,
            "k",
            self.supply,
            now,
            knows_all_programs=True,
            max_wait_seconds=MAX_WAIT_SECONDS,
        )
        if isinstance(verdict, Granted):
            self._go_on(program, number, now + verdict.wait_seconds)
            return
        program.retries_after.append(verdict.retry_after_seconds)
        if program.made:
            program.refused_later_calls += 1
        else:
            program.refused_first_calls += 1
        program.tries += 1
        remaining = program.asked_at + PATIENCE_SECONDS - now
        wait = min(verdict.retry_after_seconds, remaining / 3)
        if program.tries < MAX_TRIES or program.is_loop:
            heapq.heappush(self._events, (now + wait, number))
        else:
            program.has_failed = True

    def _go_on(self, program: Program, number: int, at: float) -> None:
        self.admitted.append(at)
        program.made += 1
        program.tries = 0
        if program.made == program.calls:
            program.ended_at = at
        else:
            heapq.heappush(self._events, (at + program.gap_seconds, number))

    # Results

    @property
    def ordinary(self) -> list[Program]:
        return [program for program in self.programs if not program.is_loop]

    def count(self, attribute: str) -> int:
        """Return the sum of an attribute over the programs that do not loop."""
        return sum(bool(getattr(program, attribute)) for program in self.ordinary)

    def max_in_a_window(self) -> int:
        times = sorted(self.admitted)
        return max(
            sum(begin <= at < begin + WINDOW_SECONDS for at in times) for begin in times
        )


def todays_load(seed: int, loops: int = 1) -> Load:
    """Run the load against the limit without a reserve."""
    limit = TenantLimit(16.0, 0.0, ProgramSizes(), RecentCalls(WINDOW_SECONDS))
    return Load(limit, seed, loops=loops).run()


def reserved_load(seed: int, loops: int = 1) -> Load:
    """Run the same load against the limit with the reserve."""
    recent = RecentCalls(WINDOW_SECONDS)
    limit = ReservingLimit(16.0, 0.0, ProgramSizes(), recent, WINDOW_SECONDS)
    return Load(limit, seed, loops=loops).run()
