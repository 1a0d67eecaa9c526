"""Measures how fast engines are simulated: `python -m emulator.simulation_speed`.

Programs of several turns with pauses run against engines with the default rates,
through the in-process port and without notcharch. Prints one JSON line.
"""

import argparse
import sys
import time
from collections.abc import Callable
from random import Random

import msgspec
from result import Err, Result

from emulator.engine.counters import EngineCounters
from emulator.memory_exchange import MemoryWay
from emulator.models import RegionModels, with_engines
from emulator.settings import EngineSection, load_emulator_settings
from emulator.virtual_clock import VirtualClock
from notcharch.clients.ports import EngineRequest, StreamEnd
from notcharch.errors import Problem
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import Epoch, PoolName, ProgramId, RequestId

MAX_TOKENS = 1024
NEW_TEXT_BYTES = 800
POOL = PoolName("model")


class SpeedReport(msgspec.Struct, frozen=True):
    """The load of the run, and virtual seconds simulated per real second."""

    engines: int
    requests_per_second: float
    virtual_seconds: float
    real_seconds: float
    virtual_per_real: float
    clock_calls: int
    counters: EngineCounters


class Load:
    """Programs that arrive at random, each a chain of turns on one engine."""

    def __init__(
        self, models: RegionModels, clock: VirtualClock, turns: int, rate: float
    ) -> None:
        """Begin `rate` requests a second over all engines, `turns` in a program."""
        self._clock = clock
        self._turns = turns
        self._programs_per_second = rate / turns
        self._random = Random(1)
        self._port = models.engine_port(MemoryWay(clock, renders_tokens=False))
        self._addresses = tuple(models.engines)
        self._program_count = 0
        self._later(self._programs_per_second, self._begin_program)

    def _later(
        self, rate: float, call: Callable[..., None], *arguments: object
    ) -> None:
        self._clock.callLater(self._random.expovariate(rate), call, *arguments)

    def _begin_program(self) -> None:
        self._later(self._programs_per_second, self._begin_program)
        self._program_count += 1
        address = self._addresses[self._program_count % len(self._addresses)]
        self._take_turn(ProgramId(f"p{self._program_count}"), address, (), 1)

    def _take_turn(
        self,
        program: ProgramId,
        address: str,
        history: tuple[ChatMessage, ...],
        turn: int,
    ) -> None:
        messages = (*history, ChatMessage("user", "x" * NEW_TEXT_BYTES))
        request = EngineRequest(
            RequestId(f"{program}-{turn}"),
            POOL,
            program,
            Epoch(1),
            0,
            messages,
            MAX_TOKENS,
        )

        def answered(result: Result[StreamEnd, Problem]) -> None:
            if isinstance(result, Err):
                raise RuntimeError(result.err_value.message)
            if turn == self._turns:
                self._port.release(address, program, Epoch(1))
                return
            answer = ChatMessage("assistant", result.ok_value.content)
            self._later(
                1.0, self._take_turn, program, address, (*messages, answer), turn + 1
            )

        stream = self._port.open_stream(address, request, _ignore)
        stream.finished.addCallback(answered)


def measure(engines: int, seconds: float, turns: int, rate: float) -> SpeedReport:
    """Simulate `seconds` of virtual time at `rate` requests a second."""
    clock = VirtualClock()
    sections = tuple(EngineSection(name=f"e{n}") for n in range(engines))
    settings = with_engines(load_emulator_settings("", "none").unwrap(), sections)
    models = RegionModels(clock, settings)
    models.place_all_engines()
    Load(models, clock, turns, rate)
    start = time.perf_counter()
    clock.advance(seconds)
    real_seconds = time.perf_counter() - start
    return SpeedReport(
        engines,
        rate,
        seconds,
        real_seconds,
        seconds / real_seconds,
        clock.run_count,
        next(iter(models.engines.values())).model.counters,
    )


def _ignore(_: bytes) -> None:
    """Take the events and do nothing with them."""


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--turns", type=int, default=10)
    parser.add_argument(
        "--rate", type=float, default=91.0, help="requests a second, all engines"
    )
    given = parser.parse_args()
    report = measure(given.engines, given.seconds, given.turns, given.rate)
    sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
