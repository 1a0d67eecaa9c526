"""A stand-in of clients: agent programs that send turns to any daemon."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from deployment import HOST_NAME, Deployment, Record
from engines import EVENTS, TOKENS_PER_EVENT, output_of
from http11 import Answer, ask

KEPT_PATH = "/kept/turn"
DEADLINE_MS = 3000
FINISH_MS = 30_000
BUDGET_TOKENS = 4600
MOST_TOKENS = EVENTS * TOKENS_PER_EVENT
OK = 200
PROMISES = (429, 503)
RETRY_SECONDS = (0.1, 0.4)

KEPT_ROUTE = {
    "name": "kept",
    "host": HOST_NAME,
    "path_prefix": "/kept/",
    "kind": "streaming",
    "timeout_ms": DEADLINE_MS,
    "target_latency_ms": 200,
    "priority": 0,
    "service": "models",
    "retry_attempts": 2,
    "retains_transcripts": True,
    "retention_s": 60.0,
    "sticky_sessions": True,
    "resumable": False,
    "target_gap_ms": 300,
}


@dataclass
class Turn:
    """One turn, in all its tries."""

    previous: str
    expected_body: bytes
    """What the engine is to get."""
    tries: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    answered: str = ""
    """The id of the try that was answered whole."""
    began: float = field(default_factory=time.monotonic)


class Program:
    """One program, whose turns follow each other."""

    def __init__(
        self, deployment: Deployment, record: Record, name: str, chain: bytes = b""
    ) -> None:
        """`chain` is what the turns have said from which the program goes on."""
        self._deployment = deployment
        self._record = record
        self.name = name
        self.chain = chain
        self.last = ""
        """The id of the last turn that was answered whole."""
        self._tries = 0

    def go_on_from(self, turn: str) -> "Program":
        """Continue from a turn of an earlier program."""
        self.last = turn
        return self

    async def turn(self, new_input: bytes, *, seconds: float, most: int = 6) -> Turn:
        """Send a turn until it is answered whole, at most for some seconds or tries."""
        turn = Turn(self.last, self.chain + new_input)
        until = time.monotonic() + seconds
        while time.monotonic() < until and len(turn.tries) < most:
            answer = await self._try(turn, new_input)
            if answer.is_whole and answer.status == OK:
                turn.answered = turn.tries[-1]
                self.last = turn.answered
                self.chain = turn.expected_body + output_of(turn.answered)
                return turn
            pause = random.uniform(*RETRY_SECONDS)
            if answer.status in PROMISES:
                pause = float(answer.headers.get("retry-after", pause))
            await asyncio.sleep(pause)
        return turn

    async def _try(self, turn: Turn, new_input: bytes) -> Answer:
        self._tries += 1
        name = f"{self.name}-{self._tries}"
        turn.tries.append(name)
        headers = {
            "Host": HOST_NAME,
            "X-Notcharch-Request-Id": name,
            "X-Notcharch-Deadline-Ms": str(DEADLINE_MS),
            "X-Notcharch-Program-Id": self.name,
            "X-Notcharch-Session-Id": self.name,
            "X-Notcharch-Finish-Ms": str(FINISH_MS),
            "X-Notcharch-Token-Budget": str(BUDGET_TOKENS),
            "X-Notcharch-Token-Usage": f"{len(new_input) // 4},{MOST_TOKENS}",
        }
        if turn.previous:
            headers["X-Notcharch-Previous-Turn"] = turn.previous
        daemon = random.choice(self._deployment.daemons)
        self._record.line(
            f"sent {name} to {daemon.name}, {len(new_input)} B,"
            f" after {turn.previous or 'no turn'}"
        )
        answer = await ask(
            daemon.front,
            "POST",
            KEPT_PATH,
            headers,
            body=new_input,
            seconds=DEADLINE_MS / 1000 + 1,
        )
        turn.statuses.append(answer.status)
        state = "whole" if answer.is_whole else answer.problem
        self._record.line(f"answer to {name}: {answer.status}, {state}")
        return answer
