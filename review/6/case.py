"""Programs spend their budgets across the kill of one process, with 20 s of history."""

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

HISTORY_SECONDS = 20.0
PROGRAMS = 48
BUDGET = 1000
TOKENS_PER_EVENT = 10
EVENTS = 10
TURN_TOKENS = EVENTS * TOKENS_PER_EVENT
FIRST_TURNS = 4
PAUSE_SECONDS = 7.0
"""Between the first turns of a program, which wait for its tools."""
TRIES = 40
CALM_SECONDS = 12.0
"""Between the start of the machines and that of the traffic."""
DARK_SECONDS = 3.5
RETURN_SECONDS = 2.0
"""After the kill, the programs go on at the other daemons."""


class Program:
    """A program that spends its budget turn by turn."""

    def __init__(self, world: World, number: int) -> None:
        self.name = f"program-{number}"
        self._world = world
        self._number = number
        self._turns = 0
        self.tokens = 0
        self.is_refused = False

    def turn(self) -> int:
        """Send one turn to a daemon, and count the tokens that come back."""
        self._turns += 1
        id = f"{self._number:02x}{self._turns:06x}"
        headers = {
            "X-Notcharch-Request-Id": id,
            "X-Notcharch-Deadline-Ms": "3000",
            "X-Notcharch-Program-Id": self.name,
            "X-Notcharch-Session-Id": f"session-{self._number}",
            "X-Notcharch-Finish-Ms": "60000",
            "X-Notcharch-Token-Budget": str(BUDGET),
            "X-Notcharch-Token-Usage": f"100,{TURN_TOKENS}",
            "X-Notcharch-Model": "m",
        }
        daemon = self._world.daemons[self._turns % len(self._world.daemons)]
        try:
            answer = call(
                daemon.front, "POST", "/chat/x", headers, body=b"input " + id.encode()
            )
            status, body = answer.status, answer.body
        except OSError:
            status, body = 0, b""
        events = body.count(b"\n\n")
        self.tokens += events * TOKENS_PER_EVENT
        self._world.record.note(
            f"{self.name} gets {status} with {events} events for {id}: {self.tokens} tokens"
        )
        return status

    def begin(self) -> None:
        """Make the first turns, with pauses."""
        for _ in range(FIRST_TURNS):
            if self.turn() != 200:
                raise CannotRunError("a turn was not served in calm")
            time.sleep(PAUSE_SECONDS)

    def go_on(self) -> None:
        """Make turns until the budget is spent."""
        for _ in range(TRIES):
            status = self.turn()
            if status == 402:
                self.is_refused = True
                return
            if status != 200:
                time.sleep(0.3)


def at_once(programs: list[Program], action: str) -> None:
    """Let all programs act side by side."""
    threads = [
        threading.Thread(target=getattr(program, action)) for program in programs
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def case(world: World) -> bool:
    """Return whether no program got more than its budget and one turn."""
    route = {
        "name": "chat",
        "path_prefix": "/chat/",
        "kind": "streaming",
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "service": "models",
        "retry_attempts": 2,
        "retention_s": 60.0,
        "resumable": True,
    }
    engine = {"slots": 12, "tokens_per_event": TOKENS_PER_EVENT}
    services = [{"name": "models", "health_path": "/health", "engine": engine}]
    world.configure(1, [route], services)
    for number in range(2):
        Engine(
            world.store,
            "models",
            f"i-model-{number}",
            stream_handler(world.record, EVENTS, 0.005),
            slots=12,
        )
    world.start_daemons(3)
    time.sleep(CALM_SECONDS)
    programs = [Program(world, number) for number in range(PROGRAMS)]
    at_once(programs, "begin")
    if HAS_TROUBLE:
        killed = world.daemons[0]
        world.record.note(f"{killed.name} is killed, and dark for {DARK_SECONDS} s")
        killed.kill()
        return_of_killed = threading.Timer(DARK_SECONDS, killed.start)
        return_of_killed.start()
        time.sleep(RETURN_SECONDS)
    at_once(programs, "go_on")
    if HAS_TROUBLE:
        return_of_killed.join()
    most = BUDGET + TURN_TOKENS
    for program in programs:
        world.record.note(
            f"{program.name}: {program.tokens} tokens of {BUDGET}, at most {most}; "
            f"refused in the end: {program.is_refused}"
        )
    return all(program.tokens <= most for program in programs)


if __name__ == "__main__":
    play(FOLDER, case, HISTORY_SECONDS)
