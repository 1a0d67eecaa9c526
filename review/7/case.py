"""Programs with most of their budgets left go on after a final fault."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from world import (  # noqa: E402
    HAS_TROUBLE,
    CannotRunError,
    Engine,
    World,
    call,
    play,
    stream_handler,
)

PROGRAMS = 24
BUDGET = 900
MOST_TOKENS = 575
"""Of one turn, as it says itself."""
TOKENS_PER_EVENT = 25
EVENTS = 4
CALM_SECONDS = 6.0
DARK_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
LAST_SECONDS = 4.0
ASK_SECONDS = 0.5
BEGIN_SECONDS = 0.3
FRESH = "fresh"


class Program:
    """A program of kept turns."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        self.name = name
        self._attempts = 0
        self.previous = ""
        """Its last turn that was answered whole."""
        self.tokens = 0
        """Tokens that it was handed."""
        self.tries: list[tuple[float, int]] = []
        """When it asked after the final fault, and the answers."""

    @property
    def has_budget(self) -> bool:
        """Whether its next turn fits into its budget, whatever it generates."""
        return self.tokens + MOST_TOKENS <= BUDGET

    def turn(self) -> int:
        """Ask for the next turn once."""
        self._attempts += 1
        id = f"{self.name}-{self._attempts}"
        headers = {
            "X-Notcharch-Request-Id": id,
            "X-Notcharch-Deadline-Ms": "3000",
            "X-Notcharch-Program-Id": self.name,
            "X-Notcharch-Session-Id": f"session-{self.name}",
            "X-Notcharch-Token-Budget": str(BUDGET),
            "X-Notcharch-Token-Usage": f"840,{MOST_TOKENS}",
        }
        if self.previous:
            headers["X-Notcharch-Previous-Turn"] = self.previous
        daemons = self._world.daemons
        daemon = daemons[(self._attempts + hash(self.name)) % len(daemons)]
        try:
            answer = call(daemon.front, "POST", "/kept/x", headers, body=id.encode())
            status, body = answer.status, answer.body
        except OSError:
            status, body = 0, b""
        self.tokens += TOKENS_PER_EVENT * body.count(b"\n\n")
        after = f" after {self.previous}" if self.previous else ""
        self._world.record.note(f"{id} gets {status}{after}: {self.tokens} tokens")
        if status == 200:
            self.previous = id
        return status

    def go_on(self) -> None:
        """Make one turn that is served, with some tries."""
        for _ in range(8):
            if self.turn() == 200:
                return
            time.sleep(0.3)
        raise CannotRunError(f"{self.name} was not served before the final fault")

    def ask(self, until: float) -> None:
        """Ask for one more turn until it is served or the time is over."""
        while time.monotonic() < until:
            at = time.monotonic()
            status = self.turn()
            self.tries.append((at, status))
            if status == 200:
                return
            time.sleep(ASK_SECONDS)


def at_once(programs: list[Program], action: str, *arguments: float) -> None:
    """Let all programs act side by side."""
    threads = [
        threading.Thread(target=getattr(program, action), args=arguments)
        for program in programs
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def begin_others(world: World, until: float, served: list[float]) -> None:
    """Begin other programs, and note when their first turns are served."""
    number = 0
    while time.monotonic() < until:
        number += 1
        at = time.monotonic()
        if Program(world, f"{FRESH}{number}").turn() == 200:
            served.append(at)
        time.sleep(BEGIN_SECONDS)


def disturb(world: World) -> None:
    """Kill one daemon, and start it again."""
    killed = world.daemons[0]
    world.record.note(f"{killed.name} is killed")
    killed.kill()
    time.sleep(DARK_SECONDS)
    killed.start()
    killed.wait_until_ready()


def final_fault(world: World) -> None:
    """Kill all daemons, and start them again."""
    world.record.note("final fault: all daemons are killed")
    for daemon in world.daemons:
        daemon.kill()
    time.sleep(DARK_SECONDS)
    for daemon in world.daemons:
        daemon.start()
    for daemon in world.daemons:
        daemon.wait_until_ready()
    world.record.note("all daemons are ready again")


def case(world: World) -> bool:
    """Return whether the programs that have budget left reach an engine."""
    route = {
        "name": "kept",
        "path_prefix": "/kept/",
        "kind": "streaming",
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "service": "models",
        "retry_attempts": 2,
        "retains_transcripts": True,
        "retention_s": 60.0,
    }
    engine = {"slots": 12, "tokens_per_event": TOKENS_PER_EVENT}
    services = [{"name": "models", "health_path": "/health", "engine": engine}]
    world.configure(1, [route], services)
    for number in range(2):
        handler = stream_handler(world.record, EVENTS, 0.01)
        Engine(world.store, "models", f"i-model-{number}", handler, slots=12)
    world.start_daemons(3)
    time.sleep(CALM_SECONDS)
    programs = [Program(world, f"program{number}") for number in range(PROGRAMS)]
    at_once(programs, "go_on")
    time.sleep(1.0)
    if HAS_TROUBLE:
        disturb(world)
    time.sleep(CALM_SECONDS)
    at_once(programs, "go_on")
    if HAS_TROUBLE:
        final_fault(world)
    until = time.monotonic() + RECOVERY_SECONDS + LAST_SECONDS
    served: list[float] = []
    others = threading.Thread(target=begin_others, args=(world, until, served))
    others.start()
    at_once(programs, "ask", until)
    others.join()
    last = until - LAST_SECONDS
    denied = [
        program
        for program in programs
        if program.has_budget
        and len([at for at, _ in program.tries if at >= last]) >= 5
        and all(status != 200 for _, status in program.tries)
    ]
    first_turns = sum(at >= last for at in served)
    for program in denied:
        statuses = sorted({status for _, status in program.tries})
        world.record.note(
            f"{program.name} was handed {program.tokens} tokens of {BUDGET}; "
            f"{len(program.tries)} tries after the final fault got {statuses}"
        )
    world.record.note(
        f"{len(denied)} of {len(programs)} programs with budget left reached no engine; "
        f"{first_turns} first turns were served in the last {LAST_SECONDS:g} s"
    )
    if not first_turns:
        raise CannotRunError("no first turn was served")
    return not denied


if __name__ == "__main__":
    play(FOLDER, case)
