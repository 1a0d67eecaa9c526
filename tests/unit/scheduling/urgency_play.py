"""Programs played at engines that admit the more urgent waiting calls first."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from notcharch.scheduling.expected_seconds import (
    CallNeeds,
    LoadedEngine,
    choose_by_cost,
)
from notcharch.scheduling.urgency import (
    PriorityRank,
    ProgramCall,
    ProgramTimes,
    QuickCalls,
    UsualTimes,
    standing,
    urgency_level,
)

SLOTS = 6
EVENTS = 18.0
INTERVAL_SECONDS = 0.008
READING_SECONDS = 0.02
PAUSE_SECONDS = 0.05
"""Mean time between two calls of a program."""
OBJECTIVE_SECONDS = 0.5
DAEMONS = 59
SPEEDS = tuple(0.7 + number / 22 for number in range(23))
CALLS = (2, 3, 4, 5, 9, 10, 11)
TARGETS = (1.3, 1.7)
BURST_PERIOD_SECONDS = 6.0
BURST_SECONDS = 2.0
BURST_FACTOR = 1.8
QUIET_FACTOR = 0.6


class PlayedEngine:
    """An engine with slots and waiting calls."""

    def __init__(self, name: str, speed: float) -> None:
        self.id = name
        self.interval = INTERVAL_SECONDS / speed
        self.running = 0
        self.waiting: list = []

    def view(self) -> LoadedEngine:
        count = self.running + len(self.waiting)
        return LoadedEngine(self.id, SLOTS, count, self.interval)


@dataclass
class Program:
    """A program with a time by which it should end."""

    calls: int
    due: float
    done: int = 0
    home: str = ""


class Learned:
    """What one daemon has learned."""

    def __init__(self) -> None:
        self.programs = ProgramTimes(OBJECTIVE_SECONDS)
        self.quick = QuickCalls()


class UrgencyPlay:
    """Bursts of programs; each call goes to a daemon at random."""

    def __init__(self, load: float, seed: int, *, is_rated: bool) -> None:
        self.random = Random(seed)
        self.engines = [
            PlayedEngine(f"e{number}", speed) for number, speed in enumerate(SPEEDS)
        ]
        self.daemons = [Learned() for _ in range(DAEMONS)]
        self.is_rated = is_rated
        capacity = sum(SLOTS / (engine.interval * EVENTS) for engine in self.engines)
        self.programs_per_second = load * capacity * len(CALLS) / sum(CALLS)
        self.now = 0.0
        self.ended = 0
        self.late = 0
        self._queue: list = []
        self._number = 0

    def _at(self, when: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._queue, (when, self._number, action))

    def late_share(self, seconds: float) -> float:
        """Play programs that begin within this time; return the share of late ones."""
        at = 0.0
        while at < seconds:
            is_burst = at % BURST_PERIOD_SECONDS < BURST_SECONDS
            factor = BURST_FACTOR if is_burst else QUIET_FACTOR
            at += self.random.expovariate(factor * self.programs_per_second)
            program = self._program(at)
            self._at(at, lambda program=program: self._call(program))
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return self.late / self.ended

    def _program(self, at: float) -> Program:
        calls = self.random.choice(CALLS)
        idle = calls * (EVENTS * INTERVAL_SECONDS / 1.2 + PAUSE_SECONDS + 0.01)
        return Program(calls, at + self.random.choice(TARGETS) * idle + 0.1)

    def _call(self, program: Program) -> None:
        needs = CallNeeds(program.home, 2000, READING_SECONDS / 2000, EVENTS)
        views = [engine.view() for engine in self.engines]
        chosen = choose_by_cost(views, needs, self.random).chosen.engine.id
        engine = next(engine for engine in self.engines if engine.id == chosen)
        learned = self.random.choice(self.daemons)
        level = self._level(program, learned)
        events = max(1.0, self.random.lognormvariate(2.6, 0.75))
        reading = 0.0 if program.home == chosen else READING_SECONDS
        run = events * engine.interval + reading
        program.home = chosen
        self._number += 1
        arrived = self.now
        waiting = (level, self._number, run, program, learned, arrived)
        heapq.heappush(engine.waiting, waiting)
        self._admit(engine)

    def _level(self, program: Program, learned: Learned) -> int:
        call = ProgramCall(True, program.done > 0, program.due - self.now)
        usual = UsualTimes(
            learned.programs.seconds, learned.programs.seconds, learned.quick.seconds
        )
        learned.programs.record(call, OBJECTIVE_SECONDS)
        return urgency_level(PriorityRank(), standing(call, usual)) * self.is_rated

    def _admit(self, engine: PlayedEngine) -> None:
        while engine.running < SLOTS and engine.waiting:
            _, _, run, program, learned, arrived = heapq.heappop(engine.waiting)
            engine.running += 1

            def end(program=program, learned=learned, arrived=arrived) -> None:
                engine.running -= 1
                learned.quick.record(self.now - arrived)
                self._admit(engine)
                self._ended(program)

            self._at(self.now + run, end)

    def _ended(self, program: Program) -> None:
        program.done += 1
        if program.done < program.calls:
            again = self.now + self.random.expovariate(1.0 / PAUSE_SECONDS)
            self._at(again, lambda: self._call(program))
            return
        self.ended += 1
        self.late += self.now > program.due
