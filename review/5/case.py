"""Kept turns are asked for again after kills of single processes, with 20 s of history."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from world import (  # noqa: E402
    HAS_TROUBLE,
    Engine,
    World,
    call,
    play,
    stream_handler,
)

HISTORY_SECONDS = 20.0
RETENTION_SECONDS = 60.0
BEGIN_SECONDS = 55.0
"""For so long, programs begin."""
BEGIN_INTERVAL_SECONDS = 0.2
RETURN_SECONDS = 25.0
"""After its first turn, a program goes on."""
FIRST_KILL_SECONDS = 25.0
KILL_INTERVAL_SECONDS = 9.0
KILLS = 5
DARK_SECONDS = 1.0
TRIES = 12


class Program:
    """A program of two turns with a long pause between them."""

    def __init__(self, world: World, number: int) -> None:
        self._world = world
        self._number = number
        self._attempts = 0
        self.kept = ""
        """The first turn, once it was answered whole."""
        self.kept_at = 0.0
        self.denied_after = 0.0
        """Seconds after which the kept turn was denied."""
        self.is_served = False

    def turn(self, previous: str) -> int:
        """Send one turn, and note the answer."""
        self._attempts += 1
        id = f"{self._number:04x}{self._attempts:04x}"
        headers = {
            "X-Notcharch-Request-Id": id,
            "X-Notcharch-Deadline-Ms": "3000",
            "X-Notcharch-Program-Id": f"program-{self._number}",
            "X-Notcharch-Session-Id": f"session-{self._number}",
            "X-Notcharch-Token-Usage": "100,30",
        }
        if previous:
            headers["X-Notcharch-Previous-Turn"] = previous
        daemons = self._world.daemons
        daemon = daemons[(self._number + self._attempts) % len(daemons)]
        try:
            answer = call(
                daemon.front, "POST", "/kept/x", headers, body=b"input " + id.encode()
            )
            status = answer.status
        except OSError:
            status = 0
        after = f" after {previous}" if previous else ""
        self._world.record.note(f"program-{self._number} gets {status} for {id}{after}")
        if status == 200 and not previous:
            self.kept, self.kept_at = id, time.monotonic()
        return status

    def play(self) -> None:
        """Make the first turn, and go on from it after a while."""
        self._until_served("")
        if not self.kept:
            return
        time.sleep(RETURN_SECONDS)
        self.is_served = self._until_served(self.kept)

    def _until_served(self, previous: str) -> bool:
        for _ in range(TRIES):
            status = self.turn(previous)
            if status == 200:
                return True
            if status in (404, 410):
                self.denied_after = time.monotonic() - self.kept_at
                return False
            time.sleep(0.4)
        return False


def kill_in_turn(world: World) -> None:
    """Kill single daemons, and start each again."""
    time.sleep(FIRST_KILL_SECONDS)
    for number in range(KILLS):
        daemon = world.daemons[number % len(world.daemons)]
        world.record.note(f"{daemon.name} is killed")
        daemon.kill()
        time.sleep(DARK_SECONDS)
        daemon.start()
        time.sleep(KILL_INTERVAL_SECONDS - DARK_SECONDS)


def case(world: World) -> bool:
    """Return whether no kept turn was denied within its retention."""
    route = {
        "name": "kept",
        "path_prefix": "/kept/",
        "kind": "streaming",
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "service": "models",
        "retry_attempts": 2,
        "retains_transcripts": True,
        "retention_s": RETENTION_SECONDS,
    }
    services = [
        {"name": "models", "health_path": "/health", "engine": {"tokens_per_event": 10}}
    ]
    world.configure(1, [route], services)
    for number in range(2):
        Engine(
            world.store,
            "models",
            f"i-model-{number}",
            stream_handler(world.record, 3, 0.0),
            slots=12,
        )
    world.start_daemons(3)
    threads = []
    if HAS_TROUBLE:
        threads.append(threading.Thread(target=kill_in_turn, args=(world,)))
        threads[0].start()
    programs = []
    until = time.monotonic() + BEGIN_SECONDS
    while time.monotonic() < until:
        program = Program(world, len(programs))
        programs.append(program)
        threads.append(threading.Thread(target=program.play))
        threads[-1].start()
        time.sleep(BEGIN_INTERVAL_SECONDS)
    for thread in threads:
        thread.join()
    kept = [program for program in programs if program.kept]
    denied = [program for program in kept if program.denied_after]
    unserved = [program for program in kept if not program.is_served]
    world.record.note(
        f"{len(kept)} programs with a kept turn; {len(denied)} were denied it, after "
        f"{sorted(round(program.denied_after, 1) for program in denied)} s of "
        f"{RETENTION_SECONDS} s; {len(unserved)} did not go on"
    )
    return not denied


if __name__ == "__main__":
    play(FOLDER, case, HISTORY_SECONDS)
