"""Plain balancers: each call goes to an engine at once and queues inside it.

First come, first served in the engine. They know engines that are leaving from the
machine list, but neither programs' ends nor services; a repeated call is a new one.
"""

from collections.abc import Callable, Sequence

import xxhash

from emulator.engine.refusals import RefusalCode
from experiments.simulation.calls import Call, ProgramState, RunEnd
from experiments.simulation.engine_room import EngineRoom
from notcharch.values.identifiers import EngineName

HOP_SECONDS = 0.001
"""From the caller through the balancer to the engine."""

RETRY_SECONDS = 1.0
FINAL_REFUSALS = frozenset({RefusalCode.CONTEXT_TOO_LONG, RefusalCode.BAD_REQUEST})
PRIORITY = 0

Choose = Callable[[Call, Sequence[EngineName]], EngineName]


class Balancer:
    """Sends calls on by a rule; a subclass gives the rule."""

    def __init__(self, room: EngineRoom) -> None:
        """Use the engines of a room."""
        self._room = room
        self._open: dict[EngineName, int] = {}

    def start(self) -> None:
        """Do nothing: a balancer has no periodic work."""

    def submit(self, call: Call) -> None:
        """Send a call on."""
        self._room.clock.callLater(HOP_SECONDS, self._send, call)

    def repeat(self, call: Call) -> bool:
        """Send a repeated call on like any other."""
        self.submit(call)
        return True

    def abandon(self, call: Call) -> None:
        """Close the connection; the engine finds out by itself."""
        self._room.detach(call)

    def program_ended(self, state: ProgramState) -> None:
        """Know nothing of programs."""

    def run_ended(self, end: RunEnd) -> None:
        """Count the call off; a lost one is sent again."""
        self._open[end.engine] -= 1
        if end.usage is None and not end.call.abandoned:
            self.submit(end.call)

    def choose(self, call: Call, engines: Sequence[EngineName]) -> EngineName:
        """Give the engine of a call; `engines` are live and not none."""
        raise NotImplementedError

    def open_calls(self, engine: EngineName) -> int:
        """Count the calls sent to an engine that have not ended."""
        return self._open.get(engine, 0)

    def _send(self, call: Call) -> None:
        if call.abandoned:
            return
        engines = self._room.engines_of(call.state.service.pool)
        if not engines:
            call.listener.refused(call, RETRY_SECONDS)
            return
        engine = self.choose(call, engines)
        refusal = self._room.start(call, engine, PRIORITY)
        if refusal is None:
            self._open[engine] = self.open_calls(engine) + 1
            return
        final = refusal in FINAL_REFUSALS
        call.listener.refused(call, None if final else RETRY_SECONDS)


class RoundRobin(Balancer):
    """The engines in turn, for each pool."""

    def __init__(self, room: EngineRoom) -> None:
        """Begin with the first engine."""
        super().__init__(room)
        self._turns: dict[str, int] = {}

    def choose(self, call: Call, engines: Sequence[EngineName]) -> EngineName:
        """Give the next engine."""
        pool = call.state.service.pool
        turn = self._turns.get(pool, 0)
        self._turns[pool] = turn + 1
        return engines[turn % len(engines)]


class LeastLoaded(Balancer):
    """The engine with the fewest open calls, known exactly."""

    def choose(self, call: Call, engines: Sequence[EngineName]) -> EngineName:
        """Give the engine with the fewest open calls, the first of equals."""
        return min(engines, key=self.open_calls)


class PrefixHashing(Balancer):
    """Always the same engine for a program, by rendezvous hashing of its id."""

    def choose(self, call: Call, engines: Sequence[EngineName]) -> EngineName:
        """Give the program's engine."""
        program = call.state.program
        return max(
            engines,
            key=lambda engine: xxhash.xxh64_intdigest(f"{program}/{engine}".encode()),
        )
